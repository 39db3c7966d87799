/**
 * Stand-in of a backend server: a model engine, a pool member (encoder,
 * retriever, reranker) or a plain service. Counts every run by request and
 * stage, and takes its faults over HTTP.
 */
import type { ServerResponse } from 'node:http'
import type { StandInCall, StandInService } from './http-service.js'
import { randomUUID } from 'node:crypto'
import { appendFileSync } from 'node:fs'
import { z } from 'zod'
import { delay, sendJson, startService } from './http-service.js'
import { generateTokens, stageOutput } from './outputs.js'

/** What a backend server is. */
export enum BackendKind {
  Engine = 'engine',
  Pool = 'pool',
  Plain = 'plain',
}

const faultsSchema = z.strictObject({
  /** Service times are multiplied by this. */
  slowFactor: z.number().min(0).default(1),
  /** Share of runs that fail after they started. */
  failShare: z.number().min(0).max(1).default(0),
  /** Whether runs start and never end. */
  hang: z.boolean().default(false),
  /** Runs that finish but whose reply is dropped. */
  dropReplies: z.int().min(0).default(0),
  /** Streams that are cut in the middle. */
  cutStreams: z.int().min(0).default(0),
  /** Whether the process ends at the next run, after it has started. */
  die: z.boolean().default(false),
  /** Milliseconds by which the load report lags. */
  loadLagMs: z.number().min(0).default(0),
})

/** Faults of a backend server. */
export type BackendFaults = z.infer<typeof faultsSchema>

/** Options of a backend server. */
export interface BackendServiceOptions {
  kind: BackendKind
  /** Runs at once; more wait inside. */
  slots: number
  /** Milliseconds of every run. */
  baseMs: number
  /** Milliseconds of every generated token. */
  tokenMs: number
  /** Whether orders with an old fence are refused. */
  checksFences: boolean
  /** Calls that may wait inside. */
  queueLimit?: number
  /** File to which every run is appended, so that counts outlive a kill. */
  runsFile?: string
}

const runSchema = z.object({
  requestId: z.string(),
  account: z.string(),
  stage: z.string(),
  input: z.string(),
  model: z.string().optional(),
  version: z.string().optional(),
  adapter: z.string().optional(),
  priority: z.enum(['high', 'normal', 'low']),
  maxTokens: z.int(),
  stream: z.boolean(),
})
type Run = z.infer<typeof runSchema>

const orderSchema = z.object({
  fence: z.int(),
  model: z.string().optional(),
  version: z.string().optional(),
  adapters: z.array(z.string()),
})
type Order = z.infer<typeof orderSchema>

interface CacheEvent {
  index: number
  time: number
  prefix: string
}

interface LoadReport {
  time: number
  running: number
}

const PREFIX_LENGTH = 80
const CACHED_PREFIXES = 200
const CACHED_PART = 0.7
const CACHE_EVENT_LAG_MS = 200
/** Every so many cache events one is left out. */
const CACHE_EVENT_GAP = 10
const PRIORITY_RANK = { high: 0, normal: 1, low: 2 }
const JITTER = 0.2

/** A backend server's state and its HTTP interface. */
export class BackendService {
  private faults: BackendFaults = faultsSchema.parse({})
  private readonly runs = new Map<string, number>()
  private readonly prefixes = new Set<string>()
  private events: CacheEvent[] = []
  private eventIndex = 0
  private reports: LoadReport[] = []
  private waiting: { rank: number, start: () => void }[] = []
  private running = 0
  private runNumber = 0
  private order: Order | undefined
  private orders: Order[] = []
  private readonly instance = randomUUID()
  draining = false

  constructor(private readonly options: BackendServiceOptions) {}

  /** Starts listening. */
  start(port = 0): Promise<StandInService> {
    return startService(call => this.handle(call), port)
  }

  /** Whether no run is under way. */
  get idle(): boolean {
    return this.running === 0 && this.waiting.length === 0
  }

