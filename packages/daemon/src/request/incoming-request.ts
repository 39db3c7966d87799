/**
 * A request as the callers' server, or another entry, hands it over. It lives
 * as long as its handling.
 */
import type { LinkTokenListener } from '../connection/link-call.js'
import type { Ticket } from './authority/tickets.js'
import type { RequestPlan } from './plan.js'

/** A request as it came in. */
export interface IncomingRequest {
  account: string
  /** Weight of the client account. */
  share: number
  /** The id that the caller made, if any. */
  requestId?: string
  /** The checked ticket that the request comes with, if any. */
  ticket?: Ticket
  /** The ticket as the caller sent it. */
  ticketText?: string
  plan: RequestPlan
  body: string
  /** Time of the process clock at which the request came, in milliseconds. */
  arrivedAt: number
  callerGone: AbortSignal
  onToken?: LinkTokenListener
}

/** What is left of a request's deadline now, in milliseconds; negative once it has passed. */
export function remainingMs(incoming: IncomingRequest): number {
  return incoming.arrivedAt + incoming.plan.deadlineMs - performance.now()
}

/** Whether another entry may get the same unrepeatable request: its caller made the id, and no ticket binds it to this entry. */
export function needsClaim(incoming: IncomingRequest): boolean {
  return incoming.plan.unrepeatable && incoming.requestId !== undefined && incoming.ticket === undefined
}
