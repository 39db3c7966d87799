/**
 * Detects which backend servers crashed while running requests, and which
 * requests those were. Keeps the fingerprints of broken calls per backend server,
 * in memory, until it is known whether the process has ended.
 */
import type { Backend } from '../../connection/backends/backend.js'
import type { CheckPresence } from '../../connection/backends/presence-check.js'
import type { GatewayLog } from '../gateway-log.js'
import { Presence, wait } from '@eidermast/common'

/**
 * Time from the first broken call to the presence check, in which other calls
 * broken by the same crash are collected. On a site with 13 engines, all calls of
 * one crash broke within 10 ms at all gateways.
 */
const COLLECTION_WINDOW_MS = 20
/** Attempts if the VM does not answer. A packet loss fails one attempt, but rarely three in a row. */
const MAX_PRESENCE_CHECKS = 3

/** A backend server that crashed, and the requests it was running. */
export interface BackendCrash {
  backend: Backend
  /** Fingerprints of the requests whose calls broke, and of the shared parts of their prompts. */
  fingerprints: string[]
}

/** A pending presence check of a backend server. */
interface Investigation {
  /** Fingerprints of the requests whose calls broke. */
  fingerprints: Set<string>
  completion: Promise<void>
}

/** What the detector works with. */
export interface CrashDetectorDependencies {
  checkPresence: CheckPresence
  log: GatewayLog
  /** Called when a backend server crashed while running requests. */
  onCrash: (crash: BackendCrash) => void
}

/** Checks backend servers whose calls broke. */
export class CrashDetector {
  /** Pending checks by backend server. */
  private readonly investigations = new Map<Backend, Investigation>()

  constructor(private readonly deps: CrashDetectorDependencies) {}

  /** Records a broken call; resolves when it is known whether the backend server crashed. */
  noteBroken(backend: Backend, fingerprints: readonly string[]): Promise<void> {
    const pending = this.investigations.get(backend)
    if (pending) {
      fingerprints.forEach(fingerprint => pending.fingerprints.add(fingerprint))
      return pending.completion
    }
    const broken = new Set(fingerprints)
    const completion = this.investigate(backend, broken)
    this.investigations.set(backend, { fingerprints: broken, completion })
    return completion
  }

  private async investigate(backend: Backend, broken: ReadonlySet<string>): Promise<void> {
    await wait(COLLECTION_WINDOW_MS)
    const presence = await this.checkRepeatedly(backend)
    this.investigations.delete(backend)
    const fingerprints = [...broken]
    this.deps.log.backendChecked(backend.record, presence, fingerprints)
    if (presence === Presence.Gone)
      this.deps.onCrash({ backend, fingerprints })
  }

  private async checkRepeatedly(backend: Backend): Promise<Presence> {
    for (let check = 1; ; check++) {
      const presence = await this.deps.checkPresence(backend)
      if (presence !== Presence.Unknown || check === MAX_PRESENCE_CHECKS)
        return presence
    }
  }
}
