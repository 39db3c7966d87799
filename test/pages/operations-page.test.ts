import { expect, test } from 'vitest'
import { codeSpans, readFromRoot } from './support/pages.js'
import { readSources, sourceModules } from './support/sources.js'

const PAGE = 'docs/OPERATIONS.md'
const sources = readSources()

/** Returns the rows of the tables whose first column has the given header. */
function rowsUnder(header: string): string[] {
  const tables = readFromRoot(PAGE).split('\n\n').filter(block => block.startsWith(`| ${header} |`))
  return tables.flatMap(table => table.split('\n').slice(2))
}

/** Returns the inline code in a column of a row; columns are numbered from 1. */
function namesIn(row: string, column: number): string[] {
  return [...row.split('|')[column].matchAll(/`([^`]+)`/g)].map(match => match[1])
}

test('the operations page names every metric of every program', () => {
  const served = [...sources.matchAll(/'(eidermast_[a-z_]+)'/g)].map(match => match[1])
  const named = new Set(codeSpans(PAGE).map(span => span.text))
  expect(served.length).toBeGreaterThan(20)
  expect(served.filter(name => !named.has(name))).toEqual([])
})

test('the operations page names only events that are logged', () => {
  const events = [...rowsUnder('event').flatMap(row => namesIn(row, 1)), ...rowsUnder('namespace').flatMap(row => namesIn(row, 2))]
  expect(events.length).toBeGreaterThan(50)
  expect(events.filter(name => !sources.includes(`'${name}'`))).toEqual([])
})

test('the operations page names every event of entries and sides', () => {
  const modules = sourceModules().filter(file => file.startsWith('packages/daemon/') || file.endsWith('/ejection.ts'))
  const daemon = modules.map(readFromRoot).join('\n')
  const firstArguments = [...daemon.matchAll(/\b(?:log|record)\(([^,)]+)/g)].map(match => match[1])
  const written = new Set(firstArguments.flatMap(text => [...text.matchAll(/'([a-z-]+)'/g)].map(match => match[1])))
  const named = new Set(rowsUnder('namespace').flatMap(row => namesIn(row, 2)))
  expect(written.size).toBeGreaterThan(30)
  expect([...written].filter(event => !named.has(event))).toEqual([])
})

test('the operations page names only existing error kinds, with their statuses', () => {
  const rows = rowsUnder('kind').filter(row => namesIn(row, 1).length > 0)
  expect(rows.length).toBeGreaterThan(10)
  expect(rows.filter(row => !namesIn(row, 1).every(kind => statusesOf(row).includes(statusOf(kind) ?? 'no such kind')))).toEqual([])
})

function statusesOf(row: string): string[] {
  return row.split('|')[2].split(',').map(text => text.trim())
}

/** Looks up the status of an error kind in the error table of the sources. */
function statusOf(kind: string): string | undefined {
  const errors = readFromRoot('packages/common/src/errors.ts')
  const member = new RegExp(`(\\w+) = '${kind}'`).exec(errors)?.[1]
  return new RegExp(`\\[ErrorKind\\.${member}\\]: \\{ status: (\\d+)`).exec(errors)?.[1]
}
