/**
 * A crowd of clients that do not behave: each opens one connection, sends given
 * bytes, reads nothing and stays. Its connections are closed by `leave`.
 */
import type { Buffer } from 'node:buffer'
import type { Socket } from 'node:net'
import { connect } from 'node:net'

/** What one client of a crowd sends. */
export interface HostileBytes {
  /** Sent first. */
  start: Buffer
  /** Sent after that again and again, as the server takes it. @default nothing */
  repeated?: Buffer
  /** How many times `repeated` is sent. @default 0 */
  times?: number
}

/** The open connections of a crowd. */
export class Crowd {
  private readonly sockets: Socket[] = []

  /** Opens the connections of a crowd to a port of this machine. Its clients send different bytes in turn, if there are several. */
  constructor(port: number, clients: number, bytes: readonly HostileBytes[]) {
    for (let index = 0; index < clients; index++)
      this.sockets.push(openClient(port, bytes[index % bytes.length]))
  }

  leave(): void {
    for (const socket of this.sockets)
      socket.destroy()
  }
}

function openClient(port: number, { start, repeated, times = 0 }: HostileBytes): Socket {
  const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true })
  let sent = 0
  const sendNext = (): void => {
    if (!repeated || socket.destroyed || sent >= times)
      return
    sent++
    if (socket.write(repeated))
      sendNext()
  }
  // The server may close the connection at any time.
  socket.on('error', () => {})
  socket.pause()
  socket.on('drain', sendNext)
  socket.write(start)
  if (socket.writableLength === 0)
    sendNext()
  return socket
}
