/**
 * Calls to replicas over HTTP/1.1. An answer is taken only if it echoes the
 * request's id; any other one closes its connection.
 */
import type { Result } from 'ts-results-es'
import type { Dispatcher } from 'undici'
import type { CallFailure, ReplicaAnswer, ReplicaCall, ReplicaClient, ReplicaCodec } from './backend-client.js'
import type { ReplicaConnections } from './backend-connections.js'
import type { Replica } from './backend.js'
import { formatError } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import { CallFailureKind } from './backend-client.js'
import { isNotSent } from './backend-connections.js'

type Method = Dispatcher.HttpMethod

/** Runs requests over pooled connections. */
export class HttpReplicaClient implements ReplicaClient {
  constructor(private readonly connections: ReplicaConnections, private readonly codec: ReplicaCodec) {}

  async run(replica: Replica, call: ReplicaCall, signal: AbortSignal): Promise<Result<ReplicaAnswer, CallFailure>> {
    try {
      const response = await this.connections.of(replica).request({
        method: call.method as Method,
        path: call.path,
        headers: this.codec.encode(replica, call).flat(),
        body: call.body ?? null,
        signal,
      })
      return this.readHead(replica, call, response)
    }
    catch (error) {
      return Err(describeFailure(error, signal))
    }
  }

  async probe(replica: Replica, timeoutMs: number): Promise<boolean> {
    try {
      const response = await this.connections.of(replica).request({ method: 'GET', path: this.codec.probePath, signal: AbortSignal.timeout(timeoutMs) })
      await response.body.dump()
      return true
    }
    catch {
      return false
    }
  }

  private readHead(replica: Replica, call: ReplicaCall, response: Dispatcher.ResponseData): Result<ReplicaAnswer, CallFailure> {
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
      replica.load = facts.load
      replica.loadAt = performance.now()
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
