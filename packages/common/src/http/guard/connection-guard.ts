/**
 * Guards the connections of an HTTP server against clients that take memory,
 * descriptors or processor time without end (rules: `connection-decision.ts`).
 * Owns the list of connections and one timer; lives as long as the server.
 */
import type { IncomingMessage, Server, ServerOptions, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Logger } from '../../logger.js'
import type { MemoryPool } from './memory-pool.js'
import { createServer } from 'node:http'
import { CompactRequest } from '../compact-request.js'
import { CloseReason } from './connection-decision.js'
import { GuardedConnection } from './guarded-connection.js'
import { Turns } from './turns.js'

/** Interval of looks at clients that leave something to do, and of reports. */
const CHECK_INTERVAL_MS = 500
/** No limit on the lines of a head: Node would drop those beyond it. */
const NO_LINE_LIMIT = 0

/** Counts connections that were closed or not accepted; implemented by the process's metrics. */
export interface ConnectionMetrics {
  countConnectionsClosed: (reason: CloseReason, count: number) => void
}

/** Limits of the connections of a server. */
export interface ConnectionLimits {
  maxConnections: number
  /** Shared by all servers of the process. */
  pool: MemoryPool
  metrics: ConnectionMetrics
}

/** A server's options without those that guarding it decides. */
export type GuardedServerOptions = Omit<ServerOptions, 'IncomingMessage' | 'ServerResponse'>

/** Creates an HTTP server whose connections are guarded; `log` gets what was closed, at most twice a second for each reason. */
export function createGuardedServer(options: GuardedServerOptions, limits: ConnectionLimits, log: Logger): { server: Server, guard: ConnectionGuard } {
  const server = createServer({ ...options, IncomingMessage: CompactRequest }) as unknown as Server
  server.maxHeadersCount = NO_LINE_LIMIT
  return { server, guard: new ConnectionGuard(server, limits, log) }
}

/** Guards the connections of one server. */
export class ConnectionGuard {
  private readonly connections = new Map<Socket, GuardedConnection>()
  /** Those without an unanswered request, the longest without one first. */
  private readonly idle = new Set<GuardedConnection>()
  /** Connections that were closed since the last report. */
  private readonly closed = new Map<CloseReason, number>()
  private readonly turns = new Turns()
  private readonly timer: NodeJS.Timeout
  private checkedAt = performance.now()

  constructor(server: Server, private readonly limits: ConnectionLimits, private readonly log: Logger) {
    server.on('connection', socket => this.open(socket))
    server.prependListener('request', (message, response) => this.openRequest(message, response))
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS).unref()
    server.once('close', () => clearInterval(this.timer))
  }

  /** Number of open connections. */
  get size(): number {
    return this.connections.size
  }

  /** A connection does not speak HTTP any more: it counts, and nothing more of it is limited here. */
  release(socket: Socket): void {
    this.connections.get(socket)?.release()
  }

  private open(socket: Socket): void {
    // A connection of this process to itself, which is closed already.
    if (socket.destroyed)
      return
    if (this.connections.size >= this.limits.maxConnections && !this.closeLongestIdle()) {
      this.countClosed(CloseReason.AtLimit)
      socket.destroy()
      return
    }
    const connection = new GuardedConnection(socket, this.limits.pool, this.turns, {
      idleChanged: (changed, isIdle) => this.setIdle(changed, isIdle),
      closed: reason => this.countClosed(reason),
    })
    this.connections.set(socket, connection)
    this.idle.add(connection)
    socket.once('close', () => this.forget(socket, connection))
  }

  private openRequest(message: IncomingMessage, response: ServerResponse): void {
    this.connections.get(message.socket)?.openRequest(message, response)
  }

  private setIdle(connection: GuardedConnection, isIdle: boolean): void {
    if (isIdle)
      this.idle.add(connection)
    else
      this.idle.delete(connection)
  }

  /** Returns whether there was one. */
  private closeLongestIdle(): boolean {
    const [longest] = this.idle
    if (longest === undefined)
      return false
    longest.closeIdle()
    // Its descriptor is free at once, also if its end is not reported yet.
    this.idle.delete(longest)
    this.connections.delete(longest.socket)
    return true
  }

  private forget(socket: Socket, connection: GuardedConnection): void {
    this.idle.delete(connection)
    this.connections.delete(socket)
  }

  private check(): void {
    const now = performance.now()
    const elapsedMs = now - this.checkedAt
    this.checkedAt = now
    for (const connection of this.connections.values())
      connection.check(elapsedMs)
    this.report()
  }

  private countClosed(reason: CloseReason): void {
    this.closed.set(reason, (this.closed.get(reason) ?? 0) + 1)
  }

  private report(): void {
    const { pool, maxConnections, metrics } = this.limits
    for (const [reason, count] of this.closed) {
      metrics.countConnectionsClosed(reason, count)
      this.log('connections-closed', { reason, count, open: this.size, maxConnections, sharedBytes: pool.takenBytes, maxSharedBytes: pool.limitBytes })
    }
    this.closed.clear()
  }
}
