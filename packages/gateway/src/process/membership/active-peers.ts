/**
 * Tracks which gateways have recently sent heartbeats to this one, that is, those
 * for which it coordinates. Keeps the time of the last heartbeat of each in
 * memory.
 */
import type { Member } from '../../connection/peers/member.js'

/** Time for which a peer counts as active after a heartbeat; long enough for several lost heartbeats. */
const ACTIVE_FOR_MS = 1500

/** The gateways that send heartbeats. */
export class ActivePeers {
  /** Each with the time of its last heartbeat on the monotonic clock in milliseconds, by name. */
  private readonly heartbeats = new Map<string, { member: Member, at: number }>()

  /** Records a heartbeat from a gateway. */
  note(member: Member, now: number): void {
    this.heartbeats.set(member.name, { member, at: now })
  }

  /** Number of active gateways, without this one. */
  count(now: number): number {
    this.expire(now)
    return this.heartbeats.size
  }

  /** The active gateways, without this one. Their failure domains are not known. */
  members(now: number): Member[] {
    this.expire(now)
    return [...this.heartbeats.values()].map(({ member }) => member)
  }

  private expire(now: number): void {
    for (const [name, { at }] of this.heartbeats) {
      if (now - at > ACTIVE_FOR_MS)
        this.heartbeats.delete(name)
    }
  }
}
