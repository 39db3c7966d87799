/**
 * The backend servers that the registry lists, by service.
 */
import type { EventLog } from '@eidermast/common'
import type { BackendRecord } from '../connection/backend.js'
import { Backend } from '../connection/backend.js'

/** What follows changes of the registry. */
export interface BackendListener {
  added?: (backend: Backend) => void
  removed?: (backend: Backend) => void
  /** It began to leave, or came back. */
  stateChanged?: (backend: Backend) => void
}

/**
 * How long an entry that is gone right after its source was away is still
 * used, in milliseconds: it may have lapsed only because its backend server
 * could not renew it. Shorter than what a backend server that leaves serves on.
 */
const LAPSE_GRACE_MS = 1900

/** Holds backend servers; a source upserts and removes them. */
export class BackendRegistry {
  private readonly byId = new Map<string, Backend>()
  private readonly byService = new Map<string, Set<Backend>>()
  private readonly listeners: BackendListener[] = []
  private readonly lapsed = new Map<string, NodeJS.Timeout>()
  private lapsesUntil = 0

  constructor(private readonly log: EventLog) {}

  get size(): number {
    return this.byId.size
  }

  listen(listener: BackendListener): void {
    this.listeners.push(listener)
  }

  find(id: string): Backend | undefined {
    return this.byId.get(id)
  }

  /** Backend servers of a service that take new work. */
  available(service: string): Backend[] {
    return [...this.byService.get(service) ?? []].filter(backend => !backend.record.draining)
  }

  /** The source was away and is back: entries may have lapsed meanwhile. */
  noteSourceReturned(): void {
    this.lapsesUntil = performance.now() + LAPSE_GRACE_MS
  }

  upsert(record: BackendRecord): void {
    this.endLapse(record.id)
    const existing = this.byId.get(record.id)
    if (existing) {
      this.update(existing, record)
      return
    }
    const backend = new Backend(record)
    this.byId.set(record.id, backend)
    this.membersOf(record.service).add(backend)
    this.log.write('backend-added', { backend: record.id, service: record.service, failureDomain: record.failureDomain, address: record.address, draining: record.draining })
    for (const listener of this.listeners)
      listener.added?.(backend)
  }

  /** The source lists an entry no more. */
  unlist(id: string): void {
    const remainingMs = this.lapsesUntil - performance.now()
    if (remainingMs <= 0 || !this.byId.has(id))
      return this.remove(id, 'its entry is gone')
    if (this.lapsed.has(id))
      return
    this.log.write('backend-lapsed', { backend: id, usedForMs: Math.round(remainingMs) })
    this.lapsed.set(id, setTimeout(() => this.remove(id, 'its entry lapsed and did not come back'), remainingMs).unref())
  }

  /** Sends nothing to it from now on. */
  remove(id: string, reason: string): void {
    this.endLapse(id)
    const backend = this.byId.get(id)
    if (!backend)
      return
    this.byId.delete(id)
    this.membersOf(backend.service).delete(backend)
    this.log.write('backend-removed', { backend: id, service: backend.service, reason })
    for (const listener of this.listeners)
      listener.removed?.(backend)
  }

  /** Holds exactly these backend servers. */
  replaceAll(records: readonly BackendRecord[]): void {
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

  private update(backend: Backend, record: BackendRecord): void {
    const stateChanged = backend.record.draining !== record.draining
    backend.record = record
    if (!stateChanged)
      return
    this.log.write('backend-state', { backend: record.id, service: record.service, draining: record.draining })
    for (const listener of this.listeners)
      listener.stateChanged?.(backend)
  }

  private membersOf(service: string): Set<Backend> {
    const existing = this.byService.get(service)
    if (existing)
      return existing
    const created = new Set<Backend>()
    this.byService.set(service, created)
    return created
  }
}
