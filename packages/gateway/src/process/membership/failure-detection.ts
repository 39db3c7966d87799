/**
 * Decides when a gateway counts as failed, for this process only: peers never
 * report failures of others.
 *
 * Inputs: milliseconds since the member last answered a heartbeat (process
 * clock, at most one tick old), and how late this process's own tick is.
 * Rule: a member has failed when it has not answered for FAILED_AFTER_MS. Time
 * in which this process itself stood still does not count.
 * Why: several heartbeats may be lost within that time, so that no single one
 * decides. When a single one without an answer (450 ms) used up most of it, a
 * healthy coordinator counted as failed and two of them worked. Ticks look for
 * failures before answers that came meanwhile are read, so a process that
 * stands still again and again for 0.1 to 0.3 s left a healthy coordinator for
 * 47 to 140 ms.
 * Log events: `member-failed`, `member-recovered`.
 */

/** Milliseconds between heartbeats to a member. With twice as much one lost heartbeat is half of FAILED_AFTER_MS. */
export const HEARTBEAT_INTERVAL_MS = 150

/** Milliseconds. At half two lost heartbeats make a failure, at twice stage work waits longer for a coordinator. */
const FAILED_AFTER_MS = 600

/**
 * Milliseconds between two ticks from which on no heartbeat in between was
 * heard. At half every tick looks late, at twice a pause of nearly
 * FAILED_AFTER_MS counts as silence of the others.
 */
const LATE_TICK_MS = 2 * HEARTBEAT_INTERVAL_MS

/** Heartbeats to a member that may be lost in a row before it counts as failed, where they are sent seldom. */
const FAILED_AFTER_HEARTBEATS = 3

/** Whether a member that has been silent for this long, in milliseconds, has failed; takes the time between heartbeats to it. */
export function hasFailed(silentMs: number, intervalMs = HEARTBEAT_INTERVAL_MS): boolean {
  return silentMs >= Math.max(FAILED_AFTER_MS, intervalMs * FAILED_AFTER_HEARTBEATS)
}

/**
 * Milliseconds in which this process stood still and heard nobody, by the time
 * since its last tick: all of a long pause, and what a short one is late.
 */
export function ownPauseMs(sinceLastTickMs: number): number {
  const lateMs = Math.max(0, sinceLastTickMs - HEARTBEAT_INTERVAL_MS)
  return sinceLastTickMs < LATE_TICK_MS ? lateMs : sinceLastTickMs
}
