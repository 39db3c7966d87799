/**
 * Decides which entries of the backend server list are trusted after the store
 * was restored from an older snapshot.
 *
 * Inputs: entries of a whole list with their revisions, the previously known
 * records of their backend servers, and the processes whose entries had been
 * removed.
 * Rule: a process that was known to be draining remains so. An entry that had
 * been removed is withheld for EXPIRY_MS, and listed afterwards unless it has
 * expired or changed. Entries written after the restore are trusted.
 * Why: until the backend servers have renewed their entries, the snapshot repeats
 * a state that is some seconds old, and work would go to backend servers that
 * have left. A withheld entry that does not expire belongs to a running backend
 * server, and may never change again.
 * Log events: `backend-added`, `backend-removed`, `backend-state`.
 *
 * State: removed processes and withheld entries, in memory.
 */
import type { BackendRecord, ListedBackend, ListedBackends } from '../connection/backends/backend.js'
import { incarnationOf } from '../connection/backends/backend.js'
import { positionOf } from '../connection/backends/revision.js'

/** Limit of remembered removals. A snapshot is some seconds old, and there are a few removals per second. */
const MAX_REMOVED_PROCESSES = 500
/**
 * Time within which the entry of a backend server that has ended expires from a
 * restored snapshot: the platform drops entries after three missed heartbeats
 * (3.6 s at 1.2 s each), plus 2 s after its recovery. Until then a backend server
 * that has ended must stay withheld; a running one gets no work meanwhile.
 */
const EXPIRY_MS = 6000

/** The list before a whole list was read. */
export interface PreviousList {
  /** 0 if no list has been read. */
  revision: number
  /** The record of a backend server; undefined if it is not listed. */
  find: (id: string) => BackendRecord | undefined
}

/** Corrects stale entries of a list that was restored from an older snapshot. */
export class StaleEntryFilter {
  /** Processes whose entries have been removed, most recent last. */
  private readonly removedProcesses = new Set<string>()
  /** Entries withheld because their processes had been removed, by id. */
  private readonly withheld = new Map<string, ListedBackend>()
  /** Entries up to this revision may be stale; 0 if the source was never restored from a snapshot. */
  private staleUpTo = 0

  /** `onUnexpired` is called with a withheld entry that has not expired. */
  constructor(private readonly onUnexpired: (entry: ListedBackend) => void) {}

  /** Returns the trusted entries of a whole list, corrected where needed. */
  filter({ revision, entries }: ListedBackends, previous: PreviousList): readonly ListedBackend[] {
    if (previous.revision > 0 && positionOf(revision).era > positionOf(previous.revision).era)
      this.staleUpTo = revision
    this.withheld.clear()
    return entries.flatMap(entry => entry.revision <= this.staleUpTo ? this.filterEntry(entry, previous) : [entry])
  }

  /** Records entries that are no longer listed. */
  recordRemoved(entries: readonly ListedBackend[]): void {
    for (const { record } of entries) {
      this.removedProcesses.delete(incarnationOf(record))
      this.removedProcesses.add(incarnationOf(record))
    }
    const excess = [...this.removedProcesses].slice(0, Math.max(0, this.removedProcesses.size - MAX_REMOVED_PROCESSES))
    excess.forEach(incarnation => this.removedProcesses.delete(incarnation))
  }

  /** Records that a change of this backend server's entry was written. */
  recordChange(id: string, record: BackendRecord | undefined): void {
    this.withheld.delete(id)
    if (record)
      this.removedProcesses.delete(incarnationOf(record))
  }

  private filterEntry(entry: ListedBackend, previous: PreviousList): ListedBackend[] {
    const { record } = entry
    if (this.removedProcesses.has(incarnationOf(record))) {
      this.withhold(entry)
      return []
    }
    const before = previous.find(record.id)
    const isLeaving = before !== undefined && before.draining && incarnationOf(before) === incarnationOf(record)
    return [isLeaving ? { ...entry, record: { ...record, draining: true } } : entry]
  }

  private withhold(entry: ListedBackend): void {
    const { id } = entry.record
    this.withheld.set(id, entry)
    setTimeout(() => {
      if (this.withheld.get(id) !== entry)
        return
      this.withheld.delete(id)
      this.onUnexpired(entry)
    }, EXPIRY_MS).unref()
  }
}
