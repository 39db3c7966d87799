/**
 * A TCP proxy in front of a side that drops the connection at a chosen point of a
 * call.
 */
import type { Server, Socket } from 'node:net'
import { once } from 'node:events'
import { connect, createServer } from 'node:net'

/** Points of a call at which the connection is dropped. */
export enum CutMoment {
  /** The call was sent but does not arrive. */
  BeforeCall = 'before-call',
  /** The call has arrived and is running. */
  AfterCall = 'after-call',
  /** The reply was sent but does not arrive. */
  BeforeReply = 'before-reply',
}

/** Messages are masked on the wire, so calls are told apart from heartbeats by their size. */
const MIN_CALL_BYTES = 1500
/** Input length that makes a call larger than MIN_CALL_BYTES. */
export const LARGE_INPUT_LENGTH = 2000
const DONE_REPLY = '"kind":"done"'

/** Forwards bytes to a side. Drops one connection for each `cutAt`; later connections are forwarded unchanged. */
export class CuttingProxy {
  cuts = 0
  private moment: CutMoment | undefined
  private readonly server: Server
  private readonly sockets = new Set<Socket>()

  constructor(private readonly target: string) {
    this.server = createServer(client => this.pass(client))
  }

  async listen(): Promise<string> {
    this.server.listen(0, '127.0.0.1')
    await once(this.server, 'listening')
    const address = this.server.address()
    return typeof address === 'object' && address ? `127.0.0.1:${address.port}` : ''
  }

  /** Drops the connection the next time that a call reaches the given point. */
  cutAt(moment: CutMoment): void {
    this.moment = moment
  }

  close(): void {
    this.server.close()
    this.sockets.forEach(socket => socket.destroy())
  }

  private pass(client: Socket): void {
    const [host, port] = this.target.split(':')
    const side = connect(Number(port), host)
    const cut = (): void => {
      this.cuts++
      this.moment = undefined
      client.destroy()
      side.destroy()
    }
    for (const socket of [client, side]) {
      this.sockets.add(socket)
      socket.on('error', () => {})
    }
    client.on('close', () => side.destroy())
    side.on('close', () => client.destroy())
    client.on('data', (chunk) => {
      const isCall = chunk.length >= MIN_CALL_BYTES
      if (isCall && this.moment === CutMoment.BeforeCall)
        return cut()
      side.write(chunk)
      // The call has arrived once its bytes are flushed to the side's socket.
      if (isCall && this.moment === CutMoment.AfterCall)
        setTimeout(cut, 20)
    })
    side.on('data', (chunk) => {
      if (this.moment === CutMoment.BeforeReply && chunk.includes(DONE_REPLY))
        return cut()
      client.write(chunk)
    })
  }
}
