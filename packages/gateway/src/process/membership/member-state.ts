/**
 * What this process knows about one gateway. `Members` owns these states, from
 * the listing of a gateway until its removal; a new announcement starts with a
 * fresh state.
 */
import type { Member } from '../../connection/peers/member.js'
import type { ListedMember } from '../platform-adapter.js'

/** One gateway, with its rank criteria and contact state. Times are on the monotonic clock, in milliseconds. */
export interface MemberState {
  readonly member: Member
  /**
   * Position of its announcement, as listed or as reported by itself; infinite
   * for this process before it is listed.
   */
  announcementOrder: number
  /** Whether it is this process. */
  readonly isSelf: boolean
  /** When it last answered a heartbeat; negative infinity before the first reply and after a failed call. */
  lastReplyAt: number
  /** When the newest heartbeat was sent that it has answered. */
  answeredSentAt: number
  /** When the last heartbeat was sent to it. */
  heartbeatSentAt: number
  /** Number of unanswered heartbeats. */
  pendingHeartbeats: number
  /** Whether it has answered a heartbeat or failed to. */
  probed: boolean
  /** Whether it is shutting down and no longer coordinates. */
  stopping: boolean
  /** Whether it is short of CPU time and coordinates only if no other member can. */
  slow: boolean
  /** Whether it counts as alive, as of the last tick, reply or failed call. */
  alive: boolean
}

/** Creates the state of a newly listed member. Only this process counts as alive before its first reply. */
export function createMemberState(listed: ListedMember, isSelf: boolean): MemberState {
  const { announcementOrder, ...member } = listed
  return {
    member,
    announcementOrder,
    isSelf,
    lastReplyAt: Number.NEGATIVE_INFINITY,
    answeredSentAt: Number.NEGATIVE_INFINITY,
    heartbeatSentAt: Number.NEGATIVE_INFINITY,
    pendingHeartbeats: 0,
    probed: false,
    stopping: false,
    slow: false,
    alive: isSelf,
  }
}
