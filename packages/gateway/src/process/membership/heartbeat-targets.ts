/**
 * Decides which gateways get a heartbeat from this one at a tick.
 *
 * Inputs: the members in the order in which they would coordinate; for each,
 * the time of its last answer and of the last heartbeat to it, and heartbeats
 * without an answer (this process's own, as of now).
 * Rule: of all members, and of those of each shard of the stage work, the first
 * in their order, up to and with the second that can coordinate, this one
 * counted: it is alive and neither stopping nor slow. Of those that were never
 * heard, as many are asked at a time as were asked in vain, at least
 * MIN_UNTRIED. Each gets one every HEARTBEAT_INTERVAL_MS, those of a shard every
 * SHARD_INTERVAL_MS, one that has failed every FAILED_HEARTBEAT_INTERVAL_MS, and
 * none while MAX_PENDING_HEARTBEATS wait for an answer.
 * Why: only the coordinator and its successor matter to a gateway, so the cost
 * does not grow with the number of gateways. The successor is watched before
 * it is needed: one that was last heard at the start would count as failed just
 * as it becomes coordinator; and a coordinator that becomes slow knows at once
 * whom to leave the work to.
 * Log event: none of its own; its effects are `member-failed` and `member-recovered`.
 */
import type { MemberState } from './member-state.js'
import { hasFailed, HEARTBEAT_INTERVAL_MS } from './failure-detection.js'

/**
 * Members that were never heard and are asked at a time. With two, one that
 * does not answer delays the successor by 0.45 s, twice as many cost a starting
 * process more connections.
 */
const MIN_UNTRIED = 4

/** The coordinator and its successor. */
const WATCHED_CANDIDATES = 2

/**
 * Milliseconds between heartbeats to the coordinators of shards and their
 * successors: there are several of them, and less depends on each. Half doubles
 * the heartbeats, twice notices one that froze after 1.8 s.
 */
const SHARD_INTERVAL_MS = 300

/**
 * Heartbeats of one member without an answer at a time. An answer is waited for
 * at most 450 ms, three intervals; with one at a time, a single lost heartbeat
 * used up most of the time until a member counts as failed.
 */
const MAX_PENDING_HEARTBEATS = 4

/** Milliseconds between heartbeats to a failed member. Twice as long, and one that recovers is used that much later. */
const FAILED_HEARTBEAT_INTERVAL_MS = 500

/** Share of the interval: timers fire a little early. At 1 such a tick sends nothing, at half failed members get more. */
const DUE_SHARE = 0.9

/** Members that get heartbeats, and the milliseconds between those to each. */
export type WatchedMembers = Map<MemberState, number>

/** The members whose state this process keeps up to date; takes the candidates of all stage work and of each shard, in their order. */
export function selectWatched(ranked: readonly MemberState[], shards: readonly (readonly MemberState[])[], now: number): WatchedMembers {
  const watched: WatchedMembers = new Map()
  for (const state of shards.flatMap(candidates => selectFirst(candidates, now)))
    watched.set(state, SHARD_INTERVAL_MS)
  for (const state of selectFirst(ranked, now))
    watched.set(state, HEARTBEAT_INTERVAL_MS)
  return watched
}

/** The first candidates, up to and with the second that can coordinate, without this process and with a few at a time that were never heard. */
function selectFirst(ranked: readonly MemberState[], now: number): MemberState[] {
  const watched: MemberState[] = []
  let usable = 0
  let untried = 0
  for (const state of ranked) {
    if (!state.isSelf && !state.tried)
      untried++
    if (untried > Math.max(MIN_UNTRIED, watched.length - untried))
      break
    if (!state.isSelf)
      watched.push(state)
    const isAlive = state.isSelf || !hasFailed(now - state.lastReplyAt)
    if (isAlive && !state.stopping && !state.slow)
      usable++
    if (usable === WATCHED_CANDIDATES)
      break
  }
  return watched
}

/** Whether a watched member gets a heartbeat now; takes the milliseconds between those to one that is alive. */
export function isHeartbeatDue(state: MemberState, aliveIntervalMs: number, now: number): boolean {
  if (state.pendingHeartbeats >= MAX_PENDING_HEARTBEATS)
    return false
  const intervalMs = state.alive ? aliveIntervalMs : FAILED_HEARTBEAT_INTERVAL_MS
  return now - state.heartbeatSentAt >= intervalMs * DUE_SHARE
}
