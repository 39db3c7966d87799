/**
 * An open-loop load generator: requests are sent at their planned times,
 * whether or not earlier ones were answered, and latency is measured from the
 * planned time. It owns the connections and the results until the run ends; if
 * the process crashes, the results are lost.
 */
import type { LoadKind } from './load-kind.js'
import type { LoadReport } from './load-report.js'
import { wait } from '@eidermast/common'
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'
import { Agent } from 'undici'
import { LoadTally } from './load-report.js'
import { sendLoadRequest } from './load-request.js'

/** Options of a load run. */
export interface LoadRunOptions {
  entryUrls: string[]
  kinds: LoadKind[]
  /** Total requests per second, over all kinds. */
  ratePerSecond: number
  /** How long requests are sent; the run ends when the last request has completed. */
  seconds: number
  /** Seed for arrival times and for the choice of kinds and entries. */
  seed: number
  /** Called once a second with the number of requests sent and completed. */
  onProgress?: (sent: number, completed: number) => void
}

const MILLISECONDS_PER_SECOND = 1000

const PROGRESS_INTERVAL_MS = 1000

/**
 * Connections to one entry, each of which carries one request at a time. Allows
 * more connections than requests in flight, so that the load generator itself
 * does not delay requests, at the cost of sockets.
 */
const MAX_CONNECTIONS_PER_ENTRY = 2000

/** Resolution of random fractions; fine enough for any mix of kinds. */
const RANDOM_RESOLUTION = 1_000_000

/** Runs a load and returns its report. Failed requests are counted and do not reject the promise. */
export function runLoad(options: LoadRunOptions): Promise<LoadReport> {
  return new LoadRun(options).run()
}

class LoadRun {
  private readonly tally = new LoadTally()
  private readonly random
  private readonly agent = new Agent({ connections: MAX_CONNECTIONS_PER_ENTRY, pipelining: 1 })
  private readonly totalWeight: number
  private sent = 0

  constructor(private readonly options: LoadRunOptions) {
    this.random = xoroshiro128plus(options.seed)
    this.totalWeight = options.kinds.reduce((sum, kind) => sum + kind.weight, 0)
  }

  async run(): Promise<LoadReport> {
    const { seconds, ratePerSecond, onProgress } = this.options
    const progress = setInterval(() => onProgress?.(this.sent, this.tally.count), PROGRESS_INTERVAL_MS)
    await Promise.all(await this.sendAll())
    clearInterval(progress)
    await this.agent.destroy()
    return this.tally.report(seconds, ratePerSecond)
  }

  /** Sends every request at its planned time; each returned promise resolves when its request completes. */
  private async sendAll(): Promise<Promise<void>[]> {
    const pending: Promise<void>[] = []
    const startedAt = performance.now()
    const endAt = startedAt + this.options.seconds * MILLISECONDS_PER_SECOND
    let plannedAt = startedAt + this.sampleInterarrivalMs()
    while (plannedAt < endAt) {
      const delayMs = plannedAt - performance.now()
      if (delayMs > 0)
        await wait(delayMs)
      pending.push(this.sendOne(plannedAt))
      plannedAt += this.sampleInterarrivalMs()
    }
    return pending
  }

  private async sendOne(plannedAt: number): Promise<void> {
    const index = this.sent++
    const kind = this.pickKind()
    const entryUrl = this.pickEntry()
    this.tally.add(await sendLoadRequest({ kind, index, entryUrl, plannedAt, dispatcher: this.agent }))
  }

  /** Returns the time in milliseconds until the next arrival of a Poisson process. */
  private sampleInterarrivalMs(): number {
    return -Math.log(1 - this.randomFraction()) * (MILLISECONDS_PER_SECOND / this.options.ratePerSecond)
  }

  private pickEntry(): string {
    const { entryUrls } = this.options
    return entryUrls[Math.floor(this.randomFraction() * entryUrls.length)]
  }

  /** Picks a kind at random, in proportion to the weights. */
  private pickKind(): LoadKind {
    const { kinds } = this.options
    let remaining = this.randomFraction() * this.totalWeight
    for (const kind of kinds) {
      remaining -= kind.weight
      if (remaining < 0)
        return kind
    }
    return kinds.at(-1)!
  }

  /** Returns a random number in the range [0, 1). */
  private randomFraction(): number {
    return unsafeUniformIntDistribution(0, RANDOM_RESOLUTION - 1, this.random) / RANDOM_RESOLUTION
  }
}
