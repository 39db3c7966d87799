/**
 * Decides which entries of the backend server list are trusted after the store
 * was restored from an older snapshot.
 *
 * Inputs: entries of a whole list with their revisions, the previously known
 * records of their backend servers, and the processes whose entries had been
 * removed.
 * Rule: a process that was known to be draining remains so. An entry that had
 * been removed is withheld for LAPSE_MS, and listed afterwards unless it has
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
import { lifeOf } from '../connection/backends/backend.js'
import { positionOf } from '../connection/backends/revision.js'

/** Limit of remembered removals. A snapshot is some seconds old, and there are a few removals per second. */
const MAX_GONE = 500
/**
 * Time within which the entry of a backend server that has ended expires from a
 * restored snapshot: the platform drops entries after three missed heartbeats
 * (3.6 s at 1.2 s each), plus 2 s after its recovery. Half brings back backend
 * servers that have ended; twice leaves a running one without work for longer.
 */
const LAPSE_MS = 6000

/** The list before a whole list was read. */
export interface KnownList {
  /** 0 if no list has been read. */
  revision: number
  /** The record of a backend server; undefined if it is not listed. */
  find: (id: string) => BackendRecord | undefined
}

/** Corrects stale entries of a list that was restored from an older snapshot. */
export class OlderCopy {
  /** Processes whose entries have been removed, most recent last. */
  private readonly gone = new Set<string>()
  /** Entries held back because their processes had been removed, by id. */
  private readonly withheld = new Map<string, ListedBackend>()
  /** Entries up to this revision may be stale; 0 if the source was never restored from a snapshot. */
  private copiedUpTo = 0

  /** `onKept` is called with a withheld entry that has not expired. */
  constructor(private readonly onKept: (entry: ListedBackend) => void) {}

  /** Returns the trusted entries of a whole list, corrected where needed. */
  correct({ revision, entries }: ListedBackends, known: KnownList): readonly ListedBackend[] {
    if (known.revision > 0 && positionOf(revision).era > positionOf(known.revision).era)
      this.copiedUpTo = revision
    this.withheld.clear()
    return entries.flatMap(entry => entry.revision <= this.copiedUpTo ? this.correctEntry(entry, known) : [entry])
  }

  /** Records entries that are no longer listed. */
  noteGone(entries: readonly ListedBackend[]): void {
    for (const { record } of entries) {
      this.gone.delete(lifeOf(record))
      this.gone.add(lifeOf(record))
    }
    const tooMany = [...this.gone].slice(0, Math.max(0, this.gone.size - MAX_GONE))
    tooMany.forEach(life => this.gone.delete(life))
  }

  /** Records that a change of this backend server's entry was written. */
  noteChange(id: string, record: BackendRecord | undefined): void {
    this.withheld.delete(id)
    if (record)
      this.gone.delete(lifeOf(record))
  }

  private correctEntry(entry: ListedBackend, known: KnownList): ListedBackend[] {
    const { record } = entry
    if (this.gone.has(lifeOf(record))) {
      this.withhold(entry)
      return []
    }
    const before = known.find(record.id)
    const isLeaving = before !== undefined && before.draining && lifeOf(before) === lifeOf(record)
    return [isLeaving ? { ...entry, record: { ...record, draining: true } } : entry]
  }

  private withhold(entry: ListedBackend): void {
    const { id } = entry.record
    this.withheld.set(id, entry)
    setTimeout(() => {
      if (this.withheld.get(id) !== entry)
        return
      this.withheld.delete(id)
      this.onKept(entry)
    }, LAPSE_MS).unref()
  }
}
