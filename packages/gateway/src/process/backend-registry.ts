/**
 * The backend servers that the platform lists, by service. It owns the
 * `Backend` objects, and with them what was learned of each, from the listing
 * of an id until its removal. All of it is lost with the process; the next one
 * reads the list again.
 */
import type { EventLog } from '@eidermast/common'
import type { BackendRecord, LapsingBackend } from '../connection/backends/backend.js'
import type { SourceOutage } from './platform-adapter.js'
import { Backend, lifeOf } from '../connection/backends/backend.js'
import { GatewayLog } from './gateway-log.js'
import { IntakeCache } from './intake/intake-cache.js'
import { decideLapseGrace } from './lapse-grace.js'

/** What follows changes of the registry. */
export interface BackendListener {
  added?: (backend: Backend) => void
  removed?: (backend: Backend) => void
  /** It began to leave, its failure domain is evacuated, or it takes work again. */
  stateChanged?: (backend: Backend) => void
}

/** The removal of a backend server whose entry has gone. */
interface Removal {
  timer: NodeJS.Timeout
  /** Milliseconds of the process clock. */
  at: number
}

/** Holds backend servers; the list upserts and removes them. */
export class BackendRegistry {
  private readonly byId = new Map<string, Backend>()
  private readonly byService = new Map<string, Set<Backend>>()
  private readonly intakeCache = new IntakeCache()
  private readonly listeners: BackendListener[] = []
  /** Until when entries that go are used on: milliseconds of the process clock. */
  private graceUntil = 0
  /** When the list was read last, and when before that: milliseconds of the process clock. */
  private readAt = performance.now()
  private readBeforeAt = performance.now()
  /** Removals to come of backend servers whose entries have gone, by id. */
  private readonly lapsed = new Map<string, Removal>()
  /** Why entries may have lapsed; absent before the first outage. */
  private lastOutage: SourceOutage | undefined
  /** Failure domains whose backend servers get no work. */
  private evacuated: ReadonlySet<string> = new Set()
  /** A whole list was taken: what is listed from now on has started since. */
  private hasList = false
  private readonly log: GatewayLog

  constructor(
    log: EventLog,
    /** How long a backend server of a service is cold after its start, in milliseconds. */
    private readonly coldStartMs: (service: string) => number = () => 0,
  ) {
    this.log = new GatewayLog(log)
  }

  listen(listener: BackendListener): void {
    this.listeners.push(listener)
  }

  /** Backend servers known, also those that are leaving. */
  get size(): number {
    return this.byId.size
  }

  find(id: string): Backend | undefined {
    return this.byId.get(id)
  }

  /** Backend servers of a service that take new work. */
  available(service: string): Backend[] {
    return [...this.byService.get(service) ?? []].filter(backend => backend.takesWork)
  }

  /** How many backend servers of a service take new work in each failure domain. */
  countByDomain(service: string): Map<string, number> {
    const counts = new Map<string, number>()
    for (const { takesWork, failureDomain } of this.byService.get(service) ?? []) {
      if (takesWork)
        counts.set(failureDomain, (counts.get(failureDomain) ?? 0) + 1)
    }
    return counts
  }

  /** Milliseconds since the list was read last: a change that is not known here may be as old. */
  get listAgeMs(): number {
    return performance.now() - this.readAt
  }

  /** The platform or a peer gave the list; called before what it brings. */
  noteListRead(): void {
    this.readBeforeAt = this.readAt
    this.readAt = performance.now()
  }

  /** The source answers again after failures: entries may have lapsed meanwhile. */
  noteSourceReturned(outage: SourceOutage): void {
    this.lastOutage = outage
    this.graceUntil = performance.now() + decideLapseGrace(outage)
  }

  /** Lists a backend server, or changes what is listed of it. */
  upsert(record: BackendRecord): void {
    this.endLapse(record.id)
    const existing = this.byId.get(record.id)
    if (existing && isSameProcess(existing.record, record))
      return this.update(existing, record)
    if (existing)
      this.remove(record.id, 'it started again under its id')
    this.add(record)
  }

  /** Its entry has gone: it is removed, at once or after the time of grace. */
  unlist(id: string): void {
    this.unlistAfter(id, this.graceUntil - performance.now())
  }

  /** Its entry has gone: it is removed, at once or after this many milliseconds, unless it is listed again before. */
  unlistAfter(id: string, graceMs: number): void {
    if (graceMs <= 0 || !this.byId.has(id))
      return this.remove(id, 'its entry is gone')
    if (this.lapsed.has(id))
      return
    this.log.backendLapsed(id, graceMs, this.lastOutage)
    const timer = setTimeout(() => this.remove(id, 'its entry lapsed and did not come back'), graceMs)
    this.lapsed.set(id, { timer: timer.unref(), at: performance.now() + graceMs })
  }

