/**
 * Finds out which backend servers ended while requests ran there, and which
 * requests those were. It holds, for each backend server whose calls broke, the
 * fingerprints of their requests until it is known whether the process is gone;
 * all of it is lost with this process.
 */
import type { Backend } from '../../connection/backends/backend.js'
import type { CheckPresence } from '../../connection/backends/presence-check.js'
import type { GatewayLog } from '../gateway-log.js'
import { wait } from '@eidermast/common'
import { Presence } from '../../connection/backends/presence-check.js'

/**
 * Milliseconds from the first broken call to the question whether the process
 * is there. Calls that break with it come within this time: on a site of 13
 * engines the calls of one crash broke within 10 ms at all gateways.
 */
const COLLECT_MS = 20
/** Questions where the VM does not answer. One is lost with a packet, three in a row seldom. */
const MAX_CHECKS = 3

/** A backend server that ended, and the requests that ran there. */
export interface BackendCrash {
  backend: Backend
  /** Fingerprints of the requests whose calls broke. */
  fingerprints: string[]
}

/** A backend server that is asked for. */
interface Investigation {
  /** Of the requests whose calls broke. */
  fingerprints: Set<string>
  ended: Promise<void>
}

/** What the witness works with. */
export interface CrashWitnessParts {
  checkPresence: CheckPresence
  log: GatewayLog
  /** A backend server ended while requests ran there. */
  onCrash: (crash: BackendCrash) => void
}

/** Watches for ends of backend servers. */
export class CrashWitness {
  /** By backend server, while it is asked for. */
  private readonly underWay = new Map<Backend, Investigation>()

  constructor(private readonly parts: CrashWitnessParts) {}

  /** A request was sent to a backend server and its call broke; resolves when it is known whether the backend server ended. */
  noteBroken(backend: Backend, fingerprint: string): Promise<void> {
    const known = this.underWay.get(backend)
    if (known) {
      known.fingerprints.add(fingerprint)
      return known.ended
    }
    const fingerprints = new Set([fingerprint])
    const ended = this.investigate(backend, fingerprints)
    this.underWay.set(backend, { fingerprints, ended })
    return ended
  }

  private async investigate(backend: Backend, broken: ReadonlySet<string>): Promise<void> {
    await wait(COLLECT_MS)
    const presence = await this.checkRepeatedly(backend)
    this.underWay.delete(backend)
    const fingerprints = [...broken]
    this.parts.log.backendChecked(backend.record, presence, fingerprints)
    if (presence === Presence.Gone)
      this.parts.onCrash({ backend, fingerprints })
  }

  private async checkRepeatedly(backend: Backend): Promise<Presence> {
    for (let check = 1; ; check++) {
      const presence = await this.parts.checkPresence(backend)
      if (presence !== Presence.Unknown || check === MAX_CHECKS)
        return presence
    }
  }
}
