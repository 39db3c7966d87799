import { readdirSync, readFileSync } from 'node:fs'
import path from 'node:path'
import { describe, expect, test } from 'vitest'
import { currentPages } from './support/pages.js'

/** Page that lists the journal entries without a result. */
const UNFINISHED_LIST_PAGE = 'docs/JOURNAL.md'
const FOLDER = 'journal'
/** Id of an entry, as inline code or in the first column of the list. */
const REFERENCED_ENTRY = /`([0-9a-f]{8})`/g
const LISTED_ENTRY = /^\| ([0-9a-f]{8}) \|/gm

interface JournalEntry {
  id: string
  /** Start and end of the run; the end is empty until the result is written. */
  at: [string, string]
}

const entries = readdirSync(FOLDER)
  .filter(file => file.endsWith('.json'))
  .map(file => JSON.parse(readFileSync(path.join(FOLDER, file), 'utf8')) as JournalEntry)

function hasResult({ at: [, end] }: JournalEntry): boolean {
  return end !== ''
}

function matchIds(text: string, pattern: RegExp): string[] {
  return [...text.matchAll(pattern)].map(([, id]) => id)
}

describe('the journal of runs on the users\' bench', () => {
  test('has entries', () => {
    expect(entries.length).toBeGreaterThan(1000)
  })

  test('has no entry without a result except those listed on the page', () => {
    const unfinished = entries.filter(entry => !hasResult(entry)).map(entry => entry.id)
    expect(unfinished.toSorted()).toEqual(matchIds(readFileSync(UNFINISHED_LIST_PAGE, 'utf8'), LISTED_ENTRY).toSorted())
  })

  test.each(currentPages())('backs the figures of %s by entries that have a result', (page) => {
    const finished = new Set(entries.filter(hasResult).map(entry => entry.id))
    const known = new Set(entries.map(entry => entry.id))
    const named = matchIds(readFileSync(page, 'utf8'), REFERENCED_ENTRY).filter(id => known.has(id))
    expect(named.filter(id => !finished.has(id))).toEqual([])
  })
})
