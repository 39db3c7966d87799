import { TicketError, TicketIssuer } from '@eidermast/daemon'
import { v7 as uuidv7 } from 'uuid'
import { describe, expect, test } from 'vitest'

const LIFETIME_MS = 1000

function createIssuer(key: string, now = () => 0): TicketIssuer {
  return new TicketIssuer({ key, incarnation: uuidv7(), address: '127.0.0.1:1', lifetimeMs: LIFETIME_MS }, now)
}

describe('tickets', () => {
  test('identify their issuer and can be verified by any holder of the key', () => {
    const issuer = createIssuer('key')
    const issued = issuer.issue('medidores-sur')
    const content = { requestId: issued.requestId, account: 'medidores-sur', address: '127.0.0.1:1' }
    expect(createIssuer('key').verify(issued.ticket).unwrap()).toMatchObject(content)
  })

  test.each([
    ['issued with another key', (ticket: string) => createIssuer('other').verify(ticket), TicketError.Forged],
    ['modified', (ticket: string) => createIssuer('key').verify(`x${ticket}`), TicketError.Forged],
    ['truncated', (ticket: string) => createIssuer('key').verify(ticket.split('.')[0]), TicketError.Malformed],
    ['extended by another part', (ticket: string) => createIssuer('key').verify(`${ticket}.x`), TicketError.Malformed],
    ['expired', (ticket: string) => createIssuer('key', () => LIFETIME_MS + 1).verify(ticket), TicketError.Expired],
  ])('are rejected when %s', (_name, verify, error) => {
    const result = verify(createIssuer('key').issue('medidores-sur').ticket)
    expect(result.isErr() && result.error).toBe(error)
  })
})
