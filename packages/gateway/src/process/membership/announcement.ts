/**
 * Keeps this gateway registered in the directory of gateways: registers it,
 * retries until the directory accepts that, and registers it again if its entry
 * is gone. A store that was restored from an older snapshot may lack the entry,
 * and the delayed withdrawal of an earlier process with the same name may delete
 * it. Owns the registration in memory; a new process registers itself anew.
 */
import type { Member } from '../../connection/peers/member.js'
import { wait } from '@eidermast/common'
import { announceBackoffMs } from '../store-backoff.js'

/** Log events of the registration. */
export interface AnnouncementLog {
  announced: (address: string) => void
  announceFailed: (error: unknown) => void
}

/** A registration that was asked for and not withdrawn. */
interface Registration {
  member: Member
  signal: AbortSignal
  /** Whether the directory has accepted it. */
  isDone: boolean
}

/** Registers this gateway. */
export class Announcement {
  private registration: Registration | undefined

  /** `write` registers a member; rejects if the directory did not accept it. */
  constructor(private readonly write: (member: Member) => Promise<void>, private readonly log: AnnouncementLog) {}

  /** Resolves once the directory has accepted the registration, or when the signal aborts. */
  async announce(member: Member, signal: AbortSignal): Promise<void> {
    const registration = { member, signal, isDone: false }
    this.registration = registration
    while (!signal.aborted) {
      try {
        await this.write(member)
        registration.isDone = true
        return this.log.announced(member.address)
      }
      catch (error) {
        this.log.announceFailed(error)
        await wait(announceBackoffMs())
      }
    }
  }

  /** The entry of this gateway is to be removed. */
  withdraw(): void {
    this.registration = undefined
  }

  /** Registers this gateway again if it was registered and is not listed. */
  announceIfMissing(isListed: (name: string) => boolean): void {
    const { registration } = this
    if (registration?.isDone && !isListed(registration.member.name))
      void this.announce(registration.member, registration.signal)
  }
}
