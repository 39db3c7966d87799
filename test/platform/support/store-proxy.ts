/**
 * A TCP proxy between one gateway and the store, which can stop forwarding data
 * without closing the connections: those that are open, or all.
 */
import type { AddressInfo, Socket } from 'node:net'
import { once } from 'node:events'
import { connect, createServer } from 'node:net'

/** Forwards bytes between one gateway and the store. */
export class StoreProxy {
  /** Whether new connections are accepted but not forwarded, as in a network partition. */
  isCut = false
  private readonly sockets = new Set<Socket>()
  private readonly silent = new Set<Socket>()
  private readonly server = createServer(gateway => this.pass(gateway))

  constructor(private readonly store: string) {}

  /** Starts the proxy; resolves with its address, which the gateway uses as the store's. */
  async start(): Promise<string> {
    this.server.listen(0, '127.0.0.1')
    await once(this.server, 'listening')
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** Stops forwarding on the connections that are open now, which stay open; new ones work. */
  silenceOpenConnections(): void {
    for (const socket of this.sockets)
      this.silent.add(socket)
  }

  stop(): void {
    this.server.close()
    for (const socket of this.sockets)
      socket.destroy()
  }

  private pass(gateway: Socket): void {
    const [host, port] = this.store.split(':')
    const store = connect(Number(port), host)
    this.join(gateway, store)
    this.join(store, gateway)
    if (this.isCut)
      this.silent.add(gateway).add(store)
  }

  private join(from: Socket, to: Socket): void {
    this.sockets.add(from)
    // The handler of `close`, which follows, also closes the other side.
    from.on('error', () => {})
    from.on('data', chunk => this.silent.has(from) || to.write(chunk))
    from.on('close', () => {
      this.sockets.delete(from)
      to.destroy()
    })
  }
}
