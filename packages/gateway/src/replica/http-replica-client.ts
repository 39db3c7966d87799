/**
 * Calls to replicas over HTTP/1.1. An answer is taken only if it echoes the
 * request's id; any other one closes its connection.
 */
import type { Result } from 'ts-results-es'
import type { Dispatcher } from 'undici'
import type { CallFailure, ReplicaAnswer, ReplicaCall, ReplicaClient, ReplicaCodec } from './replica-client.js'
import type { ReplicaConnections } from './replica-connections.js'
import type { Replica } from './replica.js'
import { Err, Ok } from 'ts-results-es'
import { CallFailureKind } from './replica-client.js'
import { isNotSent } from './replica-connections.js'

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
    return Ok({ status: response.statusCode, headers: facts.headers, body: response.body as AsyncIterable<Buffer>, destroy })
  }
}

function describeFailure(error: unknown, signal: AbortSignal): CallFailure {
  const message = error instanceof Error ? `${error.name}: ${error.message}` : String(error)
  if (signal.aborted)
    return { kind: CallFailureKind.Aborted, message }
  return { kind: isNotSent(error) ? CallFailureKind.NotSent : CallFailureKind.Broken, message }
}
