/**
 * How many requests of a service this gateway has in flight, how long they take
 * from sending to their end, and how often it sends one. Kept in memory, from the
 * first call on.
 */
import type { ServicePace } from './admission-decision.js'

/** Lower bound of the weight of the newest call; about ten calls count, so that the mean follows a change within a second under load. */
const MIN_WEIGHT = 0.1
/** The longer the time since the last call, the higher the weight of the next. */
const WEIGHT_TIME_MS = 1000

/** Measures the calls of one service. */
export class CallPace {
  inFlight = 0
  private callMs: number | undefined
  private endedAt = Number.NEGATIVE_INFINITY
  private sentAt = Number.NEGATIVE_INFINITY

  /** The pace as of now; `waitingSince` is since when the first request in the queue has waited, in milliseconds on the monotonic clock. */
  describe(waitingSince: number, now: number): ServicePace {
    return {
      inFlight: this.inFlight,
      callMs: this.callMs,
      // Little's law: the gateway sends as often as its calls end.
      sendIntervalMs: this.inFlight === 0 || this.callMs === undefined ? undefined : this.callMs / this.inFlight,
      stalledMs: Math.max(0, now - Math.max(this.sentAt, waitingSince)),
    }
  }

  /** Records that a request is sent. */
  recordSent(now: number): void {
    this.inFlight++
    this.sentAt = now
  }

  /** Records that a request sent `tookMs` milliseconds ago has ended. */
  recordEnd(tookMs: number, now: number): void {
    this.inFlight--
    const weight = Math.max(MIN_WEIGHT, 1 - Math.exp(-(now - this.endedAt) / WEIGHT_TIME_MS))
    this.callMs = this.callMs === undefined ? tookMs : this.callMs + (tookMs - this.callMs) * weight
    this.endedAt = now
  }

  /** Records that a request that was sent waits again, since it was refused. */
  recordRefused(): void {
    this.inFlight--
  }
}
