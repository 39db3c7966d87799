/**
 * Calls to backend servers over HTTP/1.1. An answer is taken only if it echoes
 * the request's id; any other one closes its connection. It owns no state but
 * the load that answers report, which it notes at the backend server.
 */
import type { Result } from 'ts-results-es'
import type { Dispatcher } from 'undici'
import type { BackendAnswer, BackendCall, BackendClient, BackendCodec, CallFailure } from './backend-client.js'
import type { BackendConnections } from './backend-connections.js'
import type { Backend } from './backend.js'
import { formatError } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import { isNotSent } from '../error-codes.js'
import { CallFailureKind } from './backend-client.js'
import { CallNotSentError } from './work-call.js'

/** Statuses whose answers end with their head (RFC 9112, section 6.3). */
const BODYLESS_STATUSES = new Set([204, 304])

/** Runs requests over pooled connections. */
export class HttpBackendClient implements BackendClient {
  constructor(private readonly connections: BackendConnections, private readonly codec: BackendCodec) {}

  async run(backend: Backend, call: BackendCall, signal: AbortSignal): Promise<Result<BackendAnswer, CallFailure>> {
    try {
      const response = await this.connections.sendWork(backend, {
        method: call.method as Dispatcher.HttpMethod,
        path: call.path,
        headers: this.codec.encode(backend, call).flat(),
        body: call.body ?? null,
        signal,
      })
      return this.readHead(backend, call, response)
    }
    catch (error) {
      return Err(describeFailure(error, backend, signal))
    }
  }

  async probe(backend: Backend, timeoutMs: number): Promise<boolean> {
    try {
      const signal = AbortSignal.timeout(timeoutMs)
      const response = await this.connections.sendProbe(backend, { method: 'GET', path: this.codec.probePath, signal })
      await response.body.dump()
      return true
    }
    catch {
      // The reason doesn't matter: the caller counts probes without an answer, and logs the call that it abandons.
      return false
    }
  }

  private readHead(backend: Backend, call: BackendCall, response: Dispatcher.ResponseData): Result<BackendAnswer, CallFailure> {
    const facts = this.codec.decode(response.statusCode, response.headers)
    if (facts.requestId !== call.requestId) {
      destroyBody(response)
      return Err({ kind: CallFailureKind.Broken, message: `the answer echoes ${facts.requestId ?? 'no id'}` })
    }
    if (facts.load) {
      backend.load = facts.load
      backend.loadAt = performance.now()
    }
    if (facts.coldMs !== undefined)
      backend.noteCold(facts.coldMs, performance.now())
    if (facts.failure) {
      // The head says all; a body that breaks off closes its connection, which the pool replaces.
      void response.body.dump().catch(() => {})
      return Err({ kind: facts.failure, message: `status ${response.statusCode}` })
    }
    return Ok({
      status: response.statusCode,
      headers: facts.headers,
      framed: isFramed(response),
      body: response.body as AsyncIterable<Buffer>,
      destroy: () => destroyBody(response),
    })
  }
}

/** Closes the connection of an answer that is of no use. */
function destroyBody({ body }: Dispatcher.ResponseData): void {
  // Destroying fails the body's own stream; without a listener that would end the process.
  body.on('error', () => {})
  body.destroy()
}

/**
 * Whether the head says where the body ends: by a length, chunks, or a status
 * that has none (RFC 9112, section 6.3).
 */
function isFramed({ statusCode, headers }: Dispatcher.ResponseData): boolean {
  const hasFraming = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
  return hasFraming || BODYLESS_STATUSES.has(statusCode)
}

function describeFailure(error: unknown, backend: Backend, signal: AbortSignal): CallFailure {
  const message = formatError(error)
  if (error instanceof CallNotSentError && error.isWithheld)
    return { kind: CallFailureKind.Withheld, message }
  if (error instanceof CallNotSentError)
    return { kind: backend.takesWork ? CallFailureKind.AbandonedUnsent : CallFailureKind.Leaving, message }
  if (signal.aborted)
    return { kind: CallFailureKind.Aborted, message }
  return { kind: isNotSent(error) ? CallFailureKind.NotSent : CallFailureKind.Broken, message }
}
