/**
 * The platform's list of backend servers as this process knows it, from its
 * own reads and from peers: whichever is newer, so that it never goes back. A
 * lost read keeps a process from the changes for seconds without a sign; its
 * peers know them meanwhile.
 *
 * It owns the newest entry of each backend server with its revision, in memory;
 * a process that starts has none and takes the whole list from the first source
 * that brings it. The registry holds the backend servers themselves.
 */
import type { EventLog } from '@eidermast/common'
import type { BackendChange, LapsingBackend, ListedBackend, ListedBackends } from '../connection/backends/backend.js'
import type { Member } from '../connection/peers/member.js'
import type { BackendRegistry } from './backend-registry.js'
import type { KnownList } from './older-copy.js'
import type { BackendSink, SourceOutage } from './platform-adapter.js'
import { lifeOf } from '../connection/backends/backend.js'
import { GatewayLog } from './gateway-log.js'
import { decidePeerLapseGrace } from './lapse-grace.js'
import { OlderCopy } from './older-copy.js'

/**
 * Changes that are kept for peers. A site of 236 backend servers has some a
 * second, and a peer that is further behind fetches the whole list.
 */
const MAX_CHANGES = 200

/** Keeps the newest list; each change goes on to the registry once. */
export class BackendList implements BackendSink {
  private readonly entries = new Map<string, ListedBackend>()
  private currentRevision = 0
  /** The newest changes in their order, for peers. */
  private readonly changes: BackendChange[] = []
  /** Revision after which `changes` holds every one. */
  private changesFrom = 0
  private sourceAway = false
  /** Holds to what is known where the source comes back from an older copy. */
  private readonly olderCopy = new OlderCopy(entry => this.list(entry))
  private readonly log: GatewayLog

  constructor(private readonly registry: BackendRegistry, log: EventLog) {
    this.log = new GatewayLog(log)
  }

  /** Up to which change the list is known; 0 before any source brought it. */
  get revision(): number {
    return this.currentRevision
  }

  /** Whether the source does not answer. */
  get isSourceAway(): boolean {
    return this.sourceAway
  }

  /** The list as it is passed on to peers. */
  get current(): ListedBackends {
    return { revision: this.currentRevision, entries: [...this.entries.values()], lapsing: this.registry.lapsing }
  }

  noteSourceAnswered(): void {
    this.registry.noteListRead()
  }

  noteSourceFailed(): void {
    this.sourceAway = true
  }

  noteSourceReturned(outage: SourceOutage): void {
    this.sourceAway = false
    this.registry.noteSourceReturned(outage)
  }

  /** Takes the source's whole list, unless it is older than what peers have told. */
  replaceAll({ revision, entries }: ListedBackends): void {
    if (revision < this.currentRevision)
      return
    const believed = this.olderCopy.correct({ revision, entries }, this.known)
    this.forgetChanges(revision)
    this.currentRevision = revision
    this.olderCopy.noteGone(this.missingIn(believed))
    this.entries.clear()
    for (const entry of believed)
      this.entries.set(entry.record.id, entry)
    this.registry.replaceAll(believed.map(entry => entry.record))
    this.registry.noteWholeList()
  }

  upsert({ record, revision }: ListedBackend): void {
    this.take({ id: record.id, record, revision })
  }

  unlist(id: string, revision: number): void {
    if (this.take({ id, revision }))
      this.registry.unlist(id)
  }

  /** The changes after a revision, for a peer that has the list up to there; undefined where some are forgotten here. */
  changesSince(revision: number): BackendChange[] | undefined {
    if (revision >= this.currentRevision)
      return []
    if (revision < this.changesFrom)
      return undefined
    const usedForMs = usedForMsById(this.registry.lapsing)
    return this.changes.filter(change => change.revision > revision)
      .map(change => ({ ...change, usedForMs: change.record ? undefined : usedForMs.get(change.id) }))
  }

  /** Takes changes that a peer told, up to its revision. */
  adoptChanges(changes: readonly BackendChange[], revision: number, peer: Member): void {
    if (revision <= this.currentRevision)
      return
    this.noteAdoption(revision, peer)
    for (const change of changes) {
      if (this.take(change) && !change.record)
        this.useOnAsPeerDoes(change.id, change.usedForMs)
    }
    this.currentRevision = revision
  }

  /** Takes a peer's whole list where it is newer than this one. */
  adopt(list: ListedBackends, peer: Member): void {
    if (list.revision <= this.currentRevision)
      return
    this.noteAdoption(list.revision, peer)
    this.forgetChanges(list.revision)
    const entries = this.olderCopy.correct(list, this.known)
    const listed = new Set(entries.map(entry => entry.record.id))
    const usedForMs = usedForMsById(list.lapsing ?? [])
    this.olderCopy.noteGone(this.missingIn(entries))
    for (const [id, known] of this.entries) {
      if (listed.has(id) || known.revision > list.revision)
        continue
      this.entries.delete(id)
      this.useOnAsPeerDoes(id, usedForMs.get(id))
    }
    for (const entry of entries) {
      if (entry.revision > this.revisionOf(entry.record.id))
        this.list(entry)
    }
    this.currentRevision = list.revision
    this.registry.noteWholeList()
  }

  /** Takes one change where it is news; what has gone is left to the caller. Returns whether it was. */
  private take(change: BackendChange): boolean {
    const { id, revision, record } = change
    if (revision <= this.currentRevision)
      return false
    this.currentRevision = revision
    this.olderCopy.noteChange(id, record)
    this.remember(change)
    // A whole list may hold newer entries than its revision says.
    if (revision <= this.revisionOf(id))
      return false
    if (record) {
      this.list({ record, revision })
      return true
    }
    this.olderCopy.noteGone([this.entries.get(id) ?? []].flat())
    this.entries.delete(id)
    return true
  }

  /** What is listed up to now. */
  private get known(): KnownList {
    return { revision: this.currentRevision, find: id => this.entries.get(id)?.record }
  }

  /** Entries that are listed now and are missing in a whole list. */
  private missingIn(entries: readonly ListedBackend[]): ListedBackend[] {
    const listed = new Set(entries.map(({ record }) => lifeOf(record)))
    return [...this.entries.values()].filter(({ record }) => !listed.has(lifeOf(record)))
  }

  private list(entry: ListedBackend): void {
    this.entries.set(entry.record.id, entry)
    this.registry.upsert(entry.record)
  }

  private revisionOf(id: string): number {
    return this.entries.get(id)?.revision ?? 0
  }

  private useOnAsPeerDoes(id: string, usedByPeerMs: number | undefined): void {
    this.registry.unlistAfter(id, decidePeerLapseGrace({ usedByPeerMs, isSourceAway: this.sourceAway }))
  }

  private noteAdoption(revision: number, peer: Member): void {
    this.log.backendListAdopted(peer, revision, this.currentRevision, this.registry.listAgeMs)
    this.registry.noteListRead()
  }

  private remember(change: BackendChange): void {
    this.changes.push(change)
    const forgotten = this.changes.length > MAX_CHANGES ? this.changes.shift() : undefined
    if (forgotten)
      this.changesFrom = forgotten.revision
  }

  /** A whole list does not say which changes led to it. */
  private forgetChanges(revision: number): void {
    this.changes.length = 0
    this.changesFrom = revision
  }
}

function usedForMsById(lapsing: readonly LapsingBackend[]): Map<string, number> {
  return new Map(lapsing.map(({ id, remainingMs }) => [id, remainingMs]))
}
