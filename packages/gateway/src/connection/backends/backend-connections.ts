/**
 * Connections to backend servers, a pool for each, within what a backend server
 * takes. A pool lives from the first call until CLOSE_DELAY_MS after the
 * removal of its backend server from the registry: until then, streams under
 * way there are still probed. All pools end with the process, and calls under
 * way break.
 */
import type { Dispatcher } from 'undici'
import type { Backend } from './backend.js'
import type { IntakeGate } from './intake-gate.js'
import type { CallWatch, WorkOptions } from './work-call.js'
import { buildConnector, Pool } from 'undici'
import { isConnectionReset } from '../error-codes.js'
import { CallNotSentError, WorkCall } from './work-call.js'

/**
 * Milliseconds until a connection is up. Half fails while a backend server's VM
 * is busy, twice takes time from the next attempt.
 */
const CONNECT_TIMEOUT_MS = 400
/**
 * Milliseconds that an idle connection is kept where the backend server names
 * no limit. Twice meets servers that have closed it already.
 */
const IDLE_TIMEOUT_MS = 4000
/**
 * Milliseconds before the backend server's own limit at which an idle
 * connection is closed. Too little sends requests into connections that are
 * being closed.
 */
const IDLE_MARGIN_MS = 700
/**
 * Connections to one backend server where this process's share is smaller or
 * isn't known yet. With one, a probe waits behind a silent call.
 */
const MIN_CONNECTIONS = 2
/**
 * Milliseconds from the removal of a backend server until its pool closes. Well
 * above the longest deadline of a request, so that no answer is under way then;
 * its idle connections have closed by themselves long before.
 */
const CLOSE_DELAY_MS = 60_000
/** Replaces `ECONNRESET`, which undici takes for the end of an answer that has no length. */
const RESET_CODE = 'ERR_BACKEND_RESET'

const connectPlainly = buildConnector({ timeout: CONNECT_TIMEOUT_MS, autoSelectFamily: false })

/** Connects; a reset later fails the answer under way whatever its framing. */
function connectWatchingResets(options: buildConnector.Options, callback: buildConnector.Callback): void {
  connectPlainly(options, (...args) => {
    const [, socket] = args
    socket?.prependListener('error', (error: NodeJS.ErrnoException) => {
      if (isConnectionReset(error))
        error.code = RESET_CODE
    })
    callback(...args)
  })
}

/** How many connections to one backend server of a service this process may hold. */
export type ConnectionShare = (service: string) => number

/** Pools by the life of their backend server: a later process of it may have another address. */
export class BackendConnections {
  private readonly pools = new Map<string, Pool>()
  /** Calls that wait for a connection, by the life of their backend server. */
  private readonly waiting = new Map<string, Set<WorkCall>>()
  /** Timers that close the pools of removed backend servers, by life. */
  private readonly closing = new Map<string, NodeJS.Timeout>()

  constructor(
    private readonly share: ConnectionShare,
    private readonly watch: CallWatch,
    private readonly intake: IntakeGate,
  ) {}

  /**
   * Sends a call that brings work to a backend server. Rejects as undici's
   * `request` does, or with a `CallNotSentError` where the backend server takes
   * no more work, or none now.
   */
  async sendWork(backend: Backend, options: WorkOptions): Promise<Dispatcher.ResponseData> {
    if (!backend.takesWork || options.signal.aborted)
      throw new CallNotSentError(`${backend.id} takes no more work, or the call was abandoned`)
    const calls = this.waiting.get(backend.life) ?? new Set()
    this.waiting.set(backend.life, calls)
    const call = new WorkCall(backend, this.watch, this.intake, ended => void calls.delete(ended))
    calls.add(call)
    return this.watchAnswer(backend, true, () => call.send(this.of(backend), options))
  }

  /** As `sendProbe`, for a deletion: its backend server counts it among the requests that it takes. */
  async sendDeletion(backend: Backend, options: Dispatcher.RequestOptions): Promise<Dispatcher.ResponseData> {
    this.intake.noteSent(backend)
    return this.sendProbe(backend, options)
  }

  /** Sends a probe or asks for a report; rejects as undici's `request` does. */
  async sendProbe(backend: Backend, options: Dispatcher.RequestOptions): Promise<Dispatcher.ResponseData> {
    return this.watchAnswer(backend, false, () => this.of(backend).request(options))
  }

  /** The backend server takes no more work: calls that wait for it are turned away. */
  turnAwayWaiting(backend: Backend): void {
    for (const call of this.waiting.get(backend.life) ?? [])
      call.turnAway()
  }

  /** The pool of a backend server, opened at first use. Throws where a removed backend server has none any more. */
  of(backend: Backend): Pool {
    const existing = this.pools.get(backend.life)
    if (existing)
      return existing
    if (backend.removed)
      throw new CallNotSentError(`${backend.id} was removed`)
    const pool = createPool(backend.address, Math.max(MIN_CONNECTIONS, this.share(backend.service)))
    this.pools.set(backend.life, pool)
    return pool
  }

  /** The backend server was removed: calls that wait are turned away, those under way end. */
  forget(backend: Backend): void {
    this.turnAwayWaiting(backend)
    this.waiting.delete(backend.life)
    if (this.pools.has(backend.life))
      this.closing.set(backend.life, setTimeout(() => this.closePool(backend.life), CLOSE_DELAY_MS).unref())
  }

  /** Breaks calls under way and closes at once. */
  async close(): Promise<void> {
    for (const timer of this.closing.values())
      clearTimeout(timer)
    // As above: only a pool that is closed already fails to be destroyed.
    await Promise.all([...this.pools.values()].map(pool => pool.destroy().catch(() => {})))
  }

  /** Tells what each answer says of the requests that its backend server takes. */
  private async watchAnswer(backend: Backend, isWork: boolean, send: () => Promise<Dispatcher.ResponseData>): Promise<Dispatcher.ResponseData> {
    const calledAt = performance.now()
    const response = await send()
    this.intake.noteAnswer(backend, { status: response.statusCode, headers: response.headers, isWork, calledAt })
    return response
  }

  private closePool(life: string): void {
    const pool = this.pools.get(life)
    this.pools.delete(life)
    this.closing.delete(life)
    // A pool that cannot close in order was destroyed already; nothing refers to it any more.
    void pool?.close().catch(() => {})
  }
}

/** A pool without time limits of its own: each call brings its signal. */
function createPool(address: string, connections: number): Pool {
  return new Pool(`http://${address}`, {
    connections,
    pipelining: 1,
    connect: connectWatchingResets,
    keepAliveTimeout: IDLE_TIMEOUT_MS,
    keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  })
}
