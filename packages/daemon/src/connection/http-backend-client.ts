/**
 * Client for a backend server's published HTTP protocol. Owns the connections to
 * it until `close`. Does not retry calls. Responses carry no id, so each run and
 * each order has a connection of its own: on a shared one, a late copy of an
 * earlier response could be taken for the response to it.
 */
import type { Result } from 'ts-results-es'
import type { Dispatcher } from 'undici'
import type { CallError } from '../version/call-error.js'
import type { BackendClient, BackendLoad, BackendOrderMessage, BackendResult } from './backend-client.js'
import type { ServiceRequest, StageCall } from './messages.js'
import { assertValidHead } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import { Agent, request } from 'undici'
import { CallFailure } from '../version/call-error.js'
import { backendLoadSchema } from './backend-client.js'
import { classifyThrownError, readErrorResponse, readRunResponse, readServiceResponse, readTokenStream } from './backend-response.js'
import { callJson } from './json-http.js'

/** Ample for a backend server on the same VM; bounds the time to detect a frozen VM. */
const CONNECT_TIMEOUT_MS = 1000
/** Leaves time for a busy engine to respond; bounds the time to detect a frozen one. */
const LOAD_TIMEOUT_MS = 1000
/** Time to acknowledge an order. Keeps orders from being resent to a slow engine, at the cost of a later next attempt. */
const ORDER_TIMEOUT_MS = 10_000
/** Connections for orders, in addition to one per slot for runs. */
const ORDER_CONNECTIONS = 1
/** Load requests follow one another. */
const LOAD_CONNECTIONS = 1
/** The port that URLs leave out (RFC 9110, section 4.2.1). */
const DEFAULT_HTTP_PORT = 80
/** undici's value of `pipelining` for connections that are used once. */
const NO_KEEP_ALIVE = 0

/** What a run sends. */
type RunOptions = Pick<Dispatcher.RequestOptions, 'method' | 'headers' | 'body' | 'signal'>

/** HTTP client of a backend server. */
export class HttpBackendClient implements BackendClient {
  /** For runs and orders. */
  private readonly callAgent: Agent
  /** For load requests, whose responses may be late copies without harm. */
  private readonly loadAgent: Agent

  /**
   * @param url Base URL of the backend server.
   * @param slots Maximum number of concurrent calls.
   */
  constructor(private readonly url: string, slots: number) {
    // Each call is limited by its abort signal.
    const options: Agent.Options = { connect: { timeout: CONNECT_TIMEOUT_MS }, headersTimeout: 0, bodyTimeout: 0 }
    this.callAgent = new Agent({ ...options, connections: slots + ORDER_CONNECTIONS, pipelining: NO_KEEP_ALIVE })
    this.loadAgent = new Agent({ ...options, connections: LOAD_CONNECTIONS, pipelining: 1 })
  }

  async run(call: StageCall, signal: AbortSignal, onToken?: (text: string) => void): Promise<BackendResult> {
    try {
      if (call.serviceRequest)
        return await this.runService(call, call.serviceRequest, signal)
      return await this.runStage(call, signal, onToken)
    }
    catch (error) {
      return classifyThrownError(error, signal)
    }
  }

  async readLoad(): Promise<Result<BackendLoad, CallError>> {
    const url = `${this.url}/v1/load`
    const response = await callJson({ method: 'GET', url, timeoutMs: LOAD_TIMEOUT_MS, dispatcher: this.loadAgent })
    if (response.isErr())
      return response
    const load = backendLoadSchema.safeParse(response.value)
    return load.success ? Ok(load.data) : Err({ failure: CallFailure.InDoubt, message: `load report in an unknown format from ${url}` })
  }

  async order(order: BackendOrderMessage): Promise<Result<void, CallError>> {
    const url = `${this.url}/v1/orders`
    const response = await callJson({ method: 'POST', url, body: order, timeoutMs: ORDER_TIMEOUT_MS, dispatcher: this.callAgent })
    return response.map(() => undefined)
  }

  async close(): Promise<void> {
    await Promise.all([this.callAgent.destroy(), this.loadAgent.destroy()])
  }

  private async runStage(call: StageCall, signal: AbortSignal, onToken?: (text: string) => void): Promise<BackendResult> {
    const response = await this.send('/v1/run', {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: formatRunRequest(call, onToken !== undefined),
      signal,
    })
    if (response.statusCode !== 200)
      return await readErrorResponse(response)
    return onToken ? await readTokenStream(response, onToken) : await readRunResponse(response)
  }

  private async runService(call: StageCall, { method, path }: ServiceRequest, signal: AbortSignal): Promise<BackendResult> {
    const response = await this.send(path, {
      method: method as Dispatcher.HttpMethod,
      headers: { 'content-type': 'application/json', 'eidermast-request-id': call.identity.requestId },
      body: call.input === '' ? null : call.input,
      signal,
    })
    return await readServiceResponse(response, { method, address: socketAddressOf(this.url), signal })
  }

  /** Sends a run; rejects if the head of its response is not valid, whose connection is then closed. */
  private async send(path: string, options: RunOptions): Promise<Dispatcher.ResponseData> {
    const response = await request(`${this.url}${path}`, {
      ...options,
      dispatcher: this.callAgent,
      onInfo: ({ statusCode: status, headers }) => assertValidHead({ status, headers }),
    })
    try {
      assertValidHead({ status: response.statusCode, headers: response.headers })
      return response
    }
    catch (error) {
      // destroy() emits an error on the body stream; without a listener, it would terminate the process.
      response.body.on('error', () => {}).destroy()
      throw error
    }
  }
}

/** `host:port` of a URL. */
function socketAddressOf(url: string): string {
  const { hostname, port } = new URL(url)
  return `${hostname}:${port || DEFAULT_HTTP_PORT}`
}

function formatRunRequest(call: StageCall, stream: boolean): string {
  const { identity, input, model, version, adapter, priority, maxTokens } = call
  return JSON.stringify({
    requestId: identity.requestId,
    account: identity.account,
    stage: identity.stage,
    input,
    model,
    version,
    adapter,
    priority,
    maxTokens,
    stream,
  })
}
