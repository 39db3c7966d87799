/**
 * Decides when an entry sends a heartbeat to a side, when the side counts as
 * silent, and when its connection is closed.
 *
 * Inputs: milliseconds since the newest reply of a stage call and since the
 * newest answered heartbeat (clock of this process, as of now), stage results
 * whose receipt is not yet reported, the configuration offsets of both ends
 * (the side's as of the newest heartbeat), heartbeats in a row without an
 * answer.
 * Rule: a heartbeat is due when the link was quiet for one interval, when the
 * newest one is MAX_HEARTBEAT_GAP intervals old, when MIN_ACKNOWLEDGEMENTS
 * wait, or when the side's configuration is older. After SILENT_AFTER_MISSED
 * the side gets no new calls, after MAX_MISSED the connection is closed and
 * opened again. Why not one heartbeat an interval: a reply carries the load as
 * well, and 300 idle sides at two heartbeats a second cost an entry 34.5% of a
 * core. Why not silent after one: on a loaded VM a single late answer took a
 * good side out of work.
 * Log events: `side-silent`, `side-answers`; then `member`.
 */

/** Heartbeats in a row without an answer: a single one is lost too easily. */
const SILENT_AFTER_MISSED = 2
/**
 * Heartbeats in a row without an answer. Half would close connections of sides
 * that are only slow, and lose the calls on them; twice would leave calls
 * waiting on a frozen side for longer.
 */
const MAX_MISSED = 3
/**
 * Heartbeat intervals that a link with traffic may go without a heartbeat. Half
 * sends more on busy links, twice lets acknowledgements and the side's offset
 * grow older.
 */
const MAX_HEARTBEAT_GAP = 6
/**
 * Results received that are worth a heartbeat of their own. Half sends more
 * heartbeats on busy links, twice keeps more results in the side's memory.
 */
const MIN_ACKNOWLEDGEMENTS = 500

/** What is known of a link. */
export interface HeartbeatSigns {
  /** Milliseconds since the newest reply of a stage call. */
  sinceReplyMs: number
  /** Milliseconds since the newest answered heartbeat. */
  sinceHeartbeatMs: number
  /** Interval of the settings, in milliseconds. */
  intervalMs: number
  /** Results received whose receipt the side does not know of. */
  acknowledgements: number
  /** Offset of this entry's configuration. */
  offset: number
  /** Offset of the side's configuration at the newest heartbeat. */
  sideOffset: number
}

/** Whether a heartbeat is due. */
export function isHeartbeatDue(signs: HeartbeatSigns): boolean {
  const quiet = signs.sinceReplyMs >= signs.intervalMs
  const overdue = signs.sinceHeartbeatMs >= signs.intervalMs * MAX_HEARTBEAT_GAP
  const manyReceived = signs.acknowledgements >= MIN_ACKNOWLEDGEMENTS
  return quiet || overdue || manyReceived || signs.sideOffset < signs.offset
}

/** What missed heartbeats say of a side. */
export enum SideHealth {
  Answering = 'answering',
  /** Too early to say: what was known before holds. */
  Unclear = 'unclear',
  /** Gets no new calls. */
  Silent = 'silent',
  /** Its connection is closed. */
  Lost = 'lost',
}

/** Judges a side by its heartbeats in a row without an answer. */
export function judgeSide(missed: number): SideHealth {
  if (missed === 0)
    return SideHealth.Answering
  if (missed >= MAX_MISSED)
    return SideHealth.Lost
  return missed >= SILENT_AFTER_MISSED ? SideHealth.Silent : SideHealth.Unclear
}
