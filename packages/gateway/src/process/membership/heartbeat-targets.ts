/**
 * Decides which gateways this one sends a heartbeat to at a tick.
 *
 * Inputs: the members ranked as coordinator candidates; for each, the time of its
 * last reply and of the last heartbeat sent to it, and the number of unanswered
 * heartbeats (all from this process, as of now).
 * Rule: of all members, and of those of each shard, the first in rank order up to
 * and including the second that can coordinate (alive, not stopping, not slow),
 * this process counted. Members never probed are probed in parallel, as many as
 * were already probed without success, but at least MIN_CONCURRENT_PROBES. A
 * member gets a heartbeat every HEARTBEAT_INTERVAL_MS, a shard candidate every
 * SHARD_HEARTBEAT_INTERVAL_MS, a failed one every FAILED_HEARTBEAT_INTERVAL_MS,
 * and none while MAX_PENDING_HEARTBEATS are unanswered.
 * Why: a gateway depends only on the coordinator and its successor, so that the
 * cost does not grow with the number of gateways. The successor is monitored
 * before it is needed: if its last reply dated from the start, it would count as
 * failed just when it becomes coordinator. A coordinator that becomes slow can
 * also hand over at once.
 * Log event: none; the effects are logged as `member-failed` and
 * `member-recovered`.
 */
import type { MemberState } from './member-state.js'
import { hasFailed, HEARTBEAT_INTERVAL_MS } from './failure-detection.js'

/**
 * Members probed for the first time at once. Several, because a probe without an
 * answer takes 0.6 s, by which it would delay finding the successor; few,
 * because a starting process opens a connection for each.
 */
const MIN_CONCURRENT_PROBES = 4

/** The coordinator and its successor. */
const MONITORED_CANDIDATES = 2

/**
 * Interval of heartbeats to shard coordinators and their successors, of which
 * there are several with less depending on each. Longer than
 * HEARTBEAT_INTERVAL_MS, to send fewer heartbeats; a frozen one is still detected
 * after 0.9 s.
 */
const SHARD_HEARTBEAT_INTERVAL_MS = 300

/**
 * Unanswered heartbeats to one member at a time. A reply is awaited for at most
 * 600 ms, four intervals. Further heartbeats are sent meanwhile, so that a
 * single lost one does not use up most of the time after which a member counts as
 * failed.
 */
const MAX_PENDING_HEARTBEATS = 4

/** Interval of heartbeats to a failed member. Delays the use of a recovered member by at most this much. */
const FAILED_HEARTBEAT_INTERVAL_MS = 500

/**
 * Fraction of the interval after which a heartbeat is due, because timers may
 * fire early: an early tick must not skip a heartbeat. Close to 1, so that failed
 * members do not get more of them than intended.
 */
const DUE_FRACTION = 0.9

/** The members to send heartbeats to, with the interval of each in milliseconds. */
export type MonitoredMembers = Map<MemberState, number>

/**
 * Selects the members whose state this process keeps up to date, from the ranked
 * candidates overall and for each shard.
 */
export function selectMonitored(ranked: readonly MemberState[], shards: readonly (readonly MemberState[])[], now: number): MonitoredMembers {
  const monitored: MonitoredMembers = new Map()
  for (const state of shards.flatMap(candidates => selectFirstCandidates(candidates, now)))
    monitored.set(state, SHARD_HEARTBEAT_INTERVAL_MS)
  for (const state of selectFirstCandidates(ranked, now))
    monitored.set(state, HEARTBEAT_INTERVAL_MS)
  return monitored
}

/**
 * The first candidates up to and including the second that can coordinate,
 * without this process. Limits how many are probed for the first time at once.
 */
function selectFirstCandidates(ranked: readonly MemberState[], now: number): MemberState[] {
  const monitored: MemberState[] = []
  let usable = 0
  let unprobed = 0
  for (const state of ranked) {
    if (!state.isSelf && !state.probed)
      unprobed++
    if (unprobed > Math.max(MIN_CONCURRENT_PROBES, monitored.length - unprobed))
      break
    if (!state.isSelf)
      monitored.push(state)
    const isAlive = state.isSelf || !hasFailed(now - state.lastReplyAt)
    if (isAlive && !state.stopping && !state.slow)
      usable++
    if (usable === MONITORED_CANDIDATES)
      break
  }
  return monitored
}

/** Whether a monitored member is due for a heartbeat, given the interval for members that are alive. */
export function isHeartbeatDue(state: MemberState, aliveIntervalMs: number, now: number): boolean {
  if (state.pendingHeartbeats >= MAX_PENDING_HEARTBEATS)
    return false
  const intervalMs = state.alive ? aliveIntervalMs : FAILED_HEARTBEAT_INTERVAL_MS
  return now - state.heartbeatSentAt >= intervalMs * DUE_FRACTION
}
