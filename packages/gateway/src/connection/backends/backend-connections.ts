/**
 * Connections to backend servers, a pool for each, within what a backend server
 * takes. A pool lives from the first call to the removal of its backend server
 * from the registry; all pools end with the process, and calls under way break.
 */
import type { Dispatcher } from 'undici'
import type { Backend } from './backend.js'
import type { CallWatch } from './work-call.js'
import { buildConnector, Pool } from 'undici'
import { isConnectionReset } from '../error-codes.js'
import { WorkCall } from './work-call.js'

/**
 * Milliseconds until a connection is up. Not measured: half fails while a
 * backend server's VM is busy, twice takes time from the next attempt.
 */
const CONNECT_TIMEOUT_MS = 400
/**
 * Milliseconds that an idle connection is kept where the backend server names
 * no limit. Not measured: twice meets servers that have closed it already.
 */
const IDLE_TIMEOUT_MS = 4000
/**
 * Milliseconds before the backend server's own limit at which an idle connection
 * is closed. Not measured: too little sends requests into connections that are
 * being closed.
 */
const IDLE_MARGIN_MS = 700
/**
 * Connections to one backend server where this process's share is smaller or
 * isn't known yet. Not measured: with one, a probe waits behind a silent call.
 */
const MIN_CONNECTIONS = 2
/** Replaces `ECONNRESET`, which undici takes for the end of an answer that has no length (commit 5ec8c88). */
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

/** Pools by backend server id; a pool ends with its backend server. */
export class BackendConnections {
  private readonly pools = new Map<string, Pool>()

  constructor(private readonly share: ConnectionShare, private readonly watch: CallWatch) {}

  /** Sends a call that brings work to a backend server. Rejects as undici's `request` does. */
  sendWork(backend: Backend, options: Dispatcher.RequestOptions): Promise<Dispatcher.ResponseData> {
    return new WorkCall(backend, this.watch).send(this.of(backend), options)
  }

  /** The pool of a backend server, opened at first use; for calls that bring no work. */
  of(backend: Backend): Pool {
    const existing = this.pools.get(backend.id)
    if (existing)
      return existing
    const pool = createPool(backend.address, Math.max(MIN_CONNECTIONS, this.share(backend.service)))
    this.pools.set(backend.id, pool)
    return pool
  }

  /** Lets calls under way end, then closes. */
  forget(backendId: string): void {
    const pool = this.pools.get(backendId)
    this.pools.delete(backendId)
    // A pool that cannot close in order was destroyed already; nothing refers to it any more.
    void pool?.close().catch(() => {})
  }

  /** Breaks calls under way and closes at once. */
  async close(): Promise<void> {
    // As above: only a pool that is closed already fails to be destroyed.
    await Promise.all([...this.pools.values()].map(pool => pool.destroy().catch(() => {})))
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
