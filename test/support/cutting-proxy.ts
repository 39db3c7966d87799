/**
 * A proxy before one side that cuts the connection at a chosen moment of a call.
 */
import type { Server, Socket } from 'node:net'
import { once } from 'node:events'
import { connect, createServer } from 'node:net'

/** When the connection is cut. */
export enum CutMoment {
  /** The call is sent and does not arrive. */
  BeforeCall = 'before-call',
  /** The call has arrived and runs. */
  AfterCall = 'after-call',
  /** The reply is sent and does not arrive. */
  BeforeReply = 'before-reply',
}

/** Bytes. Messages are masked on the wire, so calls are distinguished from heartbeats by their size. */
const MIN_CALL_BYTES = 1500
/** Characters of an input that makes a call large enough to be distinguished. */
export const LARGE_INPUT_LENGTH = 2000
const DONE_REPLY = '"kind":"done"'

/** Passes bytes to a side until it cuts, once; connections after that pass unharmed. */
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

  /** Cuts the next time that the moment comes. */
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
