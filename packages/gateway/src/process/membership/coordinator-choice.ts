/**
 * Decides which gateway coordinates the stage work, for all gateways; each one
 * decides for itself and comes to the same result from the same list.
 *
 * Inputs: the members listed, with the order of their announcements (from the
 * platform's directory, some hundred ms old) and the cores that each may use,
 * and for each whether it is alive (this process's own contact, see
 * `failure-detection.ts`), stopping or slow (its own answer to a heartbeat, see
 * `slowness.ts`).
 * Rule: of those that are alive and neither stopping nor slow, the member
 * announced first among the large ones; else among the others; else the first that is alive and not stopping; else this process. A
 * shard of the stage work is coordinated by a member of its own failure domains
 * by the same rule; by the coordinator of all where there is none.
 * Why: all stage work of a shard goes through its coordinator, and one on a
 * small VM delays it long before its ticks are late. A gateway that restarts is
 * announced last, so it never takes the role from the one at work. A choice by
 * hash did: during a rolling restart two gateways coordinated at a time, and
 * 4,056 inputs were gone.
 * Log event: `stage-coordinator`.
 */
import type { Member } from '../../connection/peers/member.js'
import type { MemberState } from './member-state.js'

/** A member is large that may use this share of the most cores of any member. */
const LARGE_SHARE = 0.5
/** A member is large that may use as many cores, however many others may use. */
const LARGE_CORES = 0.5

/** Orders members as candidates: large ones first, then by announcement, then by name. */
export function rankCandidates(states: Iterable<MemberState>): MemberState[] {
  const members = [...states]
  const largeFrom = Math.min(LARGE_CORES, LARGE_SHARE * Math.max(0, ...members.map(coresOf)))
  const isSmall = (state: MemberState): number => Number(coresOf(state) < largeFrom)
  return members.sort((left, right) => {
    const bySize = isSmall(left) - isSmall(right)
    const byAnnouncement = left.announcementOrder - right.announcementOrder
    return bySize || byAnnouncement || (left.member.name < right.member.name ? -1 : 1)
  })
}

/** Cores that a member may use; enough where its release does not tell. */
function coresOf({ member }: MemberState): number {
  return member.coreShare ?? LARGE_CORES
}

/** The coordinator among candidates that are in order; another member where none can be. */
export function chooseCoordinator(ranked: readonly MemberState[], otherwise: Member): Member {
  const usable = ranked.filter(candidate => candidate.alive && !candidate.stopping)
  return (usable.find(candidate => !candidate.slow) ?? usable[0])?.member ?? otherwise
}
