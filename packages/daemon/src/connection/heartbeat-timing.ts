/**
 * Decides when an entry sends a heartbeat to a side, when the side is considered
 * silent, and when its connection is closed.
 *
 * Inputs: milliseconds since the last stage reply and since the last answered
 * heartbeat (clock of this process); the number of stage results whose receipt
 * has not been acknowledged; the configuration offsets of both ends (the side's
 * as of the last heartbeat); the number of consecutive missed heartbeats.
 *
 * A heartbeat is due if the link was idle for one interval, if the last one is
 * MAX_HEARTBEAT_GAP intervals old, if MIN_ACKNOWLEDGEMENTS are pending, or if the
 * side's configuration is older. After SILENT_AFTER_MISSED_HEARTBEATS the side gets no
 * new calls; after CLOSE_AFTER_MISSED_HEARTBEATS the connection is closed and
 * reopened.
 *
 * Busy links skip heartbeats because a stage reply also carries the load, and 300
 * idle sides at two heartbeats a second cost an entry 34.5% of a core. One missed
 * heartbeat is not enough for a side to be silent: on a loaded VM a single late
 * reply removed a healthy side from service.
 *
 * Log events: `side-silent`, `side-answers`; then `member`.
 */

/** Consecutive missed heartbeats; a single one can be late on a loaded VM. */
const SILENT_AFTER_MISSED_HEARTBEATS = 2
/**
 * Consecutive missed heartbeats. Keeps the connections of sides that are only slow,
 * because closing one loses the calls on it; calls to a frozen side wait this long.
 */
const CLOSE_AFTER_MISSED_HEARTBEATS = 3
/**
 * Maximum number of intervals between heartbeats on a link with traffic. Saves
 * heartbeats on busy links, at the cost of later acknowledgements and updates of
 * the side's offset.
 */
const MAX_HEARTBEAT_GAP = 6
/**
 * Pending acknowledgements that trigger a heartbeat. Bounds the results kept in the
 * side's memory, at the cost of more heartbeats on busy links.
 */
const MIN_ACKNOWLEDGEMENTS = 500

/** State of a link. */
export interface HeartbeatInputs {
  /** Time since the last stage reply. */
  sinceReplyMs: number
  /** Time since the last answered heartbeat. */
  sinceHeartbeatMs: number
  /** Heartbeat interval from the settings. */
  intervalMs: number
  /** Number of received results that have not been acknowledged to the side. */
  acknowledgements: number
  /** Offset of this entry's configuration. */
  offset: number
  /** Offset of the side's configuration at the last answered heartbeat. */
  sideOffset: number
}

export function isHeartbeatDue(inputs: HeartbeatInputs): boolean {
  const idle = inputs.sinceReplyMs >= inputs.intervalMs
  const overdue = inputs.sinceHeartbeatMs >= inputs.intervalMs * MAX_HEARTBEAT_GAP
  const manyPending = inputs.acknowledgements >= MIN_ACKNOWLEDGEMENTS
  return idle || overdue || manyPending || inputs.sideOffset < inputs.offset
}

/** Health of a side, derived from missed heartbeats. */
export enum SideHealth {
  Answering = 'answering',
  /** Not enough missed heartbeats to decide: the previous state is kept. */
  Unclear = 'unclear',
  /** Gets no new calls. */
  Silent = 'silent',
  /** Its connection is closed. */
  Lost = 'lost',
}

/** Classifies a side by its number of consecutive missed heartbeats. */
export function classifySide(missed: number): SideHealth {
  if (missed === 0)
    return SideHealth.Answering
  if (missed >= CLOSE_AFTER_MISSED_HEARTBEATS)
    return SideHealth.Lost
  return missed >= SILENT_AFTER_MISSED_HEARTBEATS ? SideHealth.Silent : SideHealth.Unclear
}
