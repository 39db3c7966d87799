/**
 * Registry of the backend servers that the platform lists, indexed by id and by
 * service. Owns the `Backend` objects, including the state learned about each,
 * from listing until removal. Everything is in memory; a new process loads the
 * list again.
 */
import type { EventLog } from '@eidermast/common'
import type { BackendRecord, LapsingBackend } from '../connection/backends/backend.js'
import type { SourceOutage } from './platform-adapter.js'
import { Backend, incarnationOf } from '../connection/backends/backend.js'
import { GatewayLog } from './gateway-log.js'
import { IntakeCache } from './intake/intake-cache.js'
import { decideRemovalGrace } from './removal-grace.js'

/** Callbacks for changes of the registry. */
export interface BackendListener {
  added?: (backend: Backend) => void
  removed?: (backend: Backend) => void
  /** The backend server started or stopped draining, or its failure domain was evacuated or restored. */
  stateChanged?: (backend: Backend) => void
  /** The entry of a known backend server names the version of its software for the first time. */
  versionLearned?: (backend: Backend) => void
}

/** Scheduled removal of a backend server whose entry has expired. */
interface PendingRemoval {
  timer: NodeJS.Timeout
  /** Due time on the monotonic clock, in milliseconds. */
  dueAt: number
}

/** Backend servers by id and service; updated by `BackendList`. */
export class BackendRegistry {
  private readonly byId = new Map<string, Backend>()
  private readonly byService = new Map<string, Set<Backend>>()
  private readonly intakeCache = new IntakeCache()
  private readonly listeners: BackendListener[] = []
  /** End of the grace period for removed entries, on the monotonic clock in milliseconds. */
  private graceUntil = 0
  /** When the last answer about the list arrived, on the monotonic clock in milliseconds. */
  private lastReadAt = performance.now()
  /** Until when the list contains every change, and until when it did before the last answer. */
  private completeUntil = performance.now()
  private previouslyCompleteUntil = performance.now()
  /** Scheduled removals of backend servers whose entries have expired, by id. */
  private readonly pendingRemovals = new Map<string, PendingRemoval>()
  /** Last outage of the list's source, in which entries may have expired; undefined before the first one. */
  private lastOutage: SourceOutage | undefined
  /** Evacuated failure domains; their backend servers get no work. */
  private evacuated: ReadonlySet<string> = new Set()
  /** A whole list has been loaded, so any backend server added from now on has just started. */
  private hasWholeList = false
  private readonly log: GatewayLog

  constructor(
    log: EventLog,
    /** Cold-start period of a service's backend servers, in milliseconds. */
    private readonly coldStartMs: (service: string) => number = () => 0,
  ) {
    this.log = new GatewayLog(log)
  }

  listen(listener: BackendListener): void {
    this.listeners.push(listener)
  }

  /** Number of known backend servers, including draining ones. */
  get size(): number {
    return this.byId.size
  }

  find(id: string): Backend | undefined {
    return this.byId.get(id)
  }

  /** Backend servers of a service that accept new work. */
  available(service: string): Backend[] {
    return [...this.byService.get(service) ?? []].filter(backend => backend.acceptsWork)
  }

  /** Number of backend servers of a service that accept new work, by failure domain. */
  countByDomain(service: string): Map<string, number> {
    const counts = new Map<string, number>()
    for (const { acceptsWork, failureDomain } of this.byService.get(service) ?? []) {
      if (acceptsWork)
        counts.set(failureDomain, (counts.get(failureDomain) ?? 0) + 1)
    }
    return counts
  }

  /** Upper bound on the age of any change not yet seen, in milliseconds. */
  get listAgeMs(): number {
    return performance.now() - this.completeUntil
  }

  /**
   * The platform or a peer delivered the list; called before the changes are
   * applied. `asOf`: until when it contains every change, on the monotonic clock in
   * milliseconds; undefined if that is not known.
   */
  recordListRead(asOf?: number): void {
    this.lastReadAt = performance.now()
    this.previouslyCompleteUntil = this.completeUntil
    this.completeUntil = Math.max(this.completeUntil, asOf ?? Number.NEGATIVE_INFINITY)
  }

  /** The source responds again after an outage, during which entries may have expired. */
  handleSourceRecovery(outage: SourceOutage): void {
    this.lastOutage = outage
    this.graceUntil = performance.now() + decideRemovalGrace(outage)
  }

  /** Adds a backend server or updates its record. */
  upsert(record: BackendRecord): void {
    this.cancelRemoval(record.id)
    const existing = this.byId.get(record.id)
    if (existing && isSameProcess(existing.record, record))
      return this.update(existing, record)
    if (existing)
      this.remove(record.id, 'backend server restarted under the same id')
    this.add(record)
  }

  /** Removes a backend server whose entry was deleted, at once or after the current grace period. */
  unlist(id: string): void {
    this.unlistAfterGrace(id, this.graceUntil - performance.now())
  }

  /** Removes a backend server whose entry was deleted, after `graceMs` milliseconds unless it is listed again before then. */
  unlistAfterGrace(id: string, graceMs: number): void {
    if (graceMs <= 0 || !this.byId.has(id))
      return this.remove(id, 'list entry was removed')
    if (this.pendingRemovals.has(id))
      return
    this.log.backendEntryExpired(id, graceMs, this.lastOutage)
    const timer = setTimeout(() => this.remove(id, 'list entry expired and was not renewed'), graceMs)
    this.pendingRemovals.set(id, { timer: timer.unref(), dueAt: performance.now() + graceMs })
  }

