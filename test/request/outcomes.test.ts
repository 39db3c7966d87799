import { OutcomeState, OutcomeTable } from '@eidermast/daemon'
import { Ok } from 'ts-results-es'
import { describe, expect, test } from 'vitest'

describe('the outcome table', () => {
  const answer = Ok({ requestId: 'r', output: 'x'.repeat(100), stages: [] })
  let clock = 0
  const limits = { entries: 3, bytes: 2000, lifetimeMs: 100, unrepeatableLifetimeMs: 1000 }
  const createTable = (): OutcomeTable => new OutcomeTable(limits, () => clock)

  function finish(table: OutcomeTable, key: string, unrepeatable: boolean): void {
    table.finish(table.add(key, 'digest', unrepeatable), answer)
  }

  test('limits the number of repeatable requests', () => {
    const table = createTable()
    for (let index = 0; index < 10; index++)
      finish(table, `repeatable ${index}`, false)
    expect(table.size).toBeLessThanOrEqual(3)
  })

  test('keeps the keys of unrepeatable requests for their full lifetime and reports when it is full', () => {
    const table = createTable()
    for (let index = 0; index < 3; index++)
      finish(table, `unrepeatable ${index}`, true)
    expect(table.hasCapacity).toBe(false)
    expect(table.find('unrepeatable 0')?.state).toBe(OutcomeState.Finished)
    clock += 1001
    expect(table.hasCapacity).toBe(true)
    expect(table.size).toBe(0)
  })

  test('evicts answers but not keys of unrepeatable requests over the size limit', () => {
    const table = new OutcomeTable({ entries: 100, bytes: 1500, lifetimeMs: 100, unrepeatableLifetimeMs: 1000 }, () => 0)
    for (let index = 0; index < 5; index++)
      finish(table, `unrepeatable ${index}`, true)
    expect(table.find('unrepeatable 0')).toMatchObject({ state: OutcomeState.Finished, finished: undefined })
    expect(table.find('unrepeatable 4')?.finished).toBe(answer)
  })
})
