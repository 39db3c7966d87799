/**
 * Decides whether this process is too slow to coordinate the stage work.
 *
 * Inputs: the lateness of each of its ticks (ms), several ticks a second, and the
 * part of a core that the process has used since the tick before; the share of a
 * core that it may use (settings).
 * Rule: slow when the moving average of the lateness, with weight
 * NEWEST_TICK_WEIGHT for the newest tick, reaches SLOW_LATENESS_MS, scaled up if
 * the share is below REFERENCE_CORE_SHARE; for SLOW_HOLD_MS from the last such
 * tick. The lateness of a single tick is capped at MAX_LATENESS_RATIO times the
 * threshold. A tick counts as punctual if the process has used at least
 * BUSY_SHARE of what it may use.
 * Why: a process that is short of CPU time still answers heartbeats, so
 * that no peer considers it failed while all stage work waits for it. The
 * lateness of its ticks shows this before its calls are late. A single pause,
 * however long, is over when it is noticed; only repeated lateness means that the
 * process is slow. A process that is late though it gets its CPU time is busy: the
 * role would make any other gateway as busy, and each change throws stage work
 * away. The usual lateness on a small VM does not count: no other
 * gateway would be better, and each change of the coordinator costs requests.
 * Log events: `slow`, `no-longer-slow`.
 */

/**
 * Reached by several late ticks in a row, not by a single one: a handover costs
 * requests, but all stage work waits for a coordinator that stays slow.
 */
const SLOW_LATENESS_MS = 40
/**
 * Share of a core that SLOW_LATENESS_MS applies to. The same work takes longer in
 * proportion as the share is smaller; with the same threshold for all, small
 * gateways would become slow one after the other.
 */
const REFERENCE_CORE_SHARE = 0.5
/**
 * Part of its CPU time from which on a late process counts as busy. With less, its
 * VM is so much slower than others that moving the role is worth the work that is
 * thrown away.
 */
const BUSY_SHARE = 1 / 3
/** A process does its work on one thread, so that it uses little more than one core. */
const MAX_USABLE_CORES = 1
/** Without a cap, one long pause would count as slowness. */
const MAX_LATENESS_RATIO = 2.5
/** Weight of the newest tick in the moving average. Low, so that several ticks decide together. */
const NEWEST_TICK_WEIGHT = 0.25
/**
 * Limits how often the role returns to a process that is still slow. Holding
 * longer costs nothing as long as another gateway is as fast.
 */
const SLOW_HOLD_MS = 30_000

/** One tick of a process. */
export interface Tick {
  /** Milliseconds after it was due. */
  lateMs: number
  /** Part of a core that the process has used since the tick before. */
  usedCoreShare: number
}

/** Tracks the lateness of this process's ticks. Times are on the monotonic clock, in milliseconds. */
export class SlownessDetector {
  private readonly slowLatenessMs: number
  /** Part of a core that a busy process uses at least. */
  private readonly busyCoreShare: number
  private latenessMs = 0
  private slowUntil = Number.NEGATIVE_INFINITY

  /** `coreShare` is the share of a core that the process may use. */
  constructor(coreShare = REFERENCE_CORE_SHARE) {
    this.slowLatenessMs = SLOW_LATENESS_MS * Math.max(1, REFERENCE_CORE_SHARE / coreShare)
    this.busyCoreShare = BUSY_SHARE * Math.min(MAX_USABLE_CORES, coreShare)
  }

  /** Moving average of the lateness that counts, in milliseconds. */
  get meanLatenessMs(): number {
    return this.latenessMs
  }

  /** Records a tick and returns whether the process is slow now. */
  recordTick({ lateMs, usedCoreShare }: Tick, now: number): boolean {
    const countedMs = usedCoreShare >= this.busyCoreShare ? 0 : Math.max(0, lateMs)
    const cappedMs = Math.min(this.slowLatenessMs * MAX_LATENESS_RATIO, countedMs)
    this.latenessMs += (cappedMs - this.latenessMs) * NEWEST_TICK_WEIGHT
    if (this.latenessMs >= this.slowLatenessMs)
      this.slowUntil = now + SLOW_HOLD_MS
    return now < this.slowUntil
  }
}
