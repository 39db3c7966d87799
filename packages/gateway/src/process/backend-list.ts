/**
 * This gateway's replica of the platform's backend server list, merged from its
 * own reads and from updates of peers. The higher revision wins, so the replica
 * never moves backwards. Peer updates cover the seconds during which a read of
 * the store may hang on a dead connection without an error.
 *
 * Holds the latest entry of each backend server and its revision in memory. A
 * new process starts empty and loads the whole list from the first source that
 * delivers it. The `Backend` objects belong to the registry.
 */
import type { EventLog } from '@eidermast/common'
import type { BackendChange, LapsingBackend, ListedBackend, ListedBackends } from '../connection/backends/backend.js'
import type { Member } from '../connection/peers/member.js'
import type { BackendRegistry } from './backend-registry.js'
import type { BackendSink, SourceOutage } from './platform-adapter.js'
import type { PreviousList } from './stale-entry-filter.js'
import { incarnationOf } from '../connection/backends/backend.js'
import { GatewayLog } from './gateway-log.js'
import { decidePeerRemovalGrace } from './removal-grace.js'
import { StaleEntryFilter } from './stale-entry-filter.js'

/**
 * Number of recent changes kept for peers. A site of 236 backend servers has
 * several changes per second; a peer that is further behind fetches the whole
 * list.
 */
const MAX_CHANGES = 200

/** Maintains the latest list and applies each change to the registry exactly once. */
export class BackendList implements BackendSink {
  private readonly entries = new Map<string, ListedBackend>()
  private currentRevision = 0
  /** Most recent changes for peers, oldest first. */
  private readonly changes: BackendChange[] = []
  /** `changes` is complete for all revisions above this one. */
  private changesCompleteAfter = 0
  private sourceUnavailable = false
  /** Overrides stale entries after the store was restored from an older snapshot. */
  private readonly staleEntryFilter = new StaleEntryFilter(entry => this.setEntry(entry))
  private readonly log: GatewayLog

  constructor(private readonly registry: BackendRegistry, log: EventLog) {
    this.log = new GatewayLog(log)
  }

  /** Revision of the list; 0 before it was first loaded. */
  get revision(): number {
    return this.currentRevision
  }

  /** Whether the list's source does not respond. */
  get isSourceUnavailable(): boolean {
    return this.sourceUnavailable
  }

  /** The list as sent to peers. */
  get current(): ListedBackends {
    return { revision: this.currentRevision, entries: [...this.entries.values()], lapsing: this.registry.lapsing }
  }

  handleSourceResponse(asOf: number): void {
    this.registry.recordListRead(asOf)
  }

  handleSourceFailure(): void {
    this.sourceUnavailable = true
  }

  handleSourceRecovery(outage: SourceOutage): void {
    this.sourceUnavailable = false
    this.registry.handleSourceRecovery(outage)
  }

  /** Applies a whole list from the source; ignored if peers have already sent a newer one. */
  replaceAll({ revision, entries }: ListedBackends): void {
    if (revision < this.currentRevision)
      return
    const trusted = this.staleEntryFilter.filter({ revision, entries }, this.previousList)
    this.resetChanges(revision)
    this.currentRevision = revision
    this.staleEntryFilter.recordRemoved(this.entriesMissingFrom(trusted))
    this.entries.clear()
    for (const entry of trusted)
      this.entries.set(entry.record.id, entry)
    this.registry.replaceAll(trusted.map(entry => entry.record))
    this.registry.markWholeListLoaded()
  }

  upsert({ record, revision }: ListedBackend): void {
    const known = this.entries.get(record.id)
    // A peer of an earlier release passes entries on without the version.
    if (known?.revision === revision && known.record.softwareVersion === undefined && record.softwareVersion !== undefined)
      return this.setEntry({ record, revision })
    this.applyChange({ id: record.id, record, revision })
  }

  unlist(id: string, revision: number): void {
    if (this.applyChange({ id, revision }))
      this.registry.unlist(id)
  }

