/**
 * Decides whether a ticket is genuine and whose process life may run the
 * request under it.
 *
 * Inputs: the ticket as the caller sent it; the key that all entries share; the
 * time now (epoch ms).
 * Rule: a ticket names the process life that made it, its address and its end,
 * under a keyed hash. Only that process life runs the request; other entries
 * pass it on.
 * Why: a claim needs the log, which may not answer; a process life that ends
 * takes its tickets with it, so no request under one can run twice.
 * Log events: `forward`; refusals show as `ticket-invalid` in `answer`.
 *
 * State: none but the key; a ticket outlives its process only as a refusal.
 */
import type { Result } from 'ts-results-es'
import type { IssuedTicket } from '../../connection/caller-service.js'
import { createHmac } from 'node:crypto'
import { Err, Ok } from 'ts-results-es'
import * as z from 'zod'
import { parseJson } from '../../connection/answer.js'
import { createRequestId } from '../../connection/identity.js'
import { equalSecrets } from '../../connection/peer-key.js'

const ticketSchema = z.object({
  requestId: z.uuid(),
  account: z.string(),
  /** The entry's process life. */
  incarnation: z.uuid(),
  /** The entry's address between processes, as `host:port`. */
  address: z.string(),
  /** Epoch milliseconds. */
  expiresAt: z.number(),
})

/** The content of a ticket. */
export type Ticket = z.infer<typeof ticketSchema>

/** Options of a ticket office. */
export interface TicketOfficeOptions {
  /** Secret that all entries share. */
  key: string
  /** This process life. */
  incarnation: string
  /** This entry's address between processes, as `host:port`. */
  address: string
  /** Milliseconds for which a ticket may be used. */
  lifetimeMs: number
}

/** Why a ticket is refused. */
export enum TicketFault {
  Malformed = 'malformed',
  Forged = 'forged',
  Expired = 'expired',
}

/** Makes and checks tickets. */
export class TicketOffice {
  private readonly signingKey: Buffer

  constructor(private readonly options: TicketOfficeOptions, private readonly now: () => number = Date.now) {
    this.signingKey = createHmac('sha256', options.key).update('eidermast ticket').digest()
  }

  /** Makes a ticket for a client account. */
  issue(account: string): IssuedTicket {
    const { incarnation, address, lifetimeMs } = this.options
    const content: Ticket = { requestId: createRequestId(), account, incarnation, address, expiresAt: this.now() + lifetimeMs }
    const payload = Buffer.from(JSON.stringify(content)).toString('base64url')
    return { requestId: content.requestId, ticket: `${payload}.${this.sign(payload)}`, expiresAt: content.expiresAt }
  }

  /** Checks a ticket's form, signature and time. */
  verify(text: string): Result<Ticket, TicketFault> {
    const [payload, signature, ...rest] = text.split('.')
    if (!payload || !signature || rest.length > 0)
      return Err(TicketFault.Malformed)
    if (!equalSecrets(signature, this.sign(payload)))
      return Err(TicketFault.Forged)
    const content = ticketSchema.safeParse(parseJson(Buffer.from(payload, 'base64url').toString()))
    if (!content.success)
      return Err(TicketFault.Malformed)
    return content.data.expiresAt < this.now() ? Err(TicketFault.Expired) : Ok(content.data)
  }

  private sign(payload: string): string {
    return createHmac('sha256', this.signingKey).update(payload).digest('base64url')
  }
}