  /** Backend servers whose entries have expired and that still get work for a grace period. */
  get lapsing(): LapsingBackend[] {
    const now = performance.now()
    return [...this.pendingRemovals].map(([id, { dueAt }]) => ({ id, remainingMs: dueAt - now }))
  }

  /** Removes a backend server immediately; it gets no further work. */
  remove(id: string, reason: string): void {
    this.cancelRemoval(id)
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

  /** A backend server itself announced that it is leaving, regardless of its list entry. */
  noteLeaving(backend: Backend): void {
    if (!backend.removed)
      this.notifyStateChange(backend)
  }

  /** Like `remove`, unless the id now belongs to a newer process. */
  removeBackend(backend: Backend, reason: string): void {
    if (this.byId.get(backend.id) === backend)
      this.remove(backend.id, reason)
  }

  /** Replaces the listed backend servers with exactly these. */
  replaceAll(records: readonly BackendRecord[]): void {
    const listed = new Set(records.map(record => record.id))
    for (const id of [...this.byId.keys()]) {
      if (!listed.has(id))
        this.unlist(id)
    }
    for (const record of records)
      this.upsert(record)
  }

  /** Whether a whole list was loaded, so that any backend server added from now on has just started. */
  get isWholeListLoaded(): boolean {
    return this.hasWholeList
  }

  /** A whole list was loaded, from the source or from a peer. */
  markWholeListLoaded(): void {
    this.hasWholeList = true
  }

  /** Replaces the set of evacuated failure domains. Also applies to backend servers that are listed there later. */
  setEvacuated(failureDomains: ReadonlySet<string>): void {
    this.evacuated = failureDomains
    for (const backend of this.byId.values()) {
      const evacuated = failureDomains.has(backend.failureDomain)
      if (backend.evacuated === evacuated)
        continue
      backend.evacuated = evacuated
      if (!evacuated)
        this.markCold(backend, this.coldStartMs(backend.service))
      this.notifyStateChange(backend)
    }
  }

  get all(): Iterable<Backend> {
    return this.byId.values()
  }

  /** Backend servers with calls of this process in flight. */
  get called(): Backend[] {
    return [...this.byId.values()].filter(({ outstanding }) => outstanding > 0)
  }

  /** Calls of this process in flight to backend servers of evacuated failure domains. */
  get callsInEvacuated(): number {
    const evacuated = [...this.byId.values()].filter(backend => backend.evacuated)
    return evacuated.reduce((sum, { outstanding }) => sum + outstanding, 0)
  }

  /** Maximum age of a change in the last answer about the list, in milliseconds. */
  private get noticedWithinMs(): number {
    return this.lastReadAt - this.previouslyCompleteUntil
  }

  private add(record: BackendRecord): void {
    const backend = new Backend(record, this.intakeCache.take(incarnationOf(record)))
    backend.evacuated = this.evacuated.has(backend.failureDomain)
    this.byId.set(record.id, backend)
    this.backendsOf(record.service).add(backend)
    this.log.backendAdded(record)
    this.markCold(backend, Math.max(record.coldMs ?? 0, this.hasWholeList ? this.coldStartMs(record.service) : 0))
    for (const listener of this.listeners)
      listener.added?.(backend)
  }

  private update(backend: Backend, record: BackendRecord): void {
    const stateChanged = backend.record.draining !== record.draining
    const isVersionLearned = backend.softwareVersion === undefined && record.softwareVersion !== undefined
    // Reading an unchanged entry again must not extend the cold period.
    const coldMs = record.coldMs === backend.record.coldMs ? 0 : record.coldMs
    // Older releases do not report the start time of the process and its software version.
    backend.record = { ...record, born: record.born ?? backend.record.born, softwareVersion: record.softwareVersion ?? backend.record.softwareVersion }
    this.markCold(backend, coldMs ?? 0)
    if (isVersionLearned) {
      for (const listener of this.listeners)
        listener.versionLearned?.(backend)
    }
    if (!stateChanged)
      return
    this.log.backendStateChanged(record, this.noticedWithinMs)
    this.notifyStateChange(backend)
  }

  private markCold(backend: Backend, milliseconds: number): void {
    if (milliseconds <= 0)
      return
    backend.markCold(milliseconds, performance.now())
    this.log.backendCold(backend.record, milliseconds)
  }

  private notifyStateChange(backend: Backend): void {
    for (const listener of this.listeners)
      listener.stateChanged?.(backend)
  }

  private cancelRemoval(id: string): void {
    clearTimeout(this.pendingRemovals.get(id)?.timer)
    this.pendingRemovals.delete(id)
  }

  private backendsOf(service: string): Set<Backend> {
    const backends = this.byService.get(service) ?? new Set()
    this.byService.set(service, backends)
    return backends
  }
}

/** Whether two records describe the same process; state learned about one process does not apply to a later one. */
function isSameProcess(known: BackendRecord, record: BackendRecord): boolean {
  return agrees(known.born, record.born) && agrees(known.softwareVersion, record.softwareVersion)
}

/** Whether two reports of a property may both be true; one that is absent agrees with any. */
function agrees<Value>(known: Value | undefined, reported: Value | undefined): boolean {
  return known === undefined || reported === undefined || known === reported
}
