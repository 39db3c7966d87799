/**
 * The connection to a backend server: model engine, pool or plain service, by
 * its published HTTP protocol. Tells whether a failed call may have run.
 */
import type { Dispatcher } from 'undici'
import type { StageCall } from './messages.js'
import { createInterface } from 'node:readline'
import { Agent, request } from 'undici'
import { z } from 'zod'
import { callJson, isNotConnected } from './json-http.js'

/** How a call to a backend server ended. */
export enum BackendOutcome {
  Done = 'done',
  /** The backend server has provably not started. */
  Refused = 'refused',
  /** The backend server says that the run failed. */
  Failed = 'failed',
  /** The connection was lost; the run may have happened. */
  Lost = 'lost',
  /** The stream ended before its end mark. */
  Truncated = 'truncated',
  /** Stopped by this side. */
  Stopped = 'stopped',
}

/** The end of a call to a backend server. */
export interface BackendResult {
  outcome: BackendOutcome
  output: string
  tokens: number
  message: string
  status?: number
  contentType?: string
}

const backendLoadSchema = z.object({
  running: z.int().min(0),
  draining: z.boolean().default(false),
  /** The backend server's process life; another one holds no model. */
  instance: z.string().default(''),
})

/** Load as a backend server reports it. */
export type BackendLoad = z.infer<typeof backendLoadSchema>

const runAnswerSchema = z.object({ output: z.string(), tokens: z.int().min(0).default(0) })
const streamLineSchema = z.union([
  z.object({ token: z.string() }),
  z.object({ done: z.literal(true), output: z.string(), tokens: z.int().min(0) }),
])

/** An order to a backend server, with its fence. */
export interface BackendOrderMessage {
  /** Fencing token: the offset of the configuration that the order was made from. */
  fence: number
  model?: string
  version?: string
  adapters: string[]
}

/** A client of a backend server. */
export interface BackendClient {
  /** Runs a stage call; streams tokens where a listener is given. */
  run: (call: StageCall, signal: AbortSignal, onToken?: (text: string) => void) => Promise<BackendResult>
  /** Reads the load; undefined where the backend server does not answer. */
  readLoad: () => Promise<BackendLoad | undefined>
  /** Sends an order; returns whether it took effect. */
  order: (order: BackendOrderMessage) => Promise<boolean>
  close: () => Promise<void>
}

const CONNECT_TIMEOUT_MS = 1000
const LOAD_TIMEOUT_MS = 1000
const ORDER_TIMEOUT_MS = 10_000
const SERVER_ERROR = 500
const NOT_STARTED_STATUSES = new Set([409, 429, 503])

/** A backend server over HTTP. */
export class HttpBackendClient implements BackendClient {
  private readonly agent: Agent

  constructor(private readonly url: string, connections: number) {
    this.agent = new Agent({ connections: connections + 2, pipelining: 1, connect: { timeout: CONNECT_TIMEOUT_MS }, headersTimeout: 0, bodyTimeout: 0 })
  }

  async run(call: StageCall, signal: AbortSignal, onToken?: (text: string) => void): Promise<BackendResult> {
    try {
      if (call.serviceRequest)
        return await this.runService(call, signal)
      return await this.runStage(call, signal, onToken)
    }
    catch (error) {
      return describeThrown(error, signal)
    }
  }

  async readLoad(): Promise<BackendLoad | undefined> {
    const answer = await callJson({ method: 'GET', url: `${this.url}/v1/load`, timeoutMs: LOAD_TIMEOUT_MS, dispatcher: this.agent })
    return answer.isOk() ? backendLoadSchema.safeParse(answer.value).data : undefined
  }

  async order(order: BackendOrderMessage): Promise<boolean> {
    const answer = await callJson({ method: 'POST', url: `${this.url}/v1/orders`, body: order, timeoutMs: ORDER_TIMEOUT_MS, dispatcher: this.agent })
    return answer.isOk()
  }

  async close(): Promise<void> {
    await this.agent.destroy()
  }

  private async runStage(call: StageCall, signal: AbortSignal, onToken?: (text: string) => void): Promise<BackendResult> {
    const { identity, input, model, version, adapter, priority, maxTokens } = call
    const response = await request(`${this.url}/v1/run`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({
        requestId: identity.requestId,
        account: identity.account,
        stage: identity.stage,
        input,
        model,
        version,
        adapter,
        priority,
        maxTokens,
        stream: onToken !== undefined,
      }),
      signal,
      dispatcher: this.agent,
    })
    if (response.statusCode !== 200)
      return await describeStatus(response)
    if (onToken)
      return await readStream(response, onToken)
    const answer = runAnswerSchema.safeParse(await response.body.json())
    if (!answer.success)
      return failure(BackendOutcome.Failed, 'the backend server answered in an unknown form')
    return { outcome: BackendOutcome.Done, message: '', ...answer.data }
  }

  private async runService(call: StageCall, signal: AbortSignal): Promise<BackendResult> {
    const { method, path } = call.serviceRequest!
    const response = await request(`${this.url}${path}`, {
      method: method as Dispatcher.HttpMethod,
      headers: { 'content-type': 'application/json', 'eidermast-request-id': call.identity.requestId },
      body: call.input === '' ? null : call.input,
      signal,
      dispatcher: this.agent,
    })
    if (response.statusCode >= SERVER_ERROR) {
      await response.body.dump()
      return failure(BackendOutcome.Failed, `the service answered with status ${response.statusCode}`)
    }
    const contentType = response.headers['content-type']
    const output = await response.body.text()
    return {
      outcome: BackendOutcome.Done,
      output,
      tokens: 0,
      message: '',
      status: response.statusCode,
      contentType: typeof contentType === 'string' ? contentType : undefined,
    }
  }
}

async function describeStatus(response: Dispatcher.ResponseData): Promise<BackendResult> {
  await response.body.dump()
  const outcome = NOT_STARTED_STATUSES.has(response.statusCode) ? BackendOutcome.Refused : BackendOutcome.Failed
  return failure(outcome, `the backend server answered with status ${response.statusCode}`)
}

/** Reads tokens line by line; whole only with the end mark and every token it counts. */
async function readStream(response: Dispatcher.ResponseData, onToken: (text: string) => void): Promise<BackendResult> {
  let received = 0
  for await (const line of createInterface({ input: response.body })) {
    const message = streamLineSchema.parse(JSON.parse(line))
    if ('token' in message) {
      received++
      onToken(message.token)
      continue
    }
    if (message.tokens !== received)
      return failure(BackendOutcome.Truncated, `the stream held ${received} of ${message.tokens} tokens`)
    return { outcome: BackendOutcome.Done, output: message.output, tokens: message.tokens, message: '' }
  }
  return failure(BackendOutcome.Truncated, 'the stream ended before its end mark')
}

function describeThrown(error: unknown, signal: AbortSignal): BackendResult {
  const message = error instanceof Error ? error.message : String(error)
  if (signal.aborted)
    return failure(BackendOutcome.Stopped, message)
  return failure(isNotConnected(error) ? BackendOutcome.Refused : BackendOutcome.Lost, message)
}

function failure(outcome: BackendOutcome, message: string): BackendResult {
  return { outcome, output: '', tokens: 0, message }
}
