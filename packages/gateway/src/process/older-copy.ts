/**
 * Decides which entries of the list of backend servers are believed after the
 * list came back from an older copy.
 *
 * Inputs: the entries of a whole list with their revisions, what was known of
 * their backend servers before, and the lives of those that had gone.
 * Rule: a backend server that was known to leave still leaves, in the same
 * process. One that had gone is withheld for LAPSE_MS, and listed then unless
 * its entry has lapsed or changed. What is written after the copy is believed.
 * Why: the copy says again what was so some seconds before, until the backend
 * servers have written their entries anew; work would go to those that have
 * left. An entry that was gone and does not lapse is of one that lives, and may
 * never change again.
 * Log events: `backend-added`, `backend-removed`, `backend-state`.
 *
 * State: lives that have gone, and entries withheld, in memory.
 */
import type { BackendRecord, ListedBackend, ListedBackends } from '../connection/backends/backend.js'
import { lifeOf } from '../connection/backends/backend.js'
import { positionOf } from '../connection/backends/revision.js'

/** Backend servers that have gone and are remembered. A copy is some seconds old, and some go in a second. */
const MAX_GONE = 500
/**
 * Milliseconds in which the entry of a backend server that has gone lapses in
 * an older copy: the platform takes entries for gone after three heartbeats
 * (3.6 s at 1.2 s each) and 2 s after its return. Half brings back backend
 * servers that have ended, twice leaves one that lives without work.
 */
const LAPSE_MS = 6000

/** What was known before a whole list was read. */
export interface KnownList {
  /** 0 where no list was read. */
  revision: number
  /** The record of a backend server; undefined where none is listed. */
  find: (id: string) => BackendRecord | undefined
}

/** Puts right what an older copy says wrongly. */
export class OlderCopy {
  /** Lives of backend servers whose entries have gone, the newest last. */
  private readonly gone = new Set<string>()
  /** Entries whose backend servers had gone, by id. */
  private readonly withheld = new Map<string, ListedBackend>()
  /** Revision up to which a whole list may be the copy; 0 before the source came back from one. */
  private copiedUpTo = 0

  /** Takes what to do with an entry that was withheld and has not lapsed. */
  constructor(private readonly onKept: (entry: ListedBackend) => void) {}

  /** The entries of a whole list that are believed, as they are believed. */
  correct({ revision, entries }: ListedBackends, known: KnownList): readonly ListedBackend[] {
    if (known.revision > 0 && positionOf(revision).era > positionOf(known.revision).era)
      this.copiedUpTo = revision
    this.withheld.clear()
    return entries.flatMap(entry => entry.revision <= this.copiedUpTo ? this.correctEntry(entry, known) : [entry])
  }

  /** These entries are no longer listed. */
  noteGone(entries: readonly ListedBackend[]): void {
    for (const { record } of entries) {
      this.gone.delete(lifeOf(record))
      this.gone.add(lifeOf(record))
    }
    const tooMany = [...this.gone].slice(0, Math.max(0, this.gone.size - MAX_GONE))
    tooMany.forEach(life => this.gone.delete(life))
  }

  /** A change of this backend server's entry was written. */
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
