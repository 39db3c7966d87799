/**
 * What this process knows of one gateway. `Members` owns these states, from
 * the listing of a gateway until its removal; a new announcement begins with a
 * new state.
 */
import type { Member } from '../../connection/peers/member.js'
import type { ListedMember } from '../platform-adapter.js'

/** One gateway, with its place in the ranking and its contact. Times are of the process clock, in milliseconds. */
export interface MemberState {
  readonly member: Member
  /** Place of its announcement, as listed or as it told itself; infinite for this process before it is listed. */
  announcementOrder: number
  /** It is this process. */
  readonly isSelf: boolean
  /** When it last answered a heartbeat; minus infinity before the first answer and after a failed call. */
  lastReplyAt: number
  /** When it was last sent a heartbeat. */
  heartbeatSentAt: number
  /** Heartbeats that wait for an answer. */
  pendingHeartbeats: number
  /** It has answered a heartbeat, or failed to. */
  tried: boolean
  /** It is leaving and coordinates nothing from now on. */
  stopping: boolean
  /** It is short of processor time and coordinates only where nobody else can. */
  slow: boolean
  /** It has not failed; what the last tick that looked at it found. */
  alive: boolean
}

/** The state of a member that was just listed: nothing is known of it until it answers. */
export function createMemberState(listed: ListedMember, isSelf: boolean): MemberState {
  const { announcementOrder, ...member } = listed
  return {
    member,
    announcementOrder,
    isSelf,
    lastReplyAt: Number.NEGATIVE_INFINITY,
    heartbeatSentAt: Number.NEGATIVE_INFINITY,
    pendingHeartbeats: 0,
    tried: false,
    stopping: false,
    slow: false,
    alive: isSelf,
  }
}
