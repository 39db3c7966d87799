import { expect, test } from 'vitest'
import { readFromRoot } from './support/pages.js'
import { existsInRepository, sourceModules } from './support/sources.js'

const PAGE = 'docs/DECISIONS.md'

/** Returns the first doc comment of a module; empty if there is none. */
function headComment(module: string): string {
  return /\/\*\*[\s\S]*?\*\//.exec(readFromRoot(module))?.[0] ?? ''
}

/** Whether the first doc comment of a module has a line that starts with "Decides". */
function decides(module: string): boolean {
  return /^ \* Decides\b/m.test(headComment(module))
}

/** Returns the cells of the module column of the page's tables. */
function moduleColumn(): string[] {
  const rows = readFromRoot(PAGE).split('\n').filter(line => line.startsWith('|') && !/^\|[-| ]+\|$/.test(line))
  return rows.map(row => row.split('|')[2].trim()).filter(cell => cell !== 'module')
}

test('every module that decides has a row in the page of decisions', () => {
  const named = new Set(moduleColumn().flatMap(findModules))
  expect(sourceModules().filter(decides).filter(module => !named.has(module))).toEqual([])
})

test('the page of decisions names no missing file', () => {
  const paths = [...readFromRoot(PAGE).matchAll(/\b(?:packages|platform|test|docs)\/[\w./-]+\w/g)].map(match => match[0])
  expect(paths.filter(file => !existsInRepository(file))).toEqual([])
})

test('each row of the page of decisions names a module by its path from the root', () => {
  expect(moduleColumn().filter(cell => findModules(cell).length === 0)).toEqual([])
})

/** Returns the modules that a cell names by their path relative to the root. */
function findModules(cell: string): string[] {
  return cell.match(/(?:packages\/[\w-]+|platform)\/src\/[\w/.-]+\.ts/g) ?? []
}
