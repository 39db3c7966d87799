/**
 * The replicas that the registry lists, by service.
 */
import type { EventLog } from '@eidermast/common'
import type { ReplicaRecord } from '../connection/backend.js'
import { Replica } from '../connection/backend.js'

/** What follows changes of the registry. */
export interface ReplicaListener {
  added?: (replica: Replica) => void
  removed?: (replica: Replica) => void
  /** It began to leave, or came back. */
  stateChanged?: (replica: Replica) => void
}

/**
 * How long an entry that is gone right after its source was away is still
 * used, in milliseconds: it may have lapsed only because its backend server
 * could not renew it. Shorter than what a backend server that leaves serves on.
 */
const LAPSE_GRACE_MS = 1900

/** Holds replicas; a source upserts and removes them. */
export class ReplicaRegistry {
  private readonly byId = new Map<string, Replica>()
  private readonly byService = new Map<string, Set<Replica>>()
  private readonly listeners: ReplicaListener[] = []
  private readonly lapsed = new Map<string, NodeJS.Timeout>()
  private lapsesUntil = 0

  constructor(private readonly log: EventLog) {}

  get size(): number {
    return this.byId.size
  }

  listen(listener: ReplicaListener): void {
    this.listeners.push(listener)
  }

  find(id: string): Replica | undefined {
    return this.byId.get(id)
  }

  /** Replicas of a service that take new work. */
  available(service: string): Replica[] {
    return [...this.byService.get(service) ?? []].filter(replica => !replica.record.draining)
  }

  /** The source was away and is back: entries may have lapsed meanwhile. */
  noteSourceReturned(): void {
    this.lapsesUntil = performance.now() + LAPSE_GRACE_MS
  }

  upsert(record: ReplicaRecord): void {
    this.endLapse(record.id)
    const existing = this.byId.get(record.id)
    if (existing) {
      this.update(existing, record)
      return
    }
    const replica = new Replica(record)
    this.byId.set(record.id, replica)
    this.membersOf(record.service).add(replica)
    this.log.write('replica-added', { replica: record.id, service: record.service, replicaZone: record.zone, address: record.address, draining: record.draining })
    for (const listener of this.listeners)
      listener.added?.(replica)
  }

  /** The source lists an entry no more. */
  unlist(id: string): void {
    const remainingMs = this.lapsesUntil - performance.now()
    if (remainingMs <= 0 || !this.byId.has(id))
      return this.remove(id, 'its entry is gone')
    if (this.lapsed.has(id))
      return
    this.log.write('replica-lapsed', { replica: id, usedForMs: Math.round(remainingMs) })
    this.lapsed.set(id, setTimeout(() => this.remove(id, 'its entry lapsed and did not come back'), remainingMs).unref())
  }

  /** Sends nothing to it from now on. */
  remove(id: string, reason: string): void {
    this.endLapse(id)
    const replica = this.byId.get(id)
    if (!replica)
      return
    this.byId.delete(id)
    this.membersOf(replica.service).delete(replica)
    this.log.write('replica-removed', { replica: id, service: replica.service, reason })
    for (const listener of this.listeners)
      listener.removed?.(replica)
  }

  /** Holds exactly these replicas. */
  replaceAll(records: readonly ReplicaRecord[]): void {
    const listed = new Set(records.map(record => record.id))
    for (const id of [...this.byId.keys()]) {
      if (!listed.has(id))
        this.unlist(id)
    }
    for (const record of records)
      this.upsert(record)
  }

  private endLapse(id: string): void {
    clearTimeout(this.lapsed.get(id))
    this.lapsed.delete(id)
  }

  private update(replica: Replica, record: ReplicaRecord): void {
    const stateChanged = replica.record.draining !== record.draining
    replica.record = record
    if (!stateChanged)
      return
    this.log.write('replica-state', { replica: record.id, service: record.service, draining: record.draining })
    for (const listener of this.listeners)
      listener.stateChanged?.(replica)
  }

  private membersOf(service: string): Set<Replica> {
    const existing = this.byService.get(service)
    if (existing)
      return existing
    const created = new Set<Replica>()
    this.byService.set(service, created)
    return created
  }
}
