/**
 * An open-loop load run: requests are sent at their planned times whether or
 * not earlier ones were answered, and latency counts from the planned time.
 */
import type { LoadKind } from './load-kind.js'
import type { LoadReport, LoadResult } from './load-report.js'
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'
import { Agent, request } from 'undici'
import { LoadEnd, LoadTally } from './load-report.js'

/** A burst of one client account's requests. */
export interface LoadBurst {
  account: string
  /** Seconds from the start. */
  fromSecond: number
  toSecond: number
  /** The account's requests are sent this many times as often. */
  factor: number
}

/** Options of a load run. */
export interface LoadRunOptions {
  entryUrls: string[]
  kinds: LoadKind[]
  /** Requests a second, of all kinds together. */
  ratePerSecond: number
  seconds: number
  /**
   * Seed of arrivals and of the mix.
   * @default 1
   */
  seed?: number
  burst?: LoadBurst
  /**
   * Checks an answer's output; by default any output of the right request counts.
   */
  verify?: (kind: LoadKind, index: number, output: string) => boolean
  /** Creates the id that a request carries, or undefined to let the entry make one. */
  createRequestId?: (kind: LoadKind) => string | undefined
  /** Called about once a second with the number sent and answered. */
  onProgress?: (sent: number, answered: number) => void
}

/** Time after its deadline for which a caller still listens, in milliseconds. */
const PATIENCE_MS = 3000
const RANDOM_STEPS = 1_000_000
const PROGRESS_MS = 1000

interface Answer {
  output?: string
  kind?: string
  stages?: { stage: string, cost: number }[]
}

/** Runs a load and returns what was measured. */
export async function runLoad(options: LoadRunOptions): Promise<LoadReport> {
  return new LoadRun(options).run()
}

class LoadRun {
  private readonly tally = new LoadTally()
  private readonly random
  private readonly agent = new Agent({ connections: 2000, pipelining: 1 })
  private sent = 0

  constructor(private readonly options: LoadRunOptions) {
    this.random = xoroshiro128plus(options.seed ?? 1)
  }

  async run(): Promise<LoadReport> {
    const progress = setInterval(() => this.options.onProgress?.(this.sent, this.tally.count), PROGRESS_MS)
    const pending: Promise<void>[] = []
    const startedAt = performance.now()
    const endAt = startedAt + this.options.seconds * 1000
    let plannedAt = startedAt + this.drawGap(0)
    while (plannedAt < endAt) {
      const early = plannedAt - performance.now()
      if (early > 0)
        await new Promise(resolve => setTimeout(resolve, early))
      pending.push(this.sendOne(plannedAt, plannedAt - startedAt))
      plannedAt += this.drawGap(plannedAt - startedAt)
    }
    await Promise.all(pending)
    clearInterval(progress)
    await this.agent.destroy()
    return this.tally.report(this.options.seconds, this.options.ratePerSecond)
  }

  private async sendOne(plannedAt: number, elapsedMs: number): Promise<void> {
    const index = this.sent++
    const kind = this.drawKind(elapsedMs)
    const entryUrl = this.options.entryUrls[Math.floor(this.draw() * this.options.entryUrls.length)]
    this.tally.add(await this.send(kind, index, entryUrl, plannedAt))
  }

  private async send(kind: LoadKind, index: number, entryUrl: string, plannedAt: number): Promise<LoadResult> {
    const base = { name: kind.name, account: kind.account, priority: kind.priority }
    const headers: Record<string, string> = { 'eidermast-account': kind.account }
    const requestId = this.options.createRequestId?.(kind)
    if (requestId)
      headers['eidermast-request-id'] = requestId
    try {
      const response = await request(entryUrl + kind.path(index), {
        method: kind.method,
        headers,
        body: kind.input ? JSON.stringify({ input: kind.input(index) }) : null,
        signal: AbortSignal.timeout(kind.deadlineMs + PATIENCE_MS),
        dispatcher: this.agent,
      })
      const answer = await response.body.json() as Answer
      const milliseconds = performance.now() - plannedAt
      if (response.statusCode !== 200)
        return { ...base, end: LoadEnd.Refused, milliseconds, errorKind: answer.kind ?? `status-${response.statusCode}`, costs: [] }
      const end = this.judge(kind, index, answer, milliseconds)
      return { ...base, end, milliseconds, costs: answer.stages ?? [] }
    }
    catch {
      return { ...base, end: LoadEnd.Lost, milliseconds: performance.now() - plannedAt, costs: [] }
    }
  }

  private judge(kind: LoadKind, index: number, answer: Answer, milliseconds: number): LoadEnd {
    const { verify } = this.options
    if (kind.input && (answer.output === undefined || (verify && !verify(kind, index, answer.output))))
      return LoadEnd.Wrong
    return milliseconds <= kind.deadlineMs ? LoadEnd.Attained : LoadEnd.Late
  }

  /** Milliseconds to the next arrival, by a Poisson process. */
  private drawGap(elapsedMs: number): number {
    const rate = this.options.ratePerSecond * this.rateFactor(elapsedMs)
    return -Math.log(1 - this.draw()) * (1000 / rate)
  }

  /** How much a burst raises the whole rate. */
  private rateFactor(elapsedMs: number): number {
    const weights = this.options.kinds.reduce((sum, kind) => sum + kind.weight, 0)
    const raised = this.options.kinds.reduce((sum, kind) => sum + this.weightAt(kind, elapsedMs), 0)
    return raised / weights
  }

  private weightAt(kind: LoadKind, elapsedMs: number): number {
    const { burst } = this.options
    const seconds = elapsedMs / 1000
    const bursting = burst && burst.account === kind.account && seconds >= burst.fromSecond && seconds < burst.toSecond
    return bursting ? kind.weight * burst.factor : kind.weight
  }

  private drawKind(elapsedMs: number): LoadKind {
    const { kinds } = this.options
    let left = this.draw() * kinds.reduce((sum, kind) => sum + this.weightAt(kind, elapsedMs), 0)
    for (const kind of kinds) {
      left -= this.weightAt(kind, elapsedMs)
      if (left < 0)
        return kind
    }
    return kinds.at(-1)!
  }

  private draw(): number {
    return unsafeUniformIntDistribution(0, RANDOM_STEPS - 1, this.random) / RANDOM_STEPS
  }
}
