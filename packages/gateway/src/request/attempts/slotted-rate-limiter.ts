/**
 * Decides whether one more request may be sent now to a backend server that
 * reports a rate limit, and when the next one may, so that all gateways together
 * stay within the limit.
 *
 * Inputs: the limit (requests per second, from the latest response); this
 * gateway's position and share among those that share the limit (from the
 * directory); the wall clock; when the last request was sent there (ms, current).
 * Rule: time is divided into time slots, one for each request that this gateway
 * may send. A time slot is open for at most MAX_OPEN_MS and admits one request.
 * The time slots of the gateways follow one another by position, with a
 * different offset for each backend server.
 * Why: the limit is a sum over all gateways, and no messages are exchanged for
 * it. With random or hashed positions, the time slots of hundreds of gateways
 * cluster in some seconds; if unused time slots were kept, an idle deployment
 * could use all of them at once. Where clocks differ, the time slots of a few
 * gateways overlap.
 * Log event: `route` (limitPerSecond, limitAgeMs), `backend-limit`.
 */
import type { Backend } from '../../connection/backends/backend.js'
import { HASH_RANGE, hashText } from '../rendezvous.js'

/** Limits the overlap with the time slots of other gateways, at the cost of time slots that pass unused if requests are rare. */
const MAX_OPEN_MS = 1000
/** Lower bound of the limit in requests per second: a backend server that gets no requests cannot report that its limit has ended. */
const MIN_PER_SECOND = 0.1
/** Minimum time between two requests, as a share of a time slot; applies when time slots move because the limit or the set of gateways changed. */
const MIN_SPACING_SHARE = 0.5
const MILLISECONDS_PER_SECOND = 1000

/** Position and share of a gateway among those that share a limit. */
export interface LimitShare {
  /** From 0 to 1, evenly spaced; different for each gateway. */
  position: number
  /** Share of the limit that it may use, from 0 to 1. */
  part: number
}

/** A clock in milliseconds. */
export type Clock = () => number

/** Limits the rate of requests from one process to each backend server that reports a limit. */
export class SlottedRateLimiter {
  constructor(
    private readonly share: (backend: Backend) => LimitShare,
    private readonly now: Clock = () => performance.now(),
    private readonly wallClock: Clock = () => Date.now(),
  ) {}

  /** Milliseconds until a request may be sent there; 0 if one may be sent now or no limit is reported. */
  waitMs(backend: Backend): number {
    const { limitPerSecond, lastSentAt } = backend.intake
    if (limitPerSecond === undefined)
      return 0
    const { position, part } = this.share(backend)
    const slotMs = MILLISECONDS_PER_SECOND / (Math.max(limitPerSecond, MIN_PER_SECOND) * part)
    const slotAge = this.slotAgeMs(backend, position, slotMs)
    const sinceSentMs = this.now() - lastSentAt
    const isSpaced = sinceSentMs >= slotMs * MIN_SPACING_SHARE
    if (slotAge < MAX_OPEN_MS && sinceSentMs > slotAge && isSpaced)
      return 0
    return Math.max(slotMs - slotAge, slotMs * MIN_SPACING_SHARE - sinceSentMs)
  }

  /** Milliseconds since the current time slot of this gateway began. */
  private slotAgeMs(backend: Backend, position: number, slotMs: number): number {
    const offset = position + hashText(backend.incarnation) / HASH_RANGE
    return (this.wallClock() + slotMs * (2 - offset)) % slotMs
  }
}