  private async handle(call: StandInCall): Promise<void> {
    switch (call.path) {
      case '/faults':
        this.faults = faultsSchema.parse(JSON.parse(call.body))
        return sendJson(call.response, 200, this.faults)
      case '/runs':
        return sendJson(call.response, 200, { runs: Object.fromEntries(this.runs) })
      case '/orders':
        return sendJson(call.response, 200, { orders: this.orders, current: this.order ?? null })
      case '/v1/load':
        return sendJson(call.response, 200, { running: this.reportedRunning(), draining: this.draining, instance: this.instance })
      case '/v1/events':
        return this.sendEvents(call)
      case '/v1/orders':
        return this.takeOrder(call)
      case '/v1/run':
        return this.run(call)
      default:
        return this.serveCall(call)
    }
  }

  private sendEvents(call: StandInCall): void {
    const from = Number(call.query.get('from') ?? 0)
    const latest = Date.now() - CACHE_EVENT_LAG_MS
    const events = this.events.filter(event => event.index >= from && event.time <= latest && event.index % CACHE_EVENT_GAP !== 0)
    sendJson(call.response, 200, { events })
  }

  private async takeOrder(call: StandInCall): Promise<void> {
    const order = orderSchema.parse(JSON.parse(call.body))
    if (this.options.checksFences && this.order && order.fence < this.order.fence)
      return sendJson(call.response, 409, { message: 'the fence is old' })
    this.order = order
    this.orders.push(order)
    sendJson(call.response, 200, {})
  }

  private async run(call: StandInCall): Promise<void> {
    const run = runSchema.parse(JSON.parse(call.body))
    if (this.draining)
      return sendJson(call.response, 503, { message: 'draining' })
    if (run.model !== undefined && (run.model !== this.order?.model || (run.version !== undefined && run.version !== this.order?.version)))
      return sendJson(call.response, 409, { message: 'this model is not loaded' })
    if (this.waiting.length >= (this.options.queueLimit ?? 1000))
      return sendJson(call.response, 429, { message: 'full' })
    if (!await this.waitForSlot(PRIORITY_RANK[run.priority], call.response))
      return
    try {
      await this.execute(run, call.response)
    }
    finally {
      this.running--
      this.recordLoad()
      this.waiting.shift()?.start()
    }
  }

  /** Waits for a slot by priority; false where the caller went before. */
  private async waitForSlot(rank: number, response: ServerResponse): Promise<boolean> {
    if (this.running >= this.options.slots) {
      await new Promise<void>((start) => {
        const index = this.waiting.findIndex(other => other.rank > rank)
        this.waiting.splice(index < 0 ? this.waiting.length : index, 0, { rank, start })
      })
    }
    if (response.destroyed) {
      this.waiting.shift()?.start()
      return false
    }
    this.running++
    this.recordLoad()
    return true
  }

  private async execute(run: Run, response: ServerResponse): Promise<void> {
    this.count(run.account, run.requestId, run.stage)
    if (this.faults.die)
      process.exit(1)
    const fails = this.drawFailure()
    const tokens = this.options.kind === BackendKind.Engine ? generateTokens(run.input, run.maxTokens) : []
    await this.work(this.baseMs(run))
    if (this.faults.hang)
      return this.hang(response)
    if (fails)
      return sendJson(response, 500, { message: 'the run failed' })
    if (run.stream)
      return this.streamTokens(run, tokens, response)
    await this.generate(tokens.length, response)
    this.reply(response, { output: stageOutput(run.stage, run.input, tokens), tokens: tokens.length })
  }

  private reply(response: ServerResponse, body: unknown): void {
    if (this.faults.dropReplies > 0) {
      this.faults.dropReplies--
      response.destroy()
      return
    }
    sendJson(response, 200, body)
  }

