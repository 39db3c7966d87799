/**
 * The way from one gateway to the store, as a proxy of its own: it can go
 * silent without a word, for the connections that are open or for all.
 */
import type { AddressInfo, Socket } from 'node:net'
import { once } from 'node:events'
import { connect, createServer } from 'node:net'

/** Passes bytes between one gateway and the store. */
export class StoreLine {
  /** New connections are taken and bring nothing, as behind a cut. */
  isCut = false
  private readonly sockets = new Set<Socket>()
  private readonly silent = new Set<Socket>()
  private readonly server = createServer(gateway => this.pass(gateway))

  constructor(private readonly store: string) {}

  /** Resolves with the address that the gateway takes for the store's. */
  async start(): Promise<string> {
    this.server.listen(0, '127.0.0.1')
    await once(this.server, 'listening')
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** The connections that are open now stay open and bring nothing more; new ones work. */
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
    // A socket that ends with an error is closed with its other side.
    from.on('error', () => {})
    from.on('data', chunk => this.silent.has(from) || to.write(chunk))
    from.on('close', () => {
      this.sockets.delete(from)
      to.destroy()
    })
  }
}
