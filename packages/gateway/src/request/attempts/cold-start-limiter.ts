/**
 * Decides whether one more request may be sent to a cold backend server now, so
 * that all gateways together stay within the rate that it can take. This
 * protects backend servers that have just started, at times a whole failure
 * domain of them: they are empty and idle, so that every gateway prefers them.
 *
 * Inputs: since when and until when the backend server is cold (ms, as its
 * entry or its responses report, current); the rate at which this process may
 * send to it (from the configuration and the number of gateways); when this
 * process last sent a request there.
 * Rule: the time since the cold start is divided into time slots, one for each
 * request that this process may send. A time slot is open for MAX_OPEN_MS and
 * admits one request. The time slots of different gateways are offset by a hash
 * of their names.
 * Why: the limit is a sum over all gateways, including those that do not know
 * each other, and no messages are exchanged for it. If unused time slots stayed
 * open, all gateways could use them in the same second; without the offset, all
 * gateways would send at once when a backend server restarts.
 * Log event: `route`, `backend-cold`.
 *
 * State: when the last request was sent to each backend server, until its removal.
 */
import type { Backend } from '../../connection/backends/backend.js'
import { HASH_RANGE, hashText } from '../rendezvous.js'

/** The rate at which all gateways together may send to a cold backend server, relative to the rate that it can take. */
export interface ColdAllowance {
  /** Factor on that rate. */
  overshoot: number
  /** Additional requests per second. */
  slack: number
}

/**
 * Share of the allowance for assignments by all coordinators together. The rest
 * is reserved for gateways that select by themselves, and for the short time in
 * which two coordinators are active during a change.
 */
export const COORDINATED_SHARE = 0.4
/** Share of the allowance for gateways that select by themselves, all together. */
export const UNCOORDINATED_SHARE = 0.15
/** Limits bursts: the requests of any second belong to time slots that began within 1.5 s. */
const MAX_OPEN_MS = 500
const MILLISECONDS_PER_SECOND = 1000

/** Requests per second to one cold backend server of a service; undefined if there is no limit. */
export type ColdRate = (service: string) => number | undefined

/** Requests per second that all gateways together may send to a cold backend server that can take `sustainableRate`. */
export function coldAllowancePerSecond(sustainableRate: number, { overshoot, slack }: ColdAllowance): number {
  return sustainableRate * overshoot + slack
}

/** Limits the rate of requests from one process to each cold backend server. */
export class ColdStartLimiter {
  private readonly lastSentAt = new WeakMap<Backend, number>()

  /** `name` is the name of this gateway, `rate` the rate that it may use. */
  constructor(private readonly name: string, private readonly rate: ColdRate) {}

  /** Whether a request may be sent there now; always true if the backend server is not cold. */
  mayTake(backend: Backend, now: number): boolean {
    const rate = backend.isCold(now) ? this.rate(backend.service) : undefined
    if (rate === undefined)
      return true
    const slotAge = this.slotAgeMs(backend, MILLISECONDS_PER_SECOND / rate, now)
    return slotAge !== undefined && (this.lastSentAt.get(backend) ?? Number.NEGATIVE_INFINITY) < now - slotAge
  }

  /** Records that a request is sent. */
  note(backend: Backend, now: number): void {
    if (backend.isCold(now))
      this.lastSentAt.set(backend, now)
  }

  /** Milliseconds for which the current time slot has been open; undefined if none is open. */
  private slotAgeMs(backend: Backend, slotMs: number, now: number): number | undefined {
    const firstSlotAt = backend.coldSince + slotMs * hashText(`${this.name}\n${backend.incarnation}`) / HASH_RANGE
    if (now < firstSlotAt)
      return undefined
    const slotAge = (now - firstSlotAt) % slotMs
    return slotAge < MAX_OPEN_MS ? slotAge : undefined
  }
}
