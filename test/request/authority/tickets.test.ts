import { TicketFault, TicketOffice } from '@eidermast/daemon'
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
    const content = { requestId: issued.requestId, account: 'medidores-sur', address: '127.0.0.1:1' }
    expect(createOffice('key').verify(issued.ticket).unwrap()).toMatchObject(content)
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
