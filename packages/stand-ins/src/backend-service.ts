/**
 * Stand-in for a backend server: a model engine, a pool member (encoder,
 * retriever, reranker) or a plain service. Its output depends only on its input
 * (see outputs.ts). Orders and running work are held in memory and lost with the
 * process; started runs are appended to a file, which survives it.
 */
import type { ServerResponse } from 'node:http'
import type { Order, Run } from './backend-calls.js'
import type { BackendFaults } from './faults.js'
import type { StandInCall, StandInService } from './http-service.js'
import { randomUUID } from 'node:crypto'
import { wait } from '@eidermast/common'
import { orderSchema, runSchema } from './backend-calls.js'
import { backendFaultsSchema } from './faults.js'
import { sendJson, startService } from './http-service.js'
import { generateTokens, stageOutput } from './outputs.js'
import { appendRun } from './run-counts.js'
import { Slots } from './slots.js'

/** Kinds of backend servers. */
export enum BackendKind {
  Engine = 'engine',
  Pool = 'pool',
  Plain = 'plain',
}

/** Options for a backend server. */
export interface BackendServiceOptions {
  kind: BackendKind
  /** Maximum number of concurrent runs; further runs are queued. */
  slots: number
  /** Duration of a run in milliseconds, without its tokens. */
  baseMs: number
  /** Duration of each generated token in milliseconds. */
  tokenMs: number
  /** Whether orders with an outdated fence are rejected. */
  checksFences: boolean
  /** File to which every run is appended, so that counts survive a kill. */
  runsFile?: string
}

/** Stage name under which calls to a plain service are counted. */
const PLAIN_CALL_STAGE = 'call'

/** State and HTTP interface of a backend server. */
export class BackendService {
  private faults: BackendFaults = backendFaultsSchema.parse({})
  private readonly slots: Slots
  private readonly orders: Order[] = []
  /** Differs for every start, so that a side can detect a restart. */
  private readonly instance = randomUUID()
  private startedRuns = 0
  private draining = false

  constructor(private readonly options: BackendServiceOptions) {
    this.slots = new Slots(options.slots)
  }

  /** Starts listening; port 0 lets the operating system choose a port. */
  start(port: number): Promise<StandInService> {
    return startService(call => this.handle(call), port)
  }

  /** Rejects new runs from now on and reports `draining` in the load; running work continues. */
  beginDrain(): void {
    this.draining = true
  }

  /** Whether no run is active or queued. */
  get idle(): boolean {
    return this.slots.idle
  }

  private get currentOrder(): Order | undefined {
    return this.orders.at(-1)
  }

  private async handle(call: StandInCall): Promise<void> {
    switch (call.path) {
      case '/faults':
        this.faults = backendFaultsSchema.parse(JSON.parse(call.body))
        return sendJson(call.response, 200, this.faults)
      case '/orders':
        return sendJson(call.response, 200, { orders: this.orders, current: this.currentOrder ?? null })
      case '/v1/load':
        return sendJson(call.response, 200, { running: this.slots.running, draining: this.draining, instance: this.instance })
      case '/v1/orders':
        return this.applyOrder(call)
      case '/v1/run':
        return this.run(call)
      default:
        return this.handlePlainCall(call)
    }
  }

  private applyOrder(call: StandInCall): void {
    const order = orderSchema.parse(JSON.parse(call.body))
    if (this.options.checksFences && this.currentOrder && order.fence < this.currentOrder.fence)
      return sendJson(call.response, 409, { message: 'the fence is outdated' })
    this.orders.push(order)
    sendJson(call.response, 200, {})
  }

  private async run(call: StandInCall): Promise<void> {
    const run = runSchema.parse(JSON.parse(call.body))
    if (this.draining)
      return sendJson(call.response, 503, { message: 'draining' })
    if (!this.isModelLoaded(run))
      return sendJson(call.response, 409, { message: 'this model is not loaded' })
    if (!await this.slots.acquire(run.priority, call.response))
      return
    try {
      await this.execute(run, call.response)
    }
    finally {
      this.slots.release()
    }
  }

  private isModelLoaded({ model, version }: Run): boolean {
    if (model === undefined)
      return true
    const sameVersion = version === undefined || version === this.currentOrder?.version
    return model === this.currentOrder?.model && sameVersion
  }

  private async execute(run: Run, response: ServerResponse): Promise<void> {
    const fails = this.recordRunStart(run.account, run.requestId, run.stage)
    const tokens = this.options.kind === BackendKind.Engine ? generateTokens(run.input, run.maxTokens) : []
    await this.simulateWork(this.options.baseMs)
    if (fails)
      return sendJson(response, 500, { message: 'the run failed' })
    if (run.stream)
      return this.streamTokens(run, tokens, response)
    await this.generate(tokens.length, response)
    this.reply(response, { output: stageOutput(run.stage, run.input, tokens), tokens: tokens.length })
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
      await this.simulateWork(this.options.tokenMs)
      writeLine(response, { token: index === 0 ? token : ` ${token}` })
    }
    writeLine(response, { done: true, output: stageOutput(run.stage, run.input, tokens), tokens: tokens.length })
    response.end()
  }

  /** Generates without streaming; stops when the caller disconnects. */
  private async generate(count: number, response: ServerResponse): Promise<void> {
    for (let index = 0; index < count && !response.destroyed; index++)
      await this.simulateWork(this.options.tokenMs)
  }

  /** Handles a call to a plain service: echoes the request. */
  private async handlePlainCall({ method, path, body, request, response }: StandInCall): Promise<void> {
    if (this.options.kind !== BackendKind.Plain)
      return sendJson(response, 404, { message: 'no such path' })
    const requestId = String(request.headers['eidermast-request-id'] ?? '')
    const fails = this.recordRunStart('', requestId, PLAIN_CALL_STAGE)
    await this.simulateWork(this.options.baseMs)
    if (fails)
      return sendJson(response, 500, { message: 'the call failed' })
    this.reply(response, { method, path: path + request.url!.slice(path.length), received: body, requestId })
  }

  /** Records the start of a run, exits if the fault `die` is set, and returns whether the run is to fail. */
  private recordRunStart(account: string, requestId: string, stage: string): boolean {
    if (this.options.runsFile !== undefined)
      appendRun(this.options.runsFile, `${account}/${requestId}/${stage}`)
    if (this.faults.die)
      process.exit(1)
    return this.shouldNextRunFail()
  }

  /** Fails a fixed share of the runs, evenly spaced. */
  private shouldNextRunFail(): boolean {
    const failedBefore = Math.floor(this.startedRuns * this.faults.failShare)
    this.startedRuns++
    return Math.floor(this.startedRuns * this.faults.failShare) > failedBefore
  }

  private reply(response: ServerResponse, body: unknown): void {
    if (this.faults.dropReplies > 0) {
      this.faults.dropReplies--
      response.destroy()
      return
    }
    sendJson(response, 200, body)
  }

  private async simulateWork(milliseconds: number): Promise<void> {
    const total = milliseconds * this.faults.slowFactor
    if (total > 0)
      await wait(total)
  }
}

function writeLine(response: ServerResponse, value: unknown): void {
  response.write(`${JSON.stringify(value)}\n`)
}
