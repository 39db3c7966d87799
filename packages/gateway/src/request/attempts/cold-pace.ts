/**
 * Decides whether one more request may go to a cold backend server now, so that
 * all gateways together stay within what it withstands. Answers the load that
 * meets backend servers that have just started, a whole failure domain of them
 * at times: empty and idle, each of them seems the best choice to everybody.
 *
 * Inputs: since when and until when the backend server is cold (ms, as its
 * entry or its answers say, as of now); the requests a second that this process
 * may send there (from the configuration and the number of gateways); when it
 * sent the last one.
 * Rule: time since the beginning is divided into turns, one for each request
 * that this process may send. A turn is open for MAX_OPEN_MS, and takes one
 * request. Turns of different gateways begin at different moments, by a hash of
 * their names.
 * Why: the bound is a sum over all gateways, also those that do not know each
 * other, and no message is sent for it. A turn that stayed open would let all
 * gateways use saved turns in the same second; gateways whose turns began
 * together would all send at once when a backend server comes back.
 * Log event: `route`, `backend-cold`.
 *
 * State: when the last request went to each backend server, until it is removed.
 */
import type { Backend } from '../../connection/backends/backend.js'
import { HASH_RANGE, hashText } from '../rendezvous.js'

/** What a cold backend server may get from all gateways together, over the rate that it withstands. */
export interface ColdAllowance {
  /** Factor on the rate. */
  overshoot: number
  /** Requests in a second beside that. */
  slack: number
}

/**
 * Part of the allowance that coordinators assign together. The rest covers
 * gateways that choose by themselves, and two coordinators in a moment of change.
 */
export const COORDINATED_SHARE = 0.4
/** Part of the allowance that gateways use which choose by themselves, all together. */
export const OWN_SHARE = 0.15
/** Milliseconds. A second meets the open turns of one and a half seconds; with longer ones, of two. */
const MAX_OPEN_MS = 500
const MILLISECONDS_PER_SECOND = 1000

/** Requests a second to one cold backend server of a service; undefined where there is no bound. */
export type ColdRate = (service: string) => number | undefined

/** Requests a second that all gateways together may send to a cold backend server that withstands a rate. */
export function coldAllowancePerSecond(withstands: number, { overshoot, slack }: ColdAllowance): number {
  return withstands * overshoot + slack
}

/** Spaces the requests of one process to each cold backend server. */
export class ColdPace {
  private readonly lastSentAt = new WeakMap<Backend, number>()

  /** Takes the name of this gateway and the rate that it may use. */
  constructor(private readonly name: string, private readonly rate: ColdRate) {}

  /** Whether a request may go there now; always where the backend server is not cold. */
  mayTake(backend: Backend, now: number): boolean {
    const rate = backend.isCold(now) ? this.rate(backend.service) : undefined
    if (rate === undefined)
      return true
    const openFor = this.openFor(backend, MILLISECONDS_PER_SECOND / rate, now)
    return openFor !== undefined && (this.lastSentAt.get(backend) ?? Number.NEGATIVE_INFINITY) < now - openFor
  }

  /** A request goes there. */
  note(backend: Backend, now: number): void {
    if (backend.isCold(now))
      this.lastSentAt.set(backend, now)
  }

  /** Milliseconds for which a turn has been open; undefined where none is. */
  private openFor(backend: Backend, turnMs: number, now: number): number | undefined {
    const firstAt = backend.coldSince + turnMs * hashText(`${this.name}\n${backend.life}`) / HASH_RANGE
    if (now < firstAt)
      return undefined
    const sinceTurn = (now - firstAt) % turnMs
    return sinceTurn < MAX_OPEN_MS ? sinceTurn : undefined
  }
}
