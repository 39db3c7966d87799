/**
 * Deduplicates the requests of an entry: a duplicate of a running request joins
 * it, and a duplicate of a finished request gets the same answer.
 *
 * Decides what is evicted first: repeatable requests over the limit on number,
 * size or age; then, over the limit on size, the answers of unrepeatable requests,
 * oldest first. The key of an unrepeatable request is kept for its full lifetime,
 * so that it does not run again in this process incarnation. If the number of keys
 * reaches the limit, no further unrepeatable requests are admitted (event `shed`).
 *
 * State: in memory, with limits from the settings. If the process dies, the answers
 * are lost; its claims and tickets prevent other entries from running requests that
 * it may have run.
 */
import type { RequestAnswer } from '../connection/answer.js'
import { formatAnswer } from '../connection/answer.js'
import { OutcomeState } from '../connection/messages.js'
import { textBytes } from './text-bytes.js'

/** A running or finished request. */
export interface Outcome {
  key: string
  digest: string
  unrepeatable: boolean
  /** Resolves with the final answer. */
  answer: Promise<RequestAnswer>
  /** Resolves `answer`. */
  resolve: (answer: RequestAnswer) => void
  /** The answer, once the request has finished and until the answer is evicted. */
  finished?: RequestAnswer
  state: OutcomeState
  /** Finish time in milliseconds. */
  finishedAt?: number
  /** Estimated memory of the answer. */
  bytes: number
}

/** Limits of an outcome table. */
export interface OutcomeTableOptions {
  /** Maximum number of finished requests, separately for repeatable and unrepeatable ones. */
  entries: number
  /** Maximum total size of stored answers. */
  bytes: number
  /** How long answers of repeatable requests are kept. */
  lifetimeMs: number
  /** How long the keys of unrepeatable requests are kept. */
  unrepeatableLifetimeMs: number
}

/** Estimated memory of an answer in addition to its text. Affects how many short answers fit into the limit. */
const ANSWER_OVERHEAD_BYTES = 300

/** Running and finished requests of one entry. */
export class OutcomeTable {
  private readonly outcomes = new Map<string, Outcome>()
  /** Finished repeatable requests in order of finishing. */
  private readonly repeatable = new Map<string, Outcome>()
  /** Finished unrepeatable requests in order of finishing. */
  private readonly unrepeatable = new Map<string, Outcome>()
  private bytes = 0

  constructor(private readonly options: OutcomeTableOptions, private readonly now: () => number = Date.now) {}

  /** Number of running and finished requests in the table. */
  get size(): number {
    return this.outcomes.size
  }

  /** Whether the key of another unrepeatable request can be kept for its full lifetime. */
  get hasCapacity(): boolean {
    this.evict()
    return this.unrepeatable.size < this.options.entries
  }

  find(key: string): Outcome | undefined {
    return this.outcomes.get(key)
  }

  /** Adds a request that starts. */
  add(key: string, digest: string, unrepeatable: boolean): Outcome {
    let resolveAnswer!: (answer: RequestAnswer) => void
    const answer = new Promise<RequestAnswer>((resolve) => {
      resolveAnswer = resolve
    })
    const outcome: Outcome = { key, digest, unrepeatable, answer, resolve: resolveAnswer, state: OutcomeState.Running, bytes: 0 }
    this.outcomes.set(key, outcome)
    return outcome
  }

  /** Records the answer of a request and resolves its outcome. */
  finish(outcome: Outcome, answer: RequestAnswer, state: OutcomeState = OutcomeState.Finished): void {
    outcome.finished = answer
    outcome.state = state
    outcome.finishedAt = this.now()
    outcome.bytes = textBytes(formatAnswer(answer)) + ANSWER_OVERHEAD_BYTES
    outcome.resolve(answer)
    this.bytes += outcome.bytes
    const finished = outcome.unrepeatable ? this.unrepeatable : this.repeatable
    finished.set(outcome.key, outcome)
    this.evict()
  }

  /** Removes a request that was not run here, may be tried again, or is evicted. */
  remove(outcome: Outcome): void {
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
      this.remove(outcome)
    }
    for (const outcome of this.unrepeatable.values()) {
      if (now - outcome.finishedAt! <= this.options.unrepeatableLifetimeMs)
        break
      this.remove(outcome)
    }
    this.evictUnrepeatableAnswers()
  }

  /** Evicts answers of unrepeatable requests over the size limit; their keys are kept. */
  private evictUnrepeatableAnswers(): void {
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
