/**
 * An entry's memory of requests: a repeat joins the running one or gets the
 * same answer.
 *
 * Decides what is forgotten first: repeatable requests over the limit of number,
 * size or time; then, over the limit of size, answers of unrepeatable ones,
 * oldest first. The key of an unrepeatable request stays for its whole time, so
 * that it never runs again in this process life; when there are as many keys as
 * the limit, no further unrepeatable request is admitted (event `shed`).
 *
 * State: in memory, limits from the settings. When the process dies, its claims
 * and tickets keep others from running what it may have run, and the answers
 * are lost.
 */
import type { RequestAnswer } from '../connection/answer.js'
import { formatAnswer } from '../connection/answer.js'
import { OutcomeState } from '../connection/messages.js'
import { textBytes } from './text-bytes.js'

/** What is remembered of a request. */
export interface Outcome {
  key: string
  digest: string
  unrepeatable: boolean
  /** Resolves with the one answer. */
  answer: Promise<RequestAnswer>
  /** Resolves the answer. */
  settle: (answer: RequestAnswer) => void
  /** The answer, once it is there and while it is kept. */
  finished?: RequestAnswer
  state: OutcomeState
  /** Milliseconds of the table's clock. */
  finishedAt?: number
  /** Memory that the answer is counted with. */
  bytes: number
}

/** Limits of the memory. */
export interface OutcomeTableOptions {
  /** Finished requests kept, repeatable and unrepeatable counted apart. */
  entries: number
  /** Bytes of answers kept. */
  bytes: number
  /** Milliseconds for which answers are kept. */
  lifetimeMs: number
  /** Milliseconds for which keys of unrepeatable requests are kept. */
  unrepeatableLifetimeMs: number
}

/** Bytes of an answer beside its text. Half or twice shifts how many short answers fit into the limit. */
const ANSWER_OVERHEAD_BYTES = 300

/** The memory of one entry. */
export class OutcomeTable {
  private readonly outcomes = new Map<string, Outcome>()
  /** Repeatable finished ones, in the order in which they finished. */
  private readonly repeatable = new Map<string, Outcome>()
  /** Unrepeatable finished ones, in the order in which they finished. */
  private readonly unrepeatable = new Map<string, Outcome>()
  private bytes = 0

  constructor(private readonly options: OutcomeTableOptions, private readonly now: () => number = Date.now) {}

  /** Number of requests remembered. */
  get size(): number {
    return this.outcomes.size
  }

  /** Whether another unrepeatable request can be remembered for its whole time. */
  get hasCapacity(): boolean {
    this.evict()
    return this.unrepeatable.size < this.options.entries
  }

  /** What is remembered of a request. */
  find(key: string): Outcome | undefined {
    return this.outcomes.get(key)
  }

  /** Remembers a request that begins. */
  open(key: string, digest: string, unrepeatable: boolean): Outcome {
    let settle!: (answer: RequestAnswer) => void
    const answer = new Promise<RequestAnswer>((resolve) => {
      settle = resolve
    })
    const outcome: Outcome = { key, digest, unrepeatable, answer, settle, state: OutcomeState.Running, bytes: 0 }
    this.outcomes.set(key, outcome)
    return outcome
  }

  /** Ends a request with its answer. */
  finish(outcome: Outcome, answer: RequestAnswer, state: OutcomeState = OutcomeState.Finished): void {
    outcome.finished = answer
    outcome.state = state
    outcome.finishedAt = this.now()
    outcome.bytes = textBytes(formatAnswer(answer)) + ANSWER_OVERHEAD_BYTES
    outcome.settle(answer)
    this.bytes += outcome.bytes
    const finished = outcome.unrepeatable ? this.unrepeatable : this.repeatable
    finished.set(outcome.key, outcome)
    this.evict()
  }

  /** Forgets a request that was passed to another entry, or may be tried again. */
  forget(outcome: Outcome): void {
    if (this.outcomes.get(outcome.key) !== outcome)
      return
    this.outcomes.delete(outcome.key)
    this.repeatable.delete(outcome.key)
    if (this.unrepeatable.delete(outcome.key) || outcome.finishedAt !== undefined)
      this.bytes -= outcome.bytes
  }

  private evict(): void {
    const now = this.now()
    for (const outcome of this.repeatable.values()) {
      const overLimit = this.repeatable.size > this.options.entries || this.bytes > this.options.bytes
      if (!overLimit && now - outcome.finishedAt! <= this.options.lifetimeMs)
        break
      this.forget(outcome)
    }
    for (const outcome of this.unrepeatable.values()) {
      if (now - outcome.finishedAt! <= this.options.unrepeatableLifetimeMs)
        break
      this.forget(outcome)
    }
    this.dropUnrepeatableAnswers()
  }

  /** Over the limit of bytes, answers of unrepeatable requests go but their keys stay. */
  private dropUnrepeatableAnswers(): void {
    if (this.bytes <= this.options.bytes)
      return
    for (const outcome of this.unrepeatable.values()) {
      if (this.bytes <= this.options.bytes)
        return
      outcome.finished = undefined
      this.bytes -= outcome.bytes
      outcome.bytes = 0
    }
  }
}
