/**
 * The port between the system's processes: one tRPC WebSocket for each peer,
 * and metrics and health over plain HTTP. Owns the listening socket and the
 * peers' connections; peers see them close when the process dies, and connect
 * again to its successor.
 */
import type { AnyTRPCRouter } from '@trpc/server'
import type { IncomingMessage, RequestListener, Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Duplex } from 'node:stream'
import { createServer } from 'node:http'
import { applyWSSHandler } from '@trpc/server/adapters/ws'
import { WebSocketServer } from 'ws'
import { isAuthorized } from './peer-key.js'

/**
 * Largest message between processes, in bytes. It holds the longest stage input
 * (4 million characters, at most 4 bytes each) four times over; half still
 * does, twice lets a faulty peer take more memory.
 */
export const MAX_PEER_MESSAGE_BYTES = 64_000_000

/** Answer to a connection that does not show the key. */
const UNAUTHORIZED = 'HTTP/1.1 401 Unauthorized\r\nConnection: close\r\nContent-Length: 0\r\n\r\n'

/** Where and for whom a peer server listens. */
export interface PeerServerAddress {
  /** The key that peers must show. */
  key: string
  host: string
  /** Port; 0 takes a free one. */
  port: number
}

/** A listening peer server. */
export class PeerServer {
  private readonly sockets = new WebSocketServer({ noServer: true, maxPayload: MAX_PEER_MESSAGE_BYTES, perMessageDeflate: false })

  private constructor(
    private readonly server: Server,
    private readonly key: string,
    /** Where it listens, as `host:port`. */
    readonly address: string,
  ) {}

  /**
   * Starts listening; `serve` has to follow at once. They are two steps since parts that answer peers need the
   * address. Rejects where the port cannot be listened on.
   */
  static async listen({ key, host, port }: PeerServerAddress): Promise<PeerServer> {
    const server = createServer()
    return new PeerServer(server, key, await listen(server, host, port))
  }

  /** Answers peers by the router, and plain HTTP, such as metrics, by the listener. */
  serve(router: AnyTRPCRouter, onRequest: RequestListener): void {
    applyWSSHandler({ wss: this.sockets, router })
    this.server.on('request', onRequest)
    this.server.on('upgrade', (request, socket, head) => this.upgrade(request, socket, head))
  }

  /** Closes every connection and stops listening. */
  async close(): Promise<void> {
    for (const client of this.sockets.clients)
      client.close()
    this.sockets.close()
    this.server.closeAllConnections()
    await new Promise<void>(resolve => this.server.close(() => resolve()))
  }

  private upgrade(request: IncomingMessage, socket: Duplex, head: Buffer): void {
    if (isAuthorized(request, this.key))
      this.sockets.handleUpgrade(request, socket, head, client => this.sockets.emit('connection', client, request))
    else
      socket.end(UNAUTHORIZED)
  }
}

/** Listens and returns the address as `host:port`. Rejects where the port cannot be listened on. */
export async function listen(server: Server, host: string, port: number): Promise<string> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return `${host}:${(server.address() as AddressInfo).port}`
}