  /** Changes after `revision`, for a peer that is up to date to that point; undefined if some of them are no longer kept. */
  changesSince(revision: number): BackendChange[] | undefined {
    if (revision >= this.currentRevision)
      return []
    if (revision < this.changesCompleteAfter)
      return undefined
    const usedForMs = usedForMsById(this.registry.lapsing)
    return this.changes.filter(change => change.revision > revision)
      .map(change => ({ ...change, usedForMs: change.record ? undefined : usedForMs.get(change.id) }))
  }

  /** Applies changes received from a peer and advances to the peer's revision. */
  adoptChanges(changes: readonly BackendChange[], revision: number, peer: Member): void {
    if (revision <= this.currentRevision)
      return
    this.recordPeerRead(revision, peer)
    for (const change of changes) {
      if (this.applyChange(change) && !change.record)
        this.unlistWithPeerGrace(change.id, change.usedForMs)
    }
    this.currentRevision = revision
  }

  /** Applies a peer's whole list if it is newer than this one. */
  adopt(list: ListedBackends, peer: Member): void {
    if (list.revision <= this.currentRevision)
      return
    this.recordPeerRead(list.revision, peer)
    this.resetChanges(list.revision)
    const entries = this.staleEntryFilter.filter(list, this.previousList)
    const listed = new Set(entries.map(entry => entry.record.id))
    const usedForMs = usedForMsById(list.lapsing ?? [])
    this.staleEntryFilter.recordRemoved(this.entriesMissingFrom(entries))
    for (const [id, known] of this.entries) {
      if (listed.has(id) || known.revision > list.revision)
        continue
      this.entries.delete(id)
      this.unlistWithPeerGrace(id, usedForMs.get(id))
    }
    for (const entry of entries) {
      if (entry.revision > this.revisionOf(entry.record.id))
        this.setEntry(entry)
    }
    this.currentRevision = list.revision
    this.registry.markWholeListLoaded()
  }

  /** Applies one change if it is newer than the known entry; the caller unlists removed backend servers. Returns whether it was applied. */
  private applyChange(change: BackendChange): boolean {
    const { id, revision, record } = change
    if (revision <= this.currentRevision)
      return false
    this.currentRevision = revision
    this.staleEntryFilter.recordChange(id, record)
    this.appendChange(change)
    // A whole list may contain entries that are newer than its own revision.
    if (revision <= this.revisionOf(id))
      return false
    if (record) {
      this.setEntry({ record, revision })
      return true
    }
    this.staleEntryFilter.recordRemoved([this.entries.get(id) ?? []].flat())
    this.entries.delete(id)
    return true
  }

  /** The list as known before the next whole list is applied. */
  private get previousList(): PreviousList {
    return { revision: this.currentRevision, find: id => this.entries.get(id)?.record }
  }

  /** Current entries that a whole list no longer contains. */
  private entriesMissingFrom(entries: readonly ListedBackend[]): ListedBackend[] {
    const listed = new Set(entries.map(({ record }) => incarnationOf(record)))
    return [...this.entries.values()].filter(({ record }) => !listed.has(incarnationOf(record)))
  }

  private setEntry(entry: ListedBackend): void {
    this.entries.set(entry.record.id, entry)
    this.registry.upsert(entry.record)
  }

  private revisionOf(id: string): number {
    return this.entries.get(id)?.revision ?? 0
  }

  private unlistWithPeerGrace(id: string, peerGraceMs: number | undefined): void {
    this.registry.unlistAfterGrace(id, decidePeerRemovalGrace({ peerGraceMs, isSourceUnavailable: this.sourceUnavailable }))
  }

  private recordPeerRead(revision: number, peer: Member): void {
    this.log.backendListAdopted(peer, revision, this.currentRevision, this.registry.listAgeMs)
    // The peer may not have read the list for some time itself.
    this.registry.recordListRead()
  }

  private appendChange(change: BackendChange): void {
    this.changes.push(change)
    const dropped = this.changes.length > MAX_CHANGES ? this.changes.shift() : undefined
    if (dropped)
      this.changesCompleteAfter = dropped.revision
  }

  /** A whole list does not contain the individual changes that led to it. */
  private resetChanges(revision: number): void {
    this.changes.length = 0
    this.changesCompleteAfter = revision
  }
}

function usedForMsById(lapsing: readonly LapsingBackend[]): Map<string, number> {
  return new Map(lapsing.map(({ id, remainingMs }) => [id, remainingMs]))
}
