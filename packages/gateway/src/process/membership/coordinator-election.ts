/**
 * Decides which gateway coordinates the stage work of the deployment. Every
 * gateway evaluates the rule locally and gets the same result from the same
 * member list.
 *
 * Inputs: the listed members with their announcement order and available cores
 * (from the platform's directory, some hundred milliseconds old); for each,
 * whether it is alive (by this process's own heartbeats, see
 * `failure-detection.ts`), stopping, or slow (by its own reply to a heartbeat,
 * see `slowness.ts`).
 * Rule: among the members that are alive, not stopping and not slow, the large
 * member announced first; otherwise the small member announced first. If there is
 * none, the first member that is alive and not stopping; otherwise this process.
 * The coordinator of a shard is elected by the same rule among the members in the
 * shard's failure domains, with the overall coordinator as fallback.
 * Why: all stage work of a shard passes through its coordinator, and a
 * coordinator on a small VM delays that work long before its ticks are late. A
 * restarted gateway is announced last, so it never takes the role from a running
 * coordinator. Choosing by hash did not have that property: during a rolling
 * restart two gateways coordinated at the same time, and 4,056 inputs were lost.
 * Log event: `stage-coordinator`.
 */
import type { Member } from '../../connection/peers/member.js'
import type { MemberState } from './member-state.js'

/** A member is large if it may use at least this fraction of the most cores that any member may use. */
const LARGE_SHARE_OF_MAX = 0.5
/** A member that may use this many cores is large regardless of the others. */
const LARGE_CORES = 0.5

/** Why another gateway coordinates: what became of the previous coordinator. */
export enum CoordinatorChangeReason {
  Failed = 'failed',
  Stopping = 'stopping',
  Slow = 'slow',
  /** The directory no longer lists it. */
  Removed = 'removed',
  /** A member that ranks before it can coordinate. */
  Outranked = 'outranked',
}

/** A change of the overall coordinator. */
export interface CoordinatorChange {
  coordinator: Member
  previous: Member
  reason: CoordinatorChangeReason
}

/** Sorts members by priority as coordinator: large ones first, then by announcement order, then by name. */
export function rankCandidates(states: Iterable<MemberState>): MemberState[] {
  const members = [...states]
  const largeFrom = Math.min(LARGE_CORES, LARGE_SHARE_OF_MAX * Math.max(0, ...members.map(coresOf)))
  const isSmall = (state: MemberState): number => Number(coresOf(state) < largeFrom)
  return members.sort((left, right) => {
    const bySize = isSmall(left) - isSmall(right)
    const byAnnouncement = left.announcementOrder - right.announcementOrder
    return bySize || byAnnouncement || (left.member.name < right.member.name ? -1 : 1)
  })
}

/** Cores that a member may use. A member whose release does not report them counts as large. */
function coresOf({ member }: MemberState): number {
  return member.coreShare ?? LARGE_CORES
}

/** Returns the first usable candidate of a ranked list, or `fallback` if there is none. */
export function electCoordinator(ranked: readonly MemberState[], fallback: Member): Member {
  const usable = ranked.filter(candidate => candidate.alive && !candidate.stopping)
  return (usable.find(candidate => !candidate.slow) ?? usable[0])?.member ?? fallback
}

/** Why a gateway no longer coordinates, from its state; undefined if the directory no longer lists it. */
export function explainChange(previous: MemberState | undefined): CoordinatorChangeReason {
  if (!previous)
    return CoordinatorChangeReason.Removed
  if (!previous.alive)
    return CoordinatorChangeReason.Failed
  if (previous.stopping)
    return CoordinatorChangeReason.Stopping
  return previous.slow ? CoordinatorChangeReason.Slow : CoordinatorChangeReason.Outranked
}
