import type { ConnectionGuard, ConnectionLimits } from '@eidermast/common'
/**
 * Server for the system's other processes: one tRPC WebSocket per peer, and
 * metrics and health over plain HTTP. Owns the listening socket and the peers'
 * connections. If the process dies, they close, and peers reconnect to its
 * successor.
 */
import type { AnyTRPCRouter } from '@trpc/server'
import type { IncomingMessage, RequestListener, Server } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { createGuardedServer, createLogger } from '@eidermast/common'
import { applyWSSHandler } from '@trpc/server/adapters/ws'
import { WebSocketServer } from 'ws'
import { isAuthorized } from './peer-key.js'

/**
 * Maximum message size between processes: four times the largest stage input (4
 * million characters of at most 4 bytes). Bounds the memory that a faulty peer can
 * use.
 */
export const MAX_PEER_MESSAGE_BYTES = 64_000_000

const log = createLogger('peers')

/** Time to receive a head, and a whole request over plain HTTP, which has no body. */
const TIMEOUTS = { headersTimeout: 5000, requestTimeout: 5000, connectionsCheckingInterval: 1000 }

/** Response to a connection without the key. */
const UNAUTHORIZED = 'HTTP/1.1 401 Unauthorized\r\nConnection: close\r\nContent-Length: 0\r\n\r\n'

/** Address and key of a peer server. */
export interface PeerServerAddress {
  /** Key required from peers. */
  key: string
  host: string
  /** Port; 0 selects a free one. */
  port: number
  connections: ConnectionLimits
}

/** A listening peer server. */
export class PeerServer {
  private readonly webSocketServer = new WebSocketServer({ noServer: true, maxPayload: MAX_PEER_MESSAGE_BYTES, perMessageDeflate: false })

  private constructor(
    private readonly server: Server,
    private readonly guard: ConnectionGuard,
    private readonly key: string,
    /** Listening address, as `host:port`. */
    readonly address: string,
  ) {}

  /**
   * Starts listening; `serve` must be called immediately afterwards. The steps are separate because the services
   * behind the router need the address. Rejects if the port is not available.
   */
  static async listen({ key, host, port, connections }: PeerServerAddress): Promise<PeerServer> {
    const { server, guard } = createGuardedServer(TIMEOUTS, connections, log)
    return new PeerServer(server, guard, key, await listen(server, host, port))
  }

  /** Serves peers with the router, and plain HTTP requests, such as metrics, with the listener. */
  serve(router: AnyTRPCRouter, onRequest: RequestListener): void {
    applyWSSHandler({ wss: this.webSocketServer, router })
    this.server.on('request', onRequest)
    this.server.on('upgrade', (request, socket, head) => this.upgrade(request, socket, head))
  }

  /** Closes all connections and stops listening. */
  async close(): Promise<void> {
    for (const client of this.webSocketServer.clients)
      client.close()
    this.webSocketServer.close()
    this.server.closeAllConnections()
    await new Promise<void>(resolve => this.server.close(() => resolve()))
  }

  private upgrade(request: IncomingMessage, socket: Duplex, head: Buffer): void {
    // An HTTP server's sockets are those that it accepted.
    this.guard.release(socket as Socket)
    if (isAuthorized(request, this.key))
      this.webSocketServer.handleUpgrade(request, socket, head, client => this.webSocketServer.emit('connection', client, request))
    else
      socket.end(UNAUTHORIZED)
  }
}

/** Starts listening and returns the address as `host:port`. Rejects if the port is not available. */
export async function listen(server: Server, host: string, port: number): Promise<string> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return `${host}:${(server.address() as AddressInfo).port}`
}
