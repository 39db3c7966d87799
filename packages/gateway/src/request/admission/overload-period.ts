/**
 * Decides over which time refused callers of one service return.
 *
 * Load: bursts that last from some hundred ms to many seconds.
 *
 * Inputs: when requests of the service were refused at this gateway (ms, as of
 * now), the target latency of the route (ms).
 * Rule: over the target, or over as long as requests have been refused without a
 * pause of one target, where that is longer.
 * Why: overload that has lasted for long is likely to last on. Callers who return
 * while it does are refused again; who returns long after it has waited in vain.
 * Log event: `admission` (`retryAfterMs`).
 *
 * State: two times, in memory.
 */

/** The current or last period in which requests were refused. */
export class OverloadPeriod {
  private startedAt = Number.NEGATIVE_INFINITY
  private refusedAt = Number.NEGATIVE_INFINITY

  /** Records a refusal; returns the time over which the caller and others should return, in milliseconds. */
  recordRefusal(targetLatencyMs: number, now: number): number {
    if (now - this.refusedAt > targetLatencyMs)
      this.startedAt = now
    this.refusedAt = now
    return Math.max(targetLatencyMs, now - this.startedAt)
  }
}
