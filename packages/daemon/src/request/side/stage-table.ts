/**
 * A side's table of stage calls: a repeat of a running call joins it, a repeat
 * of a finished one gets the same reply. Finished results are bounded by
 * number, size and time, and dropped once acknowledged; their keys stay for
 * the same time, so that a late copy of a call never runs again.
 *
 * Replaying results by identity follows the idea of verifiers pull request 1565.
 */
import type { ResultQuestion, StageCall, StageReply } from '../../connection/messages.js'
import { stageKey, StageReplyKind } from '../../connection/messages.js'
import { carriesBody } from '../stages/stage-input.js'

/** Receives the tokens of a running call. */
export type TokenListener = (index: number, text: string) => void

/** One stage call at a side. */
export interface StageRun {
  key: string
  call: StageCall
  /** Whether the backend server may have been called. */
  started: boolean
  cancelled: boolean
  tokens: string[]
  listeners: Set<TokenListener>
  reply: Promise<StageReply>
  settle: (reply: StageReply) => void
  /** The reply, once it is there. */
  finished?: StageReply
  /** Stops the call at the backend server. */
  abort: AbortController
}

/** Limits of the table. */
export interface StageTableOptions {
  entries: number
  bytes: number
  /** Milliseconds for which a result or a key is kept. */
  lifetimeMs: number
}

interface Spent {
  at: number
  started: boolean
}

/** Looks at most this many keys ahead when it drops old ones. */
const EVICTION_STEP = 64

/** The table of stage calls. */
export class StageTable {
  private readonly runs = new Map<string, StageRun>()
  /** Finished runs in the order in which they finished. */
  private readonly finished = new Map<string, number>()
  /** Keys that must not run any more. */
  private readonly spent = new Map<string, Spent>()
  private bytes = 0

  constructor(private readonly options: StageTableOptions, private readonly now: () => number = () => performance.now()) {}

  /** Number of calls held, running and finished. */
  get size(): number {
    return this.runs.size
  }

  /** Number of calls that have not finished. */
  get unfinished(): number {
    return this.runs.size - this.finished.size
  }

  /** The run of a key, if it is still held. */
  find(key: string): StageRun | undefined {
    return this.runs.get(key)
  }

  /** Whether a key was used up: cancelled before its call came, or dropped after its end. */
  spentKey(key: string): { started: boolean } | undefined {
    return this.spent.get(key)
  }

  /** Finds the finished result of a request's stage, whichever entry asked for it. */
  findFinished(question: ResultQuestion): StageReply | undefined {
    for (const key of this.finished.keys()) {
      const run = this.runs.get(key)!
      const { identity } = run.call
      const sameStage = identity.requestId === question.requestId && identity.account === question.account && identity.stage === question.stage
      if (sameStage && run.finished?.kind === StageReplyKind.Done && carriesBody(run.call, question.body))
        return run.finished
    }
    return undefined
  }

  /** Opens a run for a call that is not in the table. */
  open(call: StageCall): StageRun {
    const key = stageKey(call.identity)
    let settle!: (reply: StageReply) => void
    const reply = new Promise<StageReply>((resolve) => {
      settle = resolve
    })
    const run: StageRun = { key, call, started: false, cancelled: false, tokens: [], listeners: new Set(), reply, settle, abort: new AbortController() }
    this.runs.set(key, run)
    return run
  }

  /** Ends a run with its one reply. */
  finish(run: StageRun, reply: StageReply): void {
    if (run.finished)
      return
    run.finished = reply
    run.settle(reply)
    run.listeners.clear()
    this.finished.set(run.key, this.now())
    this.bytes += sizeOf(run)
    this.evict()
  }

  /** Drops a result that its entry has taken. */
  acknowledge(key: string): void {
    if (this.finished.has(key))
      this.drop(key)
  }

  /** Uses up a key whose call has not come, so that it is refused when it does. */
  forbid(key: string): void {
    if (!this.runs.has(key) && !this.spent.has(key))
      this.spent.set(key, { at: this.now(), started: false })
    this.evict()
  }

  private drop(key: string): void {
    const run = this.runs.get(key)!
    this.runs.delete(key)
    this.finished.delete(key)
    this.bytes -= sizeOf(run)
    this.spent.set(key, { at: this.now(), started: run.started })
  }

  private evict(): void {
    const oldest = this.now() - this.options.lifetimeMs
    for (const [key, finishedAt] of this.finished) {
      const overLimit = this.finished.size > this.options.entries || this.bytes > this.options.bytes
      if (finishedAt >= oldest && !overLimit)
        break
      this.drop(key)
    }
    let looked = 0
    for (const [key, spent] of this.spent) {
      if (spent.at >= oldest || ++looked > EVICTION_STEP)
        break
      this.spent.delete(key)
    }
  }
}

function sizeOf(run: StageRun): number {
  const output = run.finished?.kind === StageReplyKind.Done ? run.finished.output.length : 0
  return run.call.input.length + output * 2
}
