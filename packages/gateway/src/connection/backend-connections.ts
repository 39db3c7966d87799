/**
 * Connections to replicas, a pool for each, within what a replica takes.
 */
import type { Replica } from './backend.js'
import { buildConnector, Pool } from 'undici'

/** How long a connection may take to come up, in milliseconds. */
const CONNECT_TIMEOUT_MS = 400
/** How long an idle connection is kept where the replica says nothing, in milliseconds. */
const IDLE_TIMEOUT_MS = 4000
/** Closed this long before the replica would, in milliseconds. */
const IDLE_MARGIN_MS = 700
const FEWEST_CONNECTIONS = 2

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

/** Says how many connections to one replica of a service this process may hold. */
export type ConnectionShare = (service: string) => number

/** Pools by replica id; a pool ends with its replica. */
export class ReplicaConnections {
  private readonly pools = new Map<string, Pool>()

  constructor(private readonly share: ConnectionShare) {}

  /** The pool of a replica, opened at first use. */
  of(replica: Replica): Pool {
    const existing = this.pools.get(replica.id)
    if (existing)
      return existing
    const pool = new Pool(`http://${replica.address}`, {
      connections: Math.max(FEWEST_CONNECTIONS, this.share(replica.service)),
      pipelining: 1,
      connect: connectWatchingResets,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    })
    this.pools.set(replica.id, pool)
    return pool
  }

  /** Lets calls under way end, then closes. */
  forget(replicaId: string): void {
    const pool = this.pools.get(replicaId)
    this.pools.delete(replicaId)
    void pool?.close().catch(() => {})
  }

  async close(): Promise<void> {
    await Promise.all([...this.pools.values()].map(pool => pool.destroy().catch(() => {})))
  }
}

const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT', 'UND_ERR_DESTROYED', 'UND_ERR_CLOSED', 'EMFILE'])

/** Whether an error shows that no byte of the request reached the replica. */
export function isNotSent(error: unknown): boolean {
  const code = error instanceof Error && 'code' in error ? error.code : undefined
  return typeof code === 'string' && NOT_SENT_CODES.has(code)
}
