/**
 * Decides whether this process is too slow to coordinate the stage work.
 *
 * Inputs: how late each of its ticks is (ms), a few a second.
 * Rule: slow when the mean lateness, in which the newest tick weighs
 * LATENESS_WEIGHT, reaches SLOW_LATENESS_MS; for SLOW_FOR_MS from the last such
 * tick. A single tick counts for no more than MAX_LATENESS_MS.
 * Why: a process that is short of processor time answers heartbeats, so that no
 * peer counts it as failed, while everybody's stage work waits for it. The
 * lateness of its ticks shows that before its calls are late. A pause, however
 * long, is over when it is noticed; only repeated lateness is slowness.
 * Set by: the constants below.
 * Log event: `slow`, `no-longer-slow`.
 */

/**
 * Milliseconds. With a fifth of its processor time a coordinator had ticks 20 to
 * 94 ms late, each, from 0.8 s on; on usual days single ones, up to 117 ms, two
 * seconds apart. Half and twice of it not measured: half would hand over for two
 * late ticks, twice would keep a coordinator that is half as slow.
 */
const SLOW_LATENESS_MS = 40
/** Milliseconds. Not measured; without a bound one long pause would count as slowness. */
const MAX_LATENESS_MS = 100
/** Weight of the newest tick: the third of three late ticks decides. Not measured apart. */
const LATENESS_WEIGHT = 0.25
/**
 * Milliseconds. Not measured; half of it lets the role come back to a process
 * that is still slow twice as often, twice as much has no cost where another
 * gateway is as good.
 */
const SLOW_FOR_MS = 30_000

/** Follows the lateness of one process's ticks; times are on the process clock, in milliseconds. */
export class SlownessWatch {
  private latenessMs = 0
  private slowUntil = Number.NEGATIVE_INFINITY

  /** Mean lateness of the newest ticks, in milliseconds. */
  get meanLatenessMs(): number {
    return this.latenessMs
  }

  /** Takes a tick and says whether the process is slow now. */
  takeTick(lateMs: number, now: number): boolean {
    const bounded = Math.min(MAX_LATENESS_MS, Math.max(0, lateMs))
    this.latenessMs += (bounded - this.latenessMs) * LATENESS_WEIGHT
    if (this.latenessMs >= SLOW_LATENESS_MS)
      this.slowUntil = now + SLOW_FOR_MS
    return now < this.slowUntil
  }
}
