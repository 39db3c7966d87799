/**
 * Connection pools for backend servers, one pool per backend server, sized by
 * this gateway's share of the connections that the backend server accepts. A
 * pool is opened by the first call and closed CLOSE_DELAY_MS after its backend
 * server was removed from the registry, so that streams in flight can still be
 * probed. All pools end with the process, which cuts off calls in flight.
 *
 * A connection may bring a late copy of an earlier response in the place of the
 * next one. Every call therefore accepts only a response that echoes its own
 * request id, or none if it has none. A request that is sent to the same backend
 * server again avoids the connections that carried its id before.
 */
import type { Dispatcher } from 'undici'
import type { ResponseHeaders } from './backend-notice.js'
import type { Backend } from './backend.js'
import type { IntakeGate } from './intake-gate.js'
import type { UsedConnections } from './used-connections.js'
import type { CallObserver, WorkOptions } from './work-call.js'
import { Pool } from 'undici'
import { ConnectionClient } from './connection-client.js'
import { sendGuarded } from './guarded-call.js'
import { CallNotSentError, WorkCall } from './work-call.js'

/**
 * How long an idle connection is kept if the backend server announces no
 * keep-alive timeout. Some backend servers close it before 8 s.
 */
const IDLE_TIMEOUT_MS = 4000
/**
 * How long before the backend server's keep-alive timeout an idle connection is
 * closed, so that no request is sent on a connection that the backend server is
 * already closing.
 */
const IDLE_MARGIN_MS = 700
/**
 * Minimum number of connections to one backend server, used while this gateway's
 * share is smaller or unknown, so that a probe does not wait behind the
 * unresponsive call that it checks.
 */
const MIN_CONNECTIONS = 2
/**
 * Time from the removal of a backend server until its pool is closed. Well above
 * the maximum request deadline, so that no response is in flight at that point;
 * idle connections have timed out long before.
 */
const CLOSE_DELAY_MS = 60_000
/** Maximum number of connections that this process may hold to one backend server of a service. */
export type ConnectionShare = (service: string) => number

/** Reads the request id that a response echoes; undefined if there is none. */
export type ReadRequestId = (headers: ResponseHeaders) => string | undefined

/** What a call of work has besides undici's options. */
export interface WorkDetails {
  /** The request id that its response echoes. @default none */
  requestId?: string
  /** The connections that carried the request id before. @default avoids none */
  usedConnections?: UsedConnections
  /** Called just before the first byte is sent. */
  onSent?: () => void
}

/** A response to another call than the one that it was received for. */
class ForeignResponseError extends Error {
  constructor(echoed: string | undefined, expected: string | undefined) {
    super(`the response echoes ${echoed ?? 'no id'} instead of ${expected ?? 'none'}`)
    this.name = 'ForeignResponseError'
  }
}

/**
 * Pools by incarnation of a backend server, since a later process with the same
 * id may have another address.
 */
export class BackendConnections {
  private readonly pools = new Map<string, Pool>()
  /** Calls that wait for a connection, by incarnation of their backend server. */
  private readonly waiting = new Map<string, Set<WorkCall>>()
  /** Timers that close the pools of removed backend servers. */
  private readonly closeTimers = new Map<string, NodeJS.Timeout>()

  constructor(
    private readonly share: ConnectionShare,
    private readonly observer: CallObserver,
    private readonly intake: IntakeGate,
    private readonly readRequestId: ReadRequestId,
  ) {}

  /**
   * Sends a request or a stage call to a backend server. Rejects like undici's
   * `request`, with a `CallNotSentError` if the backend server accepts no new
   * work, or no request at the moment, or with a `ForeignResponseError`.
   */
  async sendWork(backend: Backend, options: WorkOptions, { requestId, usedConnections, onSent }: WorkDetails = {}): Promise<Dispatcher.ResponseData> {
    if (!backend.acceptsWork || options.signal.aborted)
      throw new CallNotSentError(`${backend.id} accepts no new work, or the call was aborted`)
    const calls = this.waiting.get(backend.incarnation) ?? new Set()
    this.waiting.set(backend.incarnation, calls)
    const call = new WorkCall(backend, this.observer, this.intake, {
      waitEnded: ended => void calls.delete(ended),
      sent: onSent,
      checkHead: headers => this.checkEcho(headers, requestId),
    }, usedConnections)
    calls.add(call)
    return this.observeResponse(backend, true, () => call.send(this.poolOf(backend), options))
  }

