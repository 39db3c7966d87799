/**
 * A side's table of stage calls: a repeat of a running call joins it, a repeat
 * of a finished one gets the same reply. Replaying results by identity follows
 * the idea of verifiers pull request 1565.
 *
 * Decides how long results are kept: until their entry acknowledges them, or
 * until the limits of number, size or time, oldest first. A dropped call's key
 * stays for the same time, so that a late copy of the call never runs again.
 *
 * State: in memory, limits from the settings. When the process dies the results
 * are lost; a copy of a call is refused then, because it names the old process
 * life of the side.
 */
import type { ResultQuestion, StageCall, StageReply } from '../../connection/messages.js'
import type { BackendRun } from './backend-run.js'
import { StageReplyKind } from '../../connection/messages.js'
import { carriesBody } from '../stages/stage-input.js'
import { createRun, sizeOf } from './backend-run.js'

/** Limits of the table. */
export interface StageTableOptions {
  /** Finished results kept. */
  entries: number
  /** Bytes of finished results kept. */
  bytes: number
  /** Milliseconds for which a result or a key is kept. */
  lifetimeMs: number
}

/** A key that must not run any more. */
interface SpentKey {
  /** Milliseconds of the table's clock. */
  at: number
  /** Whether the backend server may have been called under it. */
  started: boolean
}

/** Spent keys looked at for each change, so that dropping never stalls. Fewer than come would leave old ones. */
const MAX_EVICTION_STEPS = 64

/** The table of stage calls. */
export class StageTable {
  private readonly runs = new Map<string, BackendRun>()
  /** When each finished run finished, in that order; milliseconds of the table's clock. */
  private readonly finished = new Map<string, number>()
  /** Keys that must not run any more. */
  private readonly spent = new Map<string, SpentKey>()
  private bytes = 0

  constructor(
    private readonly options: StageTableOptions,
    private readonly now: () => number = () => performance.now(),
  ) {}

  /** Number of calls that have not finished. */
  get unfinished(): number {
    return this.runs.size - this.finished.size
  }

  /** The run of a key, if it is still held. */
  find(key: string): BackendRun | undefined {
    return this.runs.get(key)
  }

  /** Whether a key was used up: cancelled before its call came, or dropped after its end. */
  spentKey(key: string): SpentKey | undefined {
    return this.spent.get(key)
  }

  /** Finds the finished result of a request's stage, whichever entry asked for it. */
  findFinished(question: ResultQuestion): StageReply | undefined {
    for (const key of this.finished.keys()) {
      const run = this.runs.get(key)!
      if (run.finished?.kind === StageReplyKind.Done && answersQuestion(run.call, question))
        return run.finished
    }
    return undefined
  }

  /** Opens a run for a call that is not in the table. */
  open(call: StageCall): BackendRun {
    const run = createRun(call)
    this.runs.set(run.key, run)
    return run
  }

  /** Ends a run with its one reply. */
  finish(run: BackendRun, reply: StageReply): void {
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
    let steps = 0
    for (const [key, spent] of this.spent) {
      if (spent.at >= oldest || ++steps > MAX_EVICTION_STEPS)
        break
      this.spent.delete(key)
    }
  }
}

function answersQuestion(call: StageCall, question: ResultQuestion): boolean {
  const { requestId, account, stage } = call.identity
  const sameStage = requestId === question.requestId && account === question.account && stage === question.stage
  return sameStage && carriesBody(call, question.body)
}
