/**
 * Decides whether a ticket is authentic and which process incarnation may run its
 * request.
 *
 * Inputs: the ticket as sent by the caller; the secret shared by all entries; the
 * current time (epoch ms).
 *
 * A ticket contains the process incarnation that issued it, the address of that
 * process and an expiry time, authenticated with an HMAC. Only the issuing
 * incarnation runs the request; other entries forward it. Unlike claims, tickets
 * do not depend on the log, which may be unavailable. Because a ticket becomes
 * unusable when its incarnation ends, its request cannot run twice.
 *
 * Log events: `forward`; rejected tickets appear as `ticket-invalid` in `answer`.
 *
 * State: only the key. A request whose ticket outlives its process is not run; other
 * entries only look up its result.
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
  /** Process incarnation of the entry. */
  incarnation: z.uuid(),
  /** Peer address of the entry as `host:port`. */
  address: z.string(),
  /** Epoch milliseconds. */
  expiresAt: z.number(),
})

/** Payload of a ticket. */
export type Ticket = z.infer<typeof ticketSchema>

/** Options of a ticket issuer. */
export interface TicketIssuerOptions {
  /** Secret shared by all entries. */
  key: string
  /** Incarnation of this process. */
  incarnation: string
  /** Peer address of this entry as `host:port`. */
  address: string
  /** How long a ticket is valid. */
  lifetimeMs: number
}

/** Reason why a ticket is invalid. */
export enum TicketError {
  Malformed = 'malformed',
  Forged = 'forged',
  Expired = 'expired',
}

/** Issues and verifies tickets. */
export class TicketIssuer {
  private readonly signingKey: Buffer

  constructor(private readonly options: TicketIssuerOptions, private readonly now: () => number = Date.now) {
    this.signingKey = createHmac('sha256', options.key).update('eidermast ticket').digest()
  }

  /** Issues a ticket for a client account. */
  issue(account: string): IssuedTicket {
    const { incarnation, address, lifetimeMs } = this.options
    const content: Ticket = { requestId: createRequestId(), account, incarnation, address, expiresAt: this.now() + lifetimeMs }
    const payload = Buffer.from(JSON.stringify(content)).toString('base64url')
    return { requestId: content.requestId, ticket: `${payload}.${this.sign(payload)}`, expiresAt: content.expiresAt }
  }

  /** Verifies the format, signature and expiry time of a ticket. */
  verify(text: string): Result<Ticket, TicketError> {
    const [payload, signature, ...rest] = text.split('.')
    if (!payload || !signature || rest.length > 0)
      return Err(TicketError.Malformed)
    if (!equalSecrets(signature, this.sign(payload)))
      return Err(TicketError.Forged)
    const content = ticketSchema.safeParse(parseJson(Buffer.from(payload, 'base64url').toString()))
    if (!content.success)
      return Err(TicketError.Malformed)
    return content.data.expiresAt < this.now() ? Err(TicketError.Expired) : Ok(content.data)
  }

  private sign(payload: string): string {
    return createHmac('sha256', this.signingKey).update(payload).digest('base64url')
  }
}