  private async streamTokens(run: Run, tokens: string[], response: ServerResponse): Promise<void> {
    response.writeHead(200, { 'content-type': 'application/x-ndjson' })
    const cutAt = this.faults.cutStreams > 0 ? Math.floor(tokens.length / 2) : -1
    for (const [index, token] of tokens.entries()) {
      if (response.destroyed)
        return
      if (index === cutAt) {
        this.faults.cutStreams--
        response.end()
        return
      }
      await this.work(this.options.tokenMs)
      response.write(`${JSON.stringify({ token: index === 0 ? token : ` ${token}` })}\n`)
    }
    response.end(`${JSON.stringify({ done: true, output: stageOutput(run.stage, run.input, tokens), tokens: tokens.length })}\n`)
  }

  /** Generates without streaming; stops when the caller goes. */
  private async generate(count: number, response: ServerResponse): Promise<void> {
    for (let index = 0; index < count && !response.destroyed; index++)
      await this.work(this.options.tokenMs)
  }

  /** A call of a plain service: answers with what it was asked. */
  private async serveCall(call: StandInCall): Promise<void> {
    if (this.options.kind !== BackendKind.Plain)
      return sendJson(call.response, 404, { message: 'no such path' })
    const requestId = String(call.request.headers['eidermast-request-id'] ?? '')
    this.count('', requestId, 'call')
    if (this.faults.die)
      process.exit(1)
    const fails = this.drawFailure()
    await this.work(this.options.baseMs)
    if (this.faults.hang)
      return this.hang(call.response)
    if (fails)
      return sendJson(call.response, 500, { message: 'the call failed' })
    this.reply(call.response, { method: call.method, path: call.path + call.request.url!.slice(call.path.length), received: call.body, requestId })
  }

  private hang(response: ServerResponse): Promise<void> {
    return new Promise(resolve => response.once('close', resolve))
  }

  private work(milliseconds: number): Promise<void> {
    const total = milliseconds * this.faults.slowFactor
    return total > 0 ? delay(total) : Promise.resolve()
  }

  /** Base time with a jitter fixed by the request, shorter with a warm prefix. */
  private baseMs(run: Run): number {
    const jitter = 1 + JITTER * (Number.parseInt(run.requestId.slice(-4), 16) / 0xFFFF - 0.5)
    const prefix = run.input.slice(0, PREFIX_LENGTH)
    const warm = this.prefixes.has(prefix)
    this.remember(prefix)
    return this.options.baseMs * jitter * (warm ? CACHED_PART : 1)
  }

  private remember(prefix: string): void {
    if (this.options.kind !== BackendKind.Engine)
      return
    this.prefixes.delete(prefix)
    this.prefixes.add(prefix)
    if (this.prefixes.size > CACHED_PREFIXES)
      this.prefixes.delete(this.prefixes.values().next().value!)
    this.events.push({ index: this.eventIndex++, time: Date.now(), prefix })
    this.events = this.events.slice(-CACHED_PREFIXES)
  }

  private count(account: string, requestId: string, stage: string): void {
    const key = `${account}/${requestId}/${stage}`
    this.runs.set(key, (this.runs.get(key) ?? 0) + 1)
    if (this.options.runsFile !== undefined)
      appendFileSync(this.options.runsFile, `${key} ${Date.now()}\n`)
  }

  /** Fails a fixed share of runs, evenly spread. */
  private drawFailure(): boolean {
    this.runNumber++
    const { failShare } = this.faults
    return Math.floor(this.runNumber * failShare) > Math.floor((this.runNumber - 1) * failShare)
  }

  private recordLoad(): void {
    const now = performance.now()
    this.reports.push({ time: now, running: this.running })
    if (this.reports.length > 1000)
      this.reports = this.reports.slice(-500)
  }

  private reportedRunning(): number {
    const latest = performance.now() - this.faults.loadLagMs
    return this.reports.findLast(report => report.time <= latest)?.running ?? 0
  }
}
