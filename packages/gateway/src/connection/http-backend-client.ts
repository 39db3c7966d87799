/**
 * Calls to backend servers over HTTP/1.1. An answer is taken only if it echoes the
 * request's id; any other one closes its connection.
 */
import type { Result } from 'ts-results-es'
import type { Dispatcher } from 'undici'
import type { BackendAnswer, BackendCall, BackendClient, BackendCodec, CallFailure } from './backend-client.js'
import type { BackendConnections } from './backend-connections.js'
import type { Backend } from './backend.js'
import { formatError } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import { CallFailureKind } from './backend-client.js'
import { isNotSent } from './backend-connections.js'

type Method = Dispatcher.HttpMethod

/** Runs requests over pooled connections. */
export class HttpBackendClient implements BackendClient {
  constructor(private readonly connections: BackendConnections, private readonly codec: BackendCodec) {}

  async run(backend: Backend, call: BackendCall, signal: AbortSignal): Promise<Result<BackendAnswer, CallFailure>> {
    try {
      const response = await this.connections.of(backend).request({
        method: call.method as Method,
        path: call.path,
        headers: this.codec.encode(backend, call).flat(),
        body: call.body ?? null,
        signal,
      })
      return this.readHead(backend, call, response)
    }
    catch (error) {
      return Err(describeFailure(error, signal))
    }
  }

  async probe(backend: Backend, timeoutMs: number): Promise<boolean> {
    try {
      const response = await this.connections.of(backend).request({ method: 'GET', path: this.codec.probePath, signal: AbortSignal.timeout(timeoutMs) })
      await response.body.dump()
      return true
    }
    catch {
      return false
    }
  }

  private readHead(backend: Backend, call: BackendCall, response: Dispatcher.ResponseData): Result<BackendAnswer, CallFailure> {
    const destroy = (): void => {
      response.body.on('error', () => {})
      response.body.destroy()
    }
    const facts = this.codec.decode(response.statusCode, response.headers)
    if (facts.requestId !== call.requestId) {
      destroy()
      return Err({ kind: CallFailureKind.Broken, message: `the answer echoes ${facts.requestId ?? 'no id'}` })
    }
    if (facts.load) {
      backend.load = facts.load
      backend.loadAt = performance.now()
    }
    if (facts.failure) {
      void response.body.dump().catch(() => {})
      return Err({ kind: facts.failure, message: `status ${response.statusCode}` })
    }
    return Ok({ status: response.statusCode, headers: facts.headers, framed: isFramed(response), body: response.body as AsyncIterable<Buffer>, destroy })
  }
}

const NO_CONTENT = 204
const NOT_MODIFIED = 304

/** RFC 9112, section 6.3: neither a length nor chunks, and a status that has a body. */
function isFramed({ statusCode, headers }: Dispatcher.ResponseData): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined || statusCode === NO_CONTENT || statusCode === NOT_MODIFIED
}

function describeFailure(error: unknown, signal: AbortSignal): CallFailure {
  const message = formatError(error)
  if (signal.aborted)
    return { kind: CallFailureKind.Aborted, message }
  return { kind: isNotSent(error) ? CallFailureKind.NotSent : CallFailureKind.Broken, message }
}
