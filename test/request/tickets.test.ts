import { OutcomeState, OutcomeTable, TicketFault, TicketOffice } from '@eidermast/daemon'
import { Ok } from 'ts-results-es'
import { v7 as uuidv7 } from 'uuid'
import { describe, expect, test } from 'vitest'

const LIFETIME_MS = 1000

function createOffice(key: string, now = () => 0): TicketOffice {
  return new TicketOffice({ key, incarnation: uuidv7(), address: '127.0.0.1:1', lifetimeMs: LIFETIME_MS }, now)
}

describe('tickets', () => {
  test('name the process life that made them, to any holder of the key', () => {
    const maker = createOffice('key')
    const issued = maker.issue('medidores-sur')
    expect(createOffice('key').verify(issued.ticket).unwrap()).toMatchObject({ requestId: issued.requestId, account: 'medidores-sur', address: '127.0.0.1:1' })
  })

  test.each([
    ['made with another key', (ticket: string) => createOffice('other').verify(ticket), TicketFault.Forged],
    ['changed', (ticket: string) => createOffice('key').verify(`x${ticket}`), TicketFault.Forged],
    ['cut', (ticket: string) => createOffice('key').verify(ticket.split('.')[0]), TicketFault.Malformed],
    ['longer than one signature', (ticket: string) => createOffice('key').verify(`${ticket}.x`), TicketFault.Malformed],
    ['too old', (ticket: string) => createOffice('key', () => LIFETIME_MS + 1).verify(ticket), TicketFault.Expired],
  ])('are refused when %s', (_name, verify, fault) => {
    const result = verify(createOffice('key').issue('medidores-sur').ticket)
    expect(result.isErr() && result.error).toBe(fault)
  })
})

describe('an entry\'s memory of requests', () => {
  const answer = Ok({ requestId: 'r', output: 'x'.repeat(100), stages: [] })
  let clock = 0
  const createTable = (): OutcomeTable => new OutcomeTable({ entries: 3, bytes: 2000, lifetimeMs: 100, unrepeatableLifetimeMs: 1000 }, () => clock)

  function finish(table: OutcomeTable, key: string, unrepeatable: boolean): void {
    table.finish(table.open(key, 'digest', unrepeatable), answer)
  }

  test('is bounded by number for repeatable requests', () => {
    const table = createTable()
    for (let index = 0; index < 10; index++)
      finish(table, `repeatable ${index}`, false)
    expect(table.size).toBeLessThanOrEqual(3)
  })

  test('keeps the keys of unrepeatable requests for their whole time, and says when it can take no more', () => {
    const table = createTable()
    for (let index = 0; index < 3; index++)
      finish(table, `unrepeatable ${index}`, true)
    expect(table.hasCapacity).toBe(false)
    expect(table.find('unrepeatable 0')?.state).toBe(OutcomeState.Finished)
    clock += 1001
    expect(table.hasCapacity).toBe(true)
    expect(table.size).toBe(0)
  })

  test('drops answers before keys when it has too many bytes', () => {
    const table = new OutcomeTable({ entries: 100, bytes: 1500, lifetimeMs: 100, unrepeatableLifetimeMs: 1000 }, () => 0)
    for (let index = 0; index < 5; index++)
      finish(table, `unrepeatable ${index}`, true)
    expect(table.find('unrepeatable 0')).toMatchObject({ state: OutcomeState.Finished, finished: undefined })
    expect(table.find('unrepeatable 4')?.finished).toBe(answer)
  })
})
