/**
 * Decides which gateway coordinates the stage work, for all gateways; each one
 * decides for itself and comes to the same result from the same list.
 *
 * Inputs: the members listed, with the order of their announcements (from the
 * platform's directory, some hundred ms old), and for each whether it is alive
 * (this process's own contact, see `failure-detection.ts`), stopping or slow
 * (its own answer to a heartbeat, see `slowness.ts`).
 * Rule: the member announced first of those that are alive and neither stopping
 * nor slow; else the first that is alive and not stopping; else this process. A
 * shard of the stage work is coordinated by a member of its own failure domains
 * by the same rule; by the coordinator of all where there is none.
 * Why: a gateway that restarts is announced last, so it never takes the role
 * from the one at work. A choice by hash did: during a rolling restart two
 * gateways coordinated at a time, and 4,056 inputs were gone (docs/FINDINGS.md;
 * commit c31d827).
 * Set by: no constant.
 * Log event: `stage-coordinator`.
 */
import type { Member } from '../../connection/peers/member.js'
import type { MemberState } from './member-state.js'

/** Orders members as candidates: by announcement, then by name. */
export function rankCandidates(states: Iterable<MemberState>): MemberState[] {
  return [...states].sort((left, right) => {
    const byAnnouncement = left.announcementOrder - right.announcementOrder
    return byAnnouncement || (left.member.name < right.member.name ? -1 : 1)
  })
}

/** The coordinator among candidates that are in order; another member where none can be. */
export function chooseCoordinator(ranked: readonly MemberState[], otherwise: Member): Member {
  const usable = ranked.filter(candidate => candidate.alive && !candidate.stopping)
  return (usable.find(candidate => !candidate.slow) ?? usable[0])?.member ?? otherwise
}
