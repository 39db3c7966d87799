/**
 * TCP proxy between one gateway and the store, which can stop forwarding data
 * without closing connections, for the open connections or for new ones too.
 */
import type { AddressInfo, Socket } from 'node:net'
import { once } from 'node:events'
import { connect, createServer } from 'node:net'

/** Forwards data between one gateway and the store. */
export class StoreProxy {
  /** Whether new connections are accepted without forwarding data, as in a network partition. */
  isPartitioned = false
  private readonly sockets = new Set<Socket>()
  private readonly stalled = new Set<Socket>()
  private readonly server = createServer(gateway => this.accept(gateway))

  constructor(private readonly store: string) {}

  /** Resolves with the address for the gateway to use as the store's. */
  async start(): Promise<string> {
    this.server.listen(0, '127.0.0.1')
    await once(this.server, 'listening')
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** Stops forwarding data on the currently open connections without closing them; new ones are not affected. */
  stallOpenConnections(): void {
    for (const socket of this.sockets)
      this.stalled.add(socket)
  }

  stop(): void {
    this.server.close()
    for (const socket of this.sockets)
      socket.destroy()
  }

  private accept(gateway: Socket): void {
    const [host, port] = this.store.split(':')
    const store = connect(Number(port), host)
    this.forward(gateway, store)
    this.forward(store, gateway)
    if (this.isPartitioned)
      this.stalled.add(gateway).add(store)
  }

  private forward(from: Socket, to: Socket): void {
    this.sockets.add(from)
    // After an error the `close` event follows, which closes the other side.
    from.on('error', () => {})
    from.on('data', chunk => this.stalled.has(from) || to.write(chunk))
    from.on('close', () => {
      this.sockets.delete(from)
      to.destroy()
    })
  }
}
