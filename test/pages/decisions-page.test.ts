import { expect, test } from 'vitest'
import { codeSpans, readFromRoot, spell } from './support/pages.js'
import { existsInRepository, sourceModules } from './support/sources.js'

const PAGE = 'docs/DECISIONS.md'

/** The doc comment with which a module begins, after its imports; empty where there is none. */
function headComment(module: string): string {
  return /\/\*\*[\s\S]*?\*\//.exec(readFromRoot(module))?.[0] ?? ''
}

/** Whether a module says in its head that it decides. */
function decides(module: string): boolean {
  return /^ \* Decides\b/m.test(headComment(module))
}

/** The second column of the page's tables. */
function moduleColumn(): string[] {
  const rows = readFromRoot(PAGE).split('\n').filter(line => line.startsWith('|') && !/^\|[-| ]+\|$/.test(line))
  return rows.map(row => row.split('|')[2].trim()).filter(cell => cell !== 'module')
}

test('every module that decides has a row in the page of decisions', () => {
  const named = moduleColumn().join('\n')
  expect(sourceModules().filter(decides).filter(module => !named.includes(`\`${module}\``))).toEqual([])
})

test('the page of decisions names no file that is gone', () => {
  const paths = codeSpans(PAGE).filter(({ text }) => /^[\w.-]+(?:\/[\w.-]+)+$/.test(text) && /^(?:packages|platform|test|docs)\//.test(text))
  expect(paths.filter(({ text }) => !existsInRepository(text)).map(span => spell(span, span.text))).toEqual([])
})

test('each row of the page of decisions names a module by its path from the root', () => {
  expect(moduleColumn().filter(cell => !/`(?:packages\/[\w-]+|platform)\/src\/[\w/.-]+\.ts`/.test(cell))).toEqual([])
})
