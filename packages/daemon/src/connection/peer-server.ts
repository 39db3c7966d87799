/**
 * The port between the system's processes: one tRPC WebSocket for each peer,
 * and metrics and health over plain HTTP.
 */
import type { AnyTRPCRouter } from '@trpc/server'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Duplex } from 'node:stream'
import { createServer } from 'node:http'
import { applyWSSHandler } from '@trpc/server/adapters/ws'
import { WebSocketServer } from 'ws'
import { isAuthorized } from './peer-key.js'

/** Largest message between processes, in bytes. */
export const MAX_PEER_MESSAGE_BYTES = 64_000_000

/** Options of a peer server. */
export interface PeerServerOptions {
  router: AnyTRPCRouter
  key: string
  host: string
  port: number
  /** Answers plain HTTP, such as metrics. */
  onRequest: (request: IncomingMessage, response: ServerResponse) => void
}

/** A listening peer server. */
export interface PeerServer {
  /** Where it listens, as `host:port`. */
  address: string
  close: () => Promise<void>
}

/** Starts listening for peers. */
export async function startPeerServer(options: PeerServerOptions): Promise<PeerServer> {
  const server = createServer(options.onRequest)
  const sockets = new WebSocketServer({ noServer: true, maxPayload: MAX_PEER_MESSAGE_BYTES, perMessageDeflate: false })
  applyWSSHandler({ wss: sockets, router: options.router })
  server.on('upgrade', (request: IncomingMessage, socket: Duplex, head: Buffer) => {
    if (!isAuthorized(request, options.key)) {
      socket.end('HTTP/1.1 401 Unauthorized\r\nConnection: close\r\nContent-Length: 0\r\n\r\n')
      return
    }
    sockets.handleUpgrade(request, socket, head, client => sockets.emit('connection', client, request))
  })
  const address = await listen(server, options.host, options.port)
  return { address, close: () => closeServer(server, sockets) }
}

/** Listens and returns the address as `host:port`. */
export async function listen(server: Server, host: string, port: number): Promise<string> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return `${host}:${(server.address() as AddressInfo).port}`
}

async function closeServer(server: Server, sockets: WebSocketServer): Promise<void> {
  for (const client of sockets.clients)
    client.close()
  sockets.close()
  server.closeAllConnections()
  await new Promise<void>(resolve => server.close(() => resolve()))
}
