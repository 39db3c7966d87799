/**
 * The log events of membership, one function an event.
 */
import type { EventLog } from '@eidermast/common'
import type { Member } from '../../connection/peers/member.js'

/** A change of the coordinator of the stage work. */
export interface CoordinatorChange {
  coordinator: Member
  previous: Member
  /** Gateways listed, this one included. */
  members: number
}

/** Writes the events of membership. */
export class MemberLog {
  constructor(private readonly log: EventLog) {}

  memberListed(member: Member, announcementOrder: number): void {
    // Its own order is not known to a gateway until the directory lists it.
    const seniority = Number.isFinite(announcementOrder) ? announcementOrder : undefined
    this.log.write('member-listed', { member: member.name, address: member.address, seniority })
  }

  memberRemoved(name: string): void {
    this.log.write('member-removed', { member: name })
  }

  memberFailed(member: Member): void {
    this.log.write('member-failed', { member: member.name })
  }

  memberRecovered(member: Member): void {
    this.log.write('member-recovered', { member: member.name })
  }

  coordinatorChanged({ coordinator, previous, members }: CoordinatorChange): void {
    this.log.write('stage-coordinator', { coordinator: coordinator.name, previous: previous.name, members })
  }
}
