/**
 * The platform's list of backend servers as this process knows it, from its
 * own reads and from peers: whichever is newer. A lost read keeps a process from
 * its own changes for seconds without a sign; its peers know them meanwhile.
 *
 * It owns the newest entry of each backend server with its revision, in memory;
 * a process that starts has none and takes the whole list from the first source
 * that brings it. The registry holds the backend servers themselves.
 */
import type { EventLog } from '@eidermast/common'
import type { ListedBackend, ListedBackends } from '../connection/backends/backend.js'
import type { Member } from '../connection/peers/member.js'
import type { BackendRegistry } from './backend-registry.js'
import type { BackendSink, SourceOutage } from './platform-adapter.js'
import { GatewayLog } from './gateway-log.js'
import { decidePeerLapseGrace } from './lapse-grace.js'

/** Keeps the newest list; each change goes on to the registry once. */
export class BackendList implements BackendSink {
  private readonly entries = new Map<string, ListedBackend>()
  private currentRevision = 0
  private isSourceAway = false
  private readonly log: GatewayLog

  constructor(private readonly registry: BackendRegistry, log: EventLog) {
    this.log = new GatewayLog(log)
  }

  /** Up to which change the list is known; 0 before any source brought it. */
  get revision(): number {
    return this.currentRevision
  }

  /** The list as it is passed on to peers. */
  get current(): ListedBackends {
    return { revision: this.currentRevision, entries: [...this.entries.values()], lapsing: this.registry.lapsing }
  }

  noteSourceAnswered(): void {
    this.registry.noteListRead()
  }

  noteSourceFailed(): void {
    this.isSourceAway = true
  }

  noteSourceReturned(outage: SourceOutage): void {
    this.isSourceAway = false
    this.registry.noteSourceReturned(outage)
  }

  replaceAll({ revision, entries }: ListedBackends): void {
    this.currentRevision = revision
    this.entries.clear()
    for (const entry of entries)
      this.entries.set(entry.record.id, entry)
    this.registry.replaceAll(entries.map(entry => entry.record))
  }

  upsert(entry: ListedBackend): void {
    if (entry.revision <= this.currentRevision)
      return
    this.currentRevision = entry.revision
    this.list(entry)
  }

  unlist(id: string, revision: number): void {
    if (revision <= this.currentRevision)
      return
    this.currentRevision = revision
    this.entries.delete(id)
    this.registry.unlist(id)
  }

  /** Takes a peer's list where it is newer than this one. */
  adopt(list: ListedBackends, peer: Member): void {
    if (list.revision <= this.currentRevision)
      return
    this.log.backendListAdopted(peer, list.revision, this.currentRevision, this.registry.listAgeMs)
    this.registry.noteListRead()
    const listed = new Set(list.entries.map(entry => entry.record.id))
    const lapsing = new Map(list.lapsing?.map(({ id, remainingMs }) => [id, remainingMs]))
    for (const [id, known] of this.entries) {
      if (!listed.has(id) && known.revision <= list.revision)
        this.dropAsPeerDid(id, lapsing.get(id))
    }
    for (const entry of list.entries) {
      if (entry.revision > (this.entries.get(entry.record.id)?.revision ?? 0))
        this.list(entry)
    }
    this.currentRevision = list.revision
  }

  private list(entry: ListedBackend): void {
    this.entries.set(entry.record.id, entry)
    this.registry.upsert(entry.record)
  }

  private dropAsPeerDid(id: string, usedByPeerMs: number | undefined): void {
    this.entries.delete(id)
    this.registry.unlistAfter(id, decidePeerLapseGrace({ usedByPeerMs, isSourceAway: this.isSourceAway }))
  }
}
