/**
 * Decides whether this process is too slow to coordinate the stage work.
 *
 * Inputs: how late each of its ticks is (ms), a few a second; the share of a
 * core that the process may use (settings).
 * Rule: slow when the mean lateness, in which the newest tick weighs
 * LATENESS_WEIGHT, reaches SLOW_LATENESS_MS, longer where the share is less than
 * USUAL_SHARE; for SLOW_FOR_MS from the last such tick. A single tick counts for
 * no more than MAX_LATENESS_RATIO times that.
 * Why: a process that is short of processor time answers heartbeats, so that no
 * peer counts it as failed, while everybody's stage work waits for it. The
 * lateness of its ticks shows that before its calls are late. A pause, however
 * long, is over when it is noticed; only repeated lateness is slowness. What a
 * process on a small VM always is, is none: there is no better place for the
 * work, and each change of the coordinator costs requests.
 * Log event: `slow`, `no-longer-slow`.
 */

/**
 * Milliseconds: some late ticks in a row, not a single one. Half would hand over
 * for two late ticks, twice would keep a coordinator that is half as slow.
 */
const SLOW_LATENESS_MS = 40
/**
 * Share of a core to which that belongs: the same work takes as much longer as a
 * VM's share is less. With one limit for all, small gateways would find
 * themselves slow in turn.
 */
const USUAL_SHARE = 0.5
/** Without a bound one long pause would count as slowness. */
const MAX_LATENESS_RATIO = 2.5
/** Weight of the newest tick: the third of three late ticks decides. */
const LATENESS_WEIGHT = 0.25
/**
 * Milliseconds. Half of it lets the role come back to a process that is still
 * slow twice as often, twice as much has no cost where another gateway is as
 * good.
 */
const SLOW_FOR_MS = 30_000

/** Follows the lateness of one process's ticks; times are on the process clock, in milliseconds. */
export class SlownessWatch {
  private readonly slowLatenessMs: number
  private latenessMs = 0
  private slowUntil = Number.NEGATIVE_INFINITY

  /** Takes the share of a core that the process may use. */
  constructor(coreShare = USUAL_SHARE) {
    this.slowLatenessMs = SLOW_LATENESS_MS * Math.max(1, USUAL_SHARE / coreShare)
  }

  /** Mean lateness of the newest ticks, in milliseconds. */
  get meanLatenessMs(): number {
    return this.latenessMs
  }

  /** Takes a tick and says whether the process is slow now. */
  takeTick(lateMs: number, now: number): boolean {
    const bounded = Math.min(this.slowLatenessMs * MAX_LATENESS_RATIO, Math.max(0, lateMs))
    this.latenessMs += (bounded - this.latenessMs) * LATENESS_WEIGHT
    if (this.latenessMs >= this.slowLatenessMs)
      this.slowUntil = now + SLOW_FOR_MS
    return now < this.slowUntil
  }
}
