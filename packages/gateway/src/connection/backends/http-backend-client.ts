/**
 * Calls to backend servers over HTTP/1.1. Owns no state: the load in a response is
 * stored with the backend server.
 */
import type { Result } from 'ts-results-es'
import type { Dispatcher } from 'undici'
import type { BackendCall, BackendClient, BackendCodec, BackendResponse, CallFailure } from './backend-client.js'
import type { BackendConnections } from './backend-connections.js'
import type { Backend } from './backend.js'
import { discardBody, formatError, hasBody, isFramed, readUnframedBody } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import { isNotSent } from '../error-codes.js'
import { CallFailureKind } from './backend-client.js'
import { CallNotSentError } from './work-call.js'

/** Sends requests over pooled connections. */
export class HttpBackendClient implements BackendClient {
  constructor(private readonly connections: BackendConnections, private readonly codec: BackendCodec) {}

  async run(backend: Backend, call: BackendCall, signal: AbortSignal): Promise<Result<BackendResponse, CallFailure>> {
    try {
      const response = await this.connections.sendWork(backend, {
        method: call.method as Dispatcher.HttpMethod,
        path: call.path,
        headers: this.codec.encode(backend, call).flat(),
        body: call.body ?? null,
        signal,
      }, call)
      return this.readHead(backend, call, response, signal)
    }
    catch (error) {
      return Err(describeFailure(error, backend, signal))
    }
  }

  async probe(backend: Backend, timeoutMs: number): Promise<boolean> {
    try {
      const signal = AbortSignal.timeout(timeoutMs)
      const response = await this.connections.sendProbe(backend, { method: 'GET', path: this.codec.probePath, signal })
      await discardBody(response.body, timeoutMs)
      return true
    }
    catch {
      // The cause is irrelevant: the caller counts failed probes and logs the call that it abandons.
      return false
    }
  }

  private readHead(backend: Backend, call: BackendCall, response: Dispatcher.ResponseData, signal: AbortSignal): Result<BackendResponse, CallFailure> {
    const metadata = this.codec.decode(response.statusCode, response.headers)
    if (metadata.load)
      backend.recordLoad(metadata.load, metadata.failure === undefined, performance.now())
    if (metadata.coldMs !== undefined)
      backend.markCold(metadata.coldMs, performance.now())
    if (metadata.failure) {
      void discardBody(response.body)
      return Err({ kind: metadata.failure, message: `status ${response.statusCode}` })
    }
    const framed = isFramed({ method: call.method, status: response.statusCode, headers: response.headers })
    const body = response.body as AsyncIterable<Buffer>
    return Ok({
      status: response.statusCode,
      headers: metadata.headers,
      framed,
      bodyBytes: readLength(call, response),
      body: framed ? body : readUnframedBody(body, backend.address, signal),
      destroy: () => destroyBody(response),
    })
  }
}

/** Closes the connection of a response that has not arrived whole. */
function destroyBody({ body }: Dispatcher.ResponseData): void {
  // destroy() emits an error on the body stream; without a listener, it would terminate the process.
  body.on('error', () => {})
  body.destroy()
}

/** The announced length of a body that follows; undefined if there is none. */
function readLength(call: BackendCall, { statusCode, headers }: Dispatcher.ResponseData): number | undefined {
  const length = headers['content-length']
  return hasBody({ method: call.method, status: statusCode }) && typeof length === 'string' && /^\d+$/.test(length) ? Number(length) : undefined
}

function describeFailure(error: unknown, backend: Backend, signal: AbortSignal): CallFailure {
  const message = formatError(error)
  if (error instanceof CallNotSentError && error.isWithheld)
    return { kind: CallFailureKind.Withheld, message }
  if (error instanceof CallNotSentError)
    return { kind: backend.acceptsWork ? CallFailureKind.AbandonedUnsent : CallFailureKind.Leaving, message }
  if (signal.aborted)
    return { kind: CallFailureKind.Aborted, message }
  return { kind: isNotSent(error) ? CallFailureKind.NotSent : CallFailureKind.Broken, message }
}
