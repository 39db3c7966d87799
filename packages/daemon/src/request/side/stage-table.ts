/**
 * Deduplicates the stage calls of a side: a copy of a running call joins it, and a
 * copy of a finished call gets the same reply. Replaying results by identity
 * follows the approach of verifiers pull request 1565.
 *
 * Decides how long results are kept: until the entry acknowledges them or a limit
 * on number, size or age evicts them, oldest first. The key of an evicted call is
 * kept as a tombstone for the same lifetime, so that a delayed copy of the call
 * does not run again.
 *
 * State: in memory, with limits from the settings. If the process dies, the
 * results are lost; copies of the calls are refused afterwards because they are
 * addressed to the previous process incarnation of the side.
 */
import type { ResultQuery, StageCall, StageReply } from '../../connection/messages.js'
import type { BackendRun } from './backend-run.js'
import { StageReplyKind } from '../../connection/messages.js'
import { matchesBody } from '../stages/stage-input.js'
import { createRun, estimateRunBytes } from './backend-run.js'

/** Limits of the table. */
export interface StageTableOptions {
  /** Maximum number of finished results. */
  entries: number
  /** Maximum total size of finished results. */
  bytes: number
  /** How long results and tombstones are kept. */
  lifetimeMs: number
}

/** Marks a key that must never run (again). */
interface Tombstone {
  /** Creation time in milliseconds. */
  createdAt: number
  /** Whether the backend server may have been called for this key. */
  started: boolean
}

/** Tombstones examined per change, which bounds the time of an eviction. Must exceed the number added per change, or old ones accumulate. */
const MAX_EVICTION_STEPS = 64

/** The table of stage calls. */
export class StageTable {
  private readonly runs = new Map<string, BackendRun>()
  /** Finish time of each finished run in milliseconds, in order of finishing. */
  private readonly finished = new Map<string, number>()
  private readonly tombstones = new Map<string, Tombstone>()
  private bytes = 0

  constructor(
    private readonly options: StageTableOptions,
    private readonly now: () => number = () => performance.now(),
  ) {}

  /** Number of calls that have not finished. */
  get unfinished(): number {
    return this.runs.size - this.finished.size
  }

  /** Returns the run of a key if it has not been evicted. */
  find(key: string): BackendRun | undefined {
    return this.runs.get(key)
  }

  /** Returns the tombstone of a key whose call was cancelled or refused before it ran, or evicted after it finished. */
  findTombstone(key: string): Tombstone | undefined {
    return this.tombstones.get(key)
  }

  /** Finds the result of a finished stage of a request, regardless of which entry called the stage. */
  findFinished(query: ResultQuery): StageReply | undefined {
    for (const key of this.finished.keys()) {
      const run = this.runs.get(key)!
      if (run.finished?.kind === StageReplyKind.Done && matchesQuery(run.call, query))
        return run.finished
    }
    return undefined
  }

  /** Adds a run for a call that is not in the table. */
  add(call: StageCall): BackendRun {
    const run = createRun(call)
    this.runs.set(run.key, run)
    return run
  }

  /** Finishes a run with its final reply. */
  finish(run: BackendRun, reply: StageReply): void {
    if (run.finished)
      return
    run.finished = reply
    run.resolve(reply)
    run.listeners.clear()
    this.finished.set(run.key, this.now())
    this.bytes += estimateRunBytes(run)
    this.evict()
  }

  /** Drops a result that its entry has received. */
  acknowledge(key: string): void {
    if (this.finished.has(key))
      this.drop(key)
  }

  /** Adds a tombstone for a key that has no run, so that the call is refused if it arrives later. */
  addTombstone(key: string): void {
    if (!this.runs.has(key) && !this.tombstones.has(key))
      this.tombstones.set(key, { createdAt: this.now(), started: false })
    this.evict()
  }

  private drop(key: string): void {
    const run = this.runs.get(key)!
    this.runs.delete(key)
    this.finished.delete(key)
    this.bytes -= estimateRunBytes(run)
    this.tombstones.set(key, { createdAt: this.now(), started: run.started })
  }

  private evict(): void {
    const oldest = this.now() - this.options.lifetimeMs
    for (const [key, finishedAt] of this.finished) {
      const overLimit = this.finished.size > this.options.entries || this.bytes > this.options.bytes
      if (finishedAt >= oldest && !overLimit)
        break
      this.drop(key)
    }
    let steps = 0
    for (const [key, tombstone] of this.tombstones) {
      if (tombstone.createdAt >= oldest || ++steps > MAX_EVICTION_STEPS)
        break
      this.tombstones.delete(key)
    }
  }
}

function matchesQuery(call: StageCall, query: ResultQuery): boolean {
  const { requestId, account, stage } = call.identity
  const sameStage = requestId === query.requestId && account === query.account && stage === query.stage
  return sameStage && matchesBody(call, query.body)
}
