/**
 * Connections to backend servers, a pool for each, within what a backend server takes.
 */
import type { Backend } from './backend.js'
import { buildConnector, Pool } from 'undici'

/** How long a connection may take to come up, in milliseconds. */
const CONNECT_TIMEOUT_MS = 400
/** How long an idle connection is kept where the backend server says nothing, in milliseconds. */
const IDLE_TIMEOUT_MS = 4000
/** Closed this long before the backend server would, in milliseconds. */
const IDLE_MARGIN_MS = 700
const MIN_CONNECTIONS = 2

const connectPlainly = buildConnector({ timeout: CONNECT_TIMEOUT_MS, autoSelectFamily: false })
/** Replaces `ECONNRESET`, which undici takes for the end of an answer that has no length. */
const RESET_CODE = 'ERR_REPLICA_RESET'

/** Connects; a reset later fails the answer under way whatever its framing. */
const connectWatchingResets: buildConnector.connector = (options, callback) => {
  connectPlainly(options, (...args) => {
    const [, socket] = args
    socket?.prependListener('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNRESET')
        error.code = RESET_CODE
    })
    callback(...args)
  })
}

/** Says how many connections to one backend server of a service this process may hold. */
export type ConnectionShare = (service: string) => number

/** Pools by backend server id; a pool ends with its backend server. */
export class BackendConnections {
  private readonly pools = new Map<string, Pool>()

  constructor(private readonly share: ConnectionShare) {}

  /** The pool of a backend server, opened at first use. */
  of(backend: Backend): Pool {
    const existing = this.pools.get(backend.id)
    if (existing)
      return existing
    const pool = new Pool(`http://${backend.address}`, {
      connections: Math.max(MIN_CONNECTIONS, this.share(backend.service)),
      pipelining: 1,
      connect: connectWatchingResets,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    })
    this.pools.set(backend.id, pool)
    return pool
  }

  /** Lets calls under way end, then closes. */
  forget(backendId: string): void {
    const pool = this.pools.get(backendId)
    this.pools.delete(backendId)
    void pool?.close().catch(() => {})
  }

  async close(): Promise<void> {
    await Promise.all([...this.pools.values()].map(pool => pool.destroy().catch(() => {})))
  }
}

const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT', 'UND_ERR_DESTROYED', 'UND_ERR_CLOSED', 'EMFILE'])

/** Whether an error shows that no byte of the request reached the backend server. */
export function isNotSent(error: unknown): boolean {
  const code = error instanceof Error && 'code' in error ? error.code : undefined
  return typeof code === 'string' && NOT_SENT_CODES.has(code)
}