  /** Like `sendProbe`, for the deletion of results, which counts towards the rate limit of the backend server. */
  async sendDeletion(backend: Backend, options: Dispatcher.RequestOptions): Promise<Dispatcher.ResponseData> {
    this.intake.recordSent(backend)
    return this.sendProbe(backend, options)
  }

  /** Sends a probe or requests a report; rejects like undici's `request`, or with a `ForeignResponseError`. */
  async sendProbe(backend: Backend, options: Dispatcher.RequestOptions): Promise<Dispatcher.ResponseData> {
    return this.observeResponse(backend, false, () => sendGuarded(this.poolOf(backend), options, { checkHead: headers => this.checkEcho(headers) }))
  }

  /** Rejects the calls that wait for a connection to a backend server that accepts no more work. */
  rejectWaiting(backend: Backend): void {
    for (const call of this.waiting.get(backend.incarnation) ?? [])
      call.reject()
  }

  /** The pool of a backend server, opened on first use. Throws if the backend server was removed and its pool is closed. */
  poolOf(backend: Backend): Pool {
    const existing = this.pools.get(backend.incarnation)
    if (existing)
      return existing
    if (backend.removed)
      throw new CallNotSentError(`${backend.id} was removed from the registry`)
    const pool = createPool(backend.address, Math.max(MIN_CONNECTIONS, this.share(backend.service)))
    this.pools.set(backend.incarnation, pool)
    return pool
  }

  /** Handles the removal of a backend server: rejects waiting calls, and lets calls in flight finish before the pool is closed. */
  remove(backend: Backend): void {
    this.rejectWaiting(backend)
    this.waiting.delete(backend.incarnation)
    if (this.pools.has(backend.incarnation))
      this.closeTimers.set(backend.incarnation, setTimeout(() => this.closePool(backend.incarnation), CLOSE_DELAY_MS).unref())
  }

  /** Closes all pools immediately, which cuts off calls in flight. */
  async close(): Promise<void> {
    for (const timer of this.closeTimers.values())
      clearTimeout(timer)
    // destroy() rejects only if the pool is already closed.
    await Promise.all([...this.pools.values()].map(pool => pool.destroy().catch(() => {})))
  }

  /** Sends a call and passes the head of its response to the intake gate. */
  private async observeResponse(backend: Backend, isWork: boolean, send: () => Promise<Dispatcher.ResponseData>): Promise<Dispatcher.ResponseData> {
    const calledAt = performance.now()
    const response = await send()
    this.intake.handleResponse(backend, { status: response.statusCode, headers: response.headers, isWork, calledAt })
    return response
  }

  private checkEcho(headers: ResponseHeaders, expected?: string): void {
    const echoed = this.readRequestId(headers)
    if (echoed !== expected)
      throw new ForeignResponseError(echoed, expected)
  }

  private closePool(incarnation: string): void {
    const pool = this.pools.get(incarnation)
    this.pools.delete(incarnation)
    this.closeTimers.delete(incarnation)
    // close() rejects only if the pool was already destroyed, in which case there is nothing left to close.
    void pool?.close().catch(() => {})
  }
}

/** Creates a pool without response timeouts; each call brings its own abort signal. */
function createPool(address: string, connections: number): Pool {
  return new Pool(`http://${address}`, {
    connections,
    pipelining: 1,
    factory: (origin, options) => new ConnectionClient(origin, options),
    keepAliveTimeout: IDLE_TIMEOUT_MS,
    keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  })
}
