/**
 * One connection slot of a pool. Shows each call the connection that it is about
 * to be written to, which undici's `Client` does not. Holds the current connection
 * until the next one replaces it.
 */
import type { Socket } from 'node:net'
import type { Dispatcher } from 'undici'
import { buildConnector, Client } from 'undici'
import { isConnectionReset } from '../error-codes.js'
import { MAX_OVERHEAD_BYTES, ProtocolOverhead } from './protocol-overhead.js'

/**
 * Timeout for establishing a connection. Long enough for a busy VM of a backend
 * server, and short enough to leave time for the next attempt.
 */
const CONNECT_TIMEOUT_MS = 400
/** Replaces `ECONNRESET`, which undici treats as the regular end of a response without a length. */
const RESET_CODE = 'ERR_BACKEND_RESET'

const connectSocket = buildConnector({ timeout: CONNECT_TIMEOUT_MS, autoSelectFamily: false })

/** The connection slot that a call was given; empty until the pool has one. */
export interface ConnectionSlot {
  client?: ConnectionClient
}

/** undici's options of a call that learns its connection. */
export type SlottedOptions = Dispatcher.DispatchOptions & { slot?: ConnectionSlot }

/** A connection to a backend server, and what a call needs to know of it. */
export class BackendConnection {
  private readonly overhead = new ProtocolOverhead()
  private reset = false

  constructor(private readonly socket: Socket) {
    socket.prependListener('readable', () => this.checkOverhead())
    socket.prependListener('end', () => this.checkReset())
    socket.prependListener('error', (error: NodeJS.ErrnoException) => {
      if (isConnectionReset(error))
        error.code = RESET_CODE
    })
  }

  /** Whether the connection ended by a reset. */
  get wasReset(): boolean {
    return this.reset
  }

  /** Called just before a call is written. */
  beginCall(): void {
    this.overhead.beginCall(this.socket.bytesRead)
  }

  /** Called with the bytes of the response body as they arrive. */
  countBody(bytes: number): void {
    this.overhead.addBody(bytes)
  }

  close(): void {
    this.socket.destroy()
  }

  private checkOverhead(): void {
    if (this.overhead.isExceeded(this.socket.bytesRead))
      this.socket.destroy(new Error(`the backend server sent more than ${MAX_OVERHEAD_BYTES} bytes that belong to no response body`))
  }

  /**
   * If a reset arrives together with the last bytes, Node reports a regular end.
   * The kernel knows the peer of a connection that ended regularly, and no longer
   * that of one that was reset.
   */
  private checkReset(): void {
    this.reset = this.socket.remoteAddress === undefined
  }
}

/** Connects, and keeps the newest connection. */
class Connector {
  connection: BackendConnection | undefined

  readonly connect: buildConnector.connector = (options, callback) => {
    connectSocket(options, (...result) => {
      const [, socket] = result
      this.connection = socket ? new BackendConnection(socket) : undefined
      callback(...result)
    })
  }
}

/** A client with one connection at a time. */
export class ConnectionClient extends Client {
  constructor(origin: URL, options: Client.Options, private readonly connector = new Connector()) {
    super(origin, { ...options, connect: connector.connect })
  }

  /** The current connection; undefined before the first one. */
  get connection(): BackendConnection | undefined {
    return this.connector.connection
  }

  override dispatch(options: SlottedOptions, handler: Dispatcher.DispatchHandler): boolean {
    if (options.slot)
      options.slot.client = this
    return super.dispatch(options, handler)
  }
}
