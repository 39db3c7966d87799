/**
 * Backend servers of services as this process knows them. A `Backend` lives
 * from its entry in the registry to its removal; what was learned of it is lost
 * with the process and learned again from answers.
 */

import { IntakeState } from './intake-state.js'

/** What the registry holds of a backend server. */
export interface BackendRecord {
  /** New at each start of the backend server. */
  id: string
  service: string
  /** `IP:PORT`; may be used again by another backend server later. */
  address: string
  failureDomain: string
  /** Requests that it works on at once. */
  capacity: number
  /** It is leaving and gets no new work. */
  draining: boolean
  /** When its process started, in epoch milliseconds: a new process may have the id of an earlier one. Absent where it does not say so. */
  born?: number
  /** Milliseconds for which it was cold, and slow for it, when its entry was written. Absent where it was not. */
  coldMs?: number
}

/** An entry of the platform's list, with its place among the list's changes. */
export interface ListedBackend {
  record: BackendRecord
  /** Rises with every change of the list; at least 1. */
  revision: number
}

/** One change of the platform's list, as one gateway tells another. */
export interface BackendChange {
  id: string
  revision: number
  /** The entry from now on; absent where it has gone. */
  record?: BackendRecord
  /** Where the entry has gone: milliseconds for which the gateway that tells it still uses the backend server; absent where it does not. */
  usedForMs?: number
}

/** A backend server whose entry has gone, and which still gets work for some time. */
export interface LapsingBackend {
  id: string
  /** Milliseconds for which it is used on. */
  remainingMs: number
}

/** The platform's list up to one of its changes; it may hold newer entries too. */
export interface ListedBackends {
  revision: number
  entries: readonly ListedBackend[]
  /** What has gone from the list and is used on where the list comes from; absent where nothing is. */
  lapsing?: readonly LapsingBackend[]
}

/** Load as a backend server reported it in an answer. */
export interface BackendLoad {
  /** Requests at work there, of all gateways. */
  running: number
  /** Requests that wait there. */
  waiting: number
  /** Requests that it works on at once. */
  capacity: number
}

/** Names one process of a backend server, also where a later one has its id. */
export function lifeOf({ id, born }: BackendRecord): string {
  return born === undefined ? id : `${id}/${born}`
}

/** A backend server with what this process learned of it. */
export class Backend {
  /** Calls of this process under way there. */
  outstanding = 0
  /** The load that it reported last. */
  load: BackendLoad | undefined
  /** When it reported that: milliseconds of the process clock. */
  loadAt = 0

  /** It was removed from the registry and gets no more work, ever: a restart has another id. */
  removed = false
  /** Its failure domain is evacuated: it gets no work until that is taken back. */
  evacuated = false

  /** Since when it is, or was, cold, and until when: milliseconds of the process clock. */
  coldSince = 0
  private coldUntil = 0

  /** Names this one process, also where a later one has its id. */
  readonly life: string

  constructor(
    public record: BackendRecord,
    /** What it said of the requests that it takes. */
    readonly intake = new IntakeState(),
  ) {
    this.life = lifeOf(record)
  }

  /** Whether new work may be sent there now. */
  get takesWork(): boolean {
    return !this.removed && !this.record.draining && !this.intake.isLeaving && !this.evacuated
  }

  /** Whether it is cold: it has just started, and withstands few requests. */
  isCold(now: number): boolean {
    return now < this.coldUntil
  }

  /** It is cold for this many milliseconds from now, at least. */
  noteCold(milliseconds: number, now: number): void {
    if (!this.isCold(now))
      this.coldSince = now
    this.coldUntil = Math.max(this.coldUntil, now + milliseconds)
  }

  get id(): string {
    return this.record.id
  }

  get service(): string {
    return this.record.service
  }

  get failureDomain(): string {
    return this.record.failureDomain
  }

  get address(): string {
    return this.record.address
  }

  /** The name under which ejection counts its calls. */
  get backendName(): string {
    return this.life
  }
}