  /** Backend servers whose entries have gone and that are used on. */
  get lapsing(): LapsingBackend[] {
    const now = performance.now()
    return [...this.lapsed].map(([id, { at }]) => ({ id, remainingMs: at - now }))
  }

  /** Sends nothing to it from now on. */
  remove(id: string, reason: string): void {
    this.endLapse(id)
    const backend = this.byId.get(id)
    if (!backend)
      return
    backend.removed = true
    this.intakeCache.store(backend, performance.now())
    this.byId.delete(id)
    this.backendsOf(backend.service).delete(backend)
    this.log.backendRemoved(backend.record, reason, this.noticedWithinMs)
    for (const listener of this.listeners)
      listener.removed?.(backend)
  }

  /** A backend server says by itself that it leaves, whatever is listed of it. */
  noteLeaving(backend: Backend): void {
    if (!backend.removed)
      this.reportStateChange(backend)
  }

  /** As `remove`, unless its id belongs to a later process of it by now. */
  removeBackend(backend: Backend, reason: string): void {
    if (this.byId.get(backend.id) === backend)
      this.remove(backend.id, reason)
  }

  /** Lists exactly these backend servers. */
  replaceAll(records: readonly BackendRecord[]): void {
    const listed = new Set(records.map(record => record.id))
    for (const id of [...this.byId.keys()]) {
      if (!listed.has(id))
        this.unlist(id)
    }
    for (const record of records)
      this.upsert(record)
  }

  /** A whole list was taken, from the source or from a peer. */
  noteWholeList(): void {
    this.hasList = true
  }

  /** Exactly these failure domains are evacuated: their backend servers, and those that are listed there later, get no work. */
  setEvacuated(failureDomains: ReadonlySet<string>): void {
    this.evacuated = failureDomains
    for (const backend of this.byId.values()) {
      const evacuated = failureDomains.has(backend.failureDomain)
      if (backend.evacuated === evacuated)
        continue
      backend.evacuated = evacuated
      if (!evacuated)
        this.noteCold(backend, this.coldStartMs(backend.service))
      this.reportStateChange(backend)
    }
  }

  /** Calls of this process under way at backend servers of evacuated failure domains. */
  get callsInEvacuated(): number {
    const evacuated = [...this.byId.values()].filter(backend => backend.evacuated)
    return evacuated.reduce((sum, { outstanding }) => sum + outstanding, 0)
  }

  /** Milliseconds between the last two reads of the list: what the last one brought is at most that old. */
  private get noticedWithinMs(): number {
    return this.readAt - this.readBeforeAt
  }

  private add(record: BackendRecord): void {
    const backend = new Backend(record, this.intakeCache.take(lifeOf(record)))
    backend.evacuated = this.evacuated.has(backend.failureDomain)
    this.byId.set(record.id, backend)
    this.backendsOf(record.service).add(backend)
    this.log.backendAdded(record)
    this.noteCold(backend, Math.max(record.coldMs ?? 0, this.hasList ? this.coldStartMs(record.service) : 0))
    for (const listener of this.listeners)
      listener.added?.(backend)
  }

  private update(backend: Backend, record: BackendRecord): void {
    const stateChanged = backend.record.draining !== record.draining
    // The same entry read again says nothing new of how long it is cold.
    const coldMs = record.coldMs === backend.record.coldMs ? 0 : record.coldMs
    // Releases that do not know when a process started leave it out.
    backend.record = { ...record, born: record.born ?? backend.record.born }
    this.noteCold(backend, coldMs ?? 0)
    if (!stateChanged)
      return
    this.log.backendStateChanged(record, this.noticedWithinMs)
    this.reportStateChange(backend)
  }

  private noteCold(backend: Backend, milliseconds: number): void {
    if (milliseconds <= 0)
      return
    backend.noteCold(milliseconds, performance.now())
    this.log.backendCold(backend.record, milliseconds)
  }

  private reportStateChange(backend: Backend): void {
    for (const listener of this.listeners)
      listener.stateChanged?.(backend)
  }

  private endLapse(id: string): void {
    clearTimeout(this.lapsed.get(id)?.timer)
    this.lapsed.delete(id)
  }

  private backendsOf(service: string): Set<Backend> {
    const backends = this.byService.get(service) ?? new Set()
    this.byService.set(service, backends)
    return backends
  }
}

/** Whether two records are of one process: nothing that was learned of it holds for a later one. */
function isSameProcess(known: BackendRecord, record: BackendRecord): boolean {
  return known.born === undefined || record.born === undefined || known.born === record.born
}
