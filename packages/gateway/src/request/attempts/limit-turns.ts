/**
 * Decides whether one more request may go now to a backend server that names a
 * limit of requests a second, and when the next one may, so that all gateways
 * together stay within the limit.
 *
 * Inputs: the limit (requests a second, as the newest answer named it); this
 * gateway's place and part among those that share it (from the directory); the
 * time of day; when the last request was sent there (ms, as of now).
 * Rule: time is divided into turns, one for each request that this gateway may
 * send. A turn is open for MAX_OPEN_MS at most and takes one request. Turns of
 * the gateways follow one another by their places, at each backend server from
 * another moment on.
 * Why: the limit is a sum over all gateways, and no message is sent for it. With
 * places that are drawn or hashed, the turns of hundreds of gateways pile up in
 * some seconds; with unused turns that are kept, an idle deployment would use
 * all of them at once. Where clocks differ, turns of a few gateways overlap.
 * Log event: `route` (limitPerSecond, limitAgeMs), `backend-limit`.
 */
import type { Backend } from '../../connection/backends/backend.js'
import { HASH_RANGE, hashText } from '../rendezvous.js'

/** Milliseconds. Longer turns of several gateways overlap, shorter ones pass unused where requests are few. */
const MAX_OPEN_MS = 1000
/** Requests a second that a limit of less, or of none, is taken for: a backend server that gets nothing cannot say that its limit has ended. */
const MIN_PER_SECOND = 0.1
/** Part of a turn that has to pass between two requests where turns move, since the limit or the gateways changed. */
const MIN_SPACING = 0.5
const MILLISECONDS_PER_SECOND = 1000

/** Where a gateway stands among those that share a limit. */
export interface LimitShare {
  /** From 0 to 1, evenly spaced; another one for each gateway. */
  place: number
  /** Part of the limit that it may use, from 0 to 1. */
  part: number
}

/** A clock in milliseconds. */
export type Clock = () => number

/** Spaces the requests of one process to each backend server that names a limit. */
export class LimitTurns {
  constructor(
    private readonly share: (backend: Backend) => LimitShare,
    private readonly now: Clock = () => performance.now(),
    private readonly timeOfDay: Clock = () => Date.now(),
  ) {}

  /** Milliseconds until a request may go there; 0 where one may now, as always where no limit is named. */
  waitMs(backend: Backend): number {
    const { limitPerSecond, lastSentAt } = backend.intake
    if (limitPerSecond === undefined)
      return 0
    const { place, part } = this.share(backend)
    const turnMs = MILLISECONDS_PER_SECOND / (Math.max(limitPerSecond, MIN_PER_SECOND) * part)
    const openFor = this.openFor(backend, place, turnMs)
    const sinceSent = this.now() - lastSentAt
    const isSpaced = sinceSent >= turnMs * MIN_SPACING
    if (openFor < MAX_OPEN_MS && sinceSent > openFor && isSpaced)
      return 0
    return Math.max(turnMs - openFor, turnMs * MIN_SPACING - sinceSent)
  }

  /** Milliseconds since the newest turn of this gateway began. */
  private openFor(backend: Backend, place: number, turnMs: number): number {
    const firstPart = place + hashText(backend.life) / HASH_RANGE
    return (this.timeOfDay() + turnMs * (2 - firstPart)) % turnMs
  }
}
