/**
 * Backend servers as this process knows them. A `Backend` exists from the time
 * that its entry is added to the registry until it is removed. What was learned
 * from its responses is kept in memory only and learned again after a restart of
 * this process.
 */

import { IntakeState } from './intake-state.js'

/** Registry entry of a backend server. */
export interface BackendRecord {
  /** A new process may reuse the id of an earlier one, see `born`. */
  id: string
  service: string
  /** `IP:PORT`; may be reused by another backend server later. */
  address: string
  failureDomain: string
  /** Version of its software; undefined if its entry names none. */
  softwareVersion?: string
  /** Number of requests that it processes concurrently. */
  capacity: number
  /** It is leaving and is sent no new work. */
  draining: boolean
  /** Start time of its process in epoch milliseconds, which distinguishes processes with the same id. Undefined if not reported. */
  born?: number
  /** Milliseconds for which the backend server was still cold, and hence slow, when the entry was written. Undefined if it was warm. */
  coldMs?: number
}

/** An entry of the platform's list of backend servers, with the revision of its last change. */
export interface ListedBackend {
  record: BackendRecord
  /** Increases with every change of the list; at least 1. */
  revision: number
}

/** One change of the platform's list, as gateways report it to each other. */
export interface BackendChange {
  id: string
  revision: number
  /** The new entry; undefined if the entry was removed. */
  record?: BackendRecord
  /** For a removed entry: how many more milliseconds the reporting gateway uses the backend server; undefined if it does not. */
  usedForMs?: number
}

/** A backend server whose entry was removed, but which is still used for a limited time. */
export interface LapsingBackend {
  id: string
  /** How many more milliseconds it is used. */
  remainingMs: number
}

/** A snapshot of the platform's list as of `revision`; it may also contain newer entries. */
export interface ListedBackends {
  revision: number
  entries: readonly ListedBackend[]
  /** Removed backend servers that the sender of the list still uses; undefined if there are none. */
  lapsing?: readonly LapsingBackend[]
}

/** Load that a backend server reported in a response. */
export interface BackendLoad {
  /** Requests being processed, from all gateways. */
  running: number
  /** Requests in its queue. */
  waiting: number
  /** Number of requests that it processes concurrently. */
  capacity: number
  /** How long work takes there at this moment (1: as usual); undefined if not reported. Changes many times a second. */
  slowness?: number
}

/** Identifies one incarnation (process) of a backend server, even if a later one reuses its id. */
export function incarnationOf({ id, born }: BackendRecord): string {
  return born === undefined ? id : `${id}/${born}`
}

/** A backend server and what this process has learned about it. */
export class Backend {
  /** Calls of this process in flight to it. */
  outstanding = 0
  /** The load that it last reported. */
  load: BackendLoad | undefined
  /** When it reported that load, in milliseconds of the monotonic clock. */
  loadAt = 0
  /** Calls of this process that the reported load includes. */
  ownCallsInLoad = 0
  /** Whether the load in a response was seen to exclude the request that it answers. */
  private excludesAnswered = false

  /** It was removed from the registry. This is final: a restarted process gets a new `Backend`. */
  removed = false
  /** Its failure domain is evacuated: it is sent no work until the evacuation is revoked. */
  evacuated = false

  /** Start of its current or last cold period, in milliseconds of the monotonic clock. */
  coldSince = 0
  private coldUntil = 0

  /** Identifies this process of the backend server, see `incarnationOf`. */
  readonly incarnation: string

  constructor(
    public record: BackendRecord,
    /** Flow control that it has requested in its responses. */
    readonly intake = new IntakeState(),
  ) {
    this.incarnation = incarnationOf(record)
  }

  /** Whether new work may be sent to it. */
  get acceptsWork(): boolean {
    return !this.removed && !this.record.draining && !this.intake.isLeaving && !this.evacuated
  }

  /** Records the load in the response to a call of this process; `hasRun` is false for a request that it refused. */
  recordLoad(load: BackendLoad, hasRun: boolean, now: number): void {
    this.load = load
    this.loadAt = now
    this.excludesAnswered ||= hasRun && load.running + load.waiting === 0
    const includesThis = hasRun && !this.excludesAnswered
    this.ownCallsInLoad = Math.max(0, this.outstanding - (includesThis ? 0 : 1))
  }

  /** Whether it is cold: it was started recently and can handle only few requests. */
  isCold(now: number): boolean {
    return now < this.coldUntil
  }

  /** Marks it as cold for at least `milliseconds` from now. */
  markCold(milliseconds: number, now: number): void {
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

  /** Version of its software; undefined if it is not known. */
  get softwareVersion(): string | undefined {
    return this.record.softwareVersion
  }

  get failureDomain(): string {
    return this.record.failureDomain
  }

  get address(): string {
    return this.record.address
  }

  /** The key under which outlier ejection counts its calls. */
  get backendName(): string {
    return this.incarnation
  }
}
