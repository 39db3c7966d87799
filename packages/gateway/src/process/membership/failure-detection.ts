/**
 * Decides when this process considers a gateway failed. Peers do not report
 * failures of other gateways.
 *
 * Inputs: milliseconds since the member last answered a heartbeat or another call
 * (monotonic clock, at most one tick old), and how late this process's own tick
 * is.
 * Rule: a member has failed if it has not answered for FAILED_AFTER_MS. Time
 * during which this process itself was paused does not count.
 * Why: several heartbeats may be lost within that time, so that no single one
 * decides; heartbeats are sent while others are unanswered. A busy member answers
 * them late, but goes on answering other calls. A tick checks
 * for failures before replies that arrived in the meantime are read; a process
 * with repeated pauses of 0.1 to 0.3 s therefore dropped a healthy coordinator
 * for 47 to 140 ms.
 * Log events: `member-failed`, `member-recovered`.
 */

/** Interval of heartbeats to a member. A small part of FAILED_AFTER_MS, so that one lost heartbeat uses up little of it. */
export const HEARTBEAT_INTERVAL_MS = 150

/**
 * Long enough that two lost heartbeats are no failure; stage work waits this long
 * for a new coordinator.
 */
const FAILED_AFTER_MS = 600

/**
 * Time between two ticks from which on the process counts as paused for the whole
 * interval. Above the usual time between ticks, and below FAILED_AFTER_MS, so
 * that a pause of nearly that length does not count as silence of the peers.
 */
const LATE_TICK_MS = 2 * HEARTBEAT_INTERVAL_MS

/** Lost heartbeats in a row after which a member has failed, where the interval is long. */
const FAILED_AFTER_HEARTBEATS = 3

/** Whether a member that has been silent for `silentMs` has failed, given the interval of heartbeats to it. */
export function hasFailed(silentMs: number, intervalMs = HEARTBEAT_INTERVAL_MS): boolean {
  return silentMs >= Math.max(FAILED_AFTER_MS, intervalMs * FAILED_AFTER_HEARTBEATS)
}

/**
 * Milliseconds of this process's own pause, derived from the time since its last
 * tick: the whole interval for a long pause, otherwise the lateness of the tick.
 */
export function ownPauseMs(sinceLastTickMs: number): number {
  const lateMs = Math.max(0, sinceLastTickMs - HEARTBEAT_INTERVAL_MS)
  return sinceLastTickMs < LATE_TICK_MS ? lateMs : sinceLastTickMs
}
