/**
 * A single connection to a peer: a tRPC client over one WebSocket. A lost
 * connection is never resumed, because a call in flight may have been received;
 * its caller decides whether to retry. For the same reason tRPC's automatic
 * reconnection, which resends pending calls, is disabled.
 */
import type { TRPCClient } from '@trpc/client'
import type { Result } from 'ts-results-es'
import type { EntryRouter, SideRouter } from './peer-router.js'
import { formatError } from '@eidermast/common'
import { createTRPCClient, createWSClient, wsLink } from '@trpc/client'
import { Err, Ok } from 'ts-results-es'
import { WebSocket } from 'ws'
import { formatAuthorization } from './peer-key.js'
import { MAX_PEER_MESSAGE_BYTES } from './peer-server.js'

export interface PeerConnectionOptions {
  /** Address of the peer, as `host:port`. */
  address: string
  key: string
  /**
   * Timeout for opening the connection, in milliseconds.
   * @default 1000
   */
  connectTimeoutMs?: number
}

/** One open connection to a peer. */
export interface PeerConnection<Client> {
  client: Client
  /** Aborts when the connection is lost or closed. */
  closed: AbortSignal
  /** Whether calls can be sent. False as soon as the peer has ended its side of the connection. */
  isOpen: () => boolean
  /** Number of messages handed to the socket so far; a call that left it unchanged was not sent. */
  messagesSent: () => number
  close: () => void
}

/** Why a connection could not be opened. */
export enum ConnectFailure {
  /** No process listens on the address: the previous one has ended. */
  Refused = 'refused',
  /** The connection attempt timed out, or the response was not that of a peer. */
  Failed = 'failed',
}

export type SideClient = TRPCClient<SideRouter>
export type EntryClient = TRPCClient<EntryRouter>

/**
 * Leaves time for a VM that is busy starting, at the cost of detecting a frozen peer
 * later.
 */
const DEFAULT_CONNECT_TIMEOUT_MS = 1000
/** Maximum timer delay, about 24 days: longer than a connection without a peer is kept. */
const MAX_TIMER_MS = 2 ** 31 - 1

/** Opens a connection to a side. */
export function connectSide(options: PeerConnectionOptions): Promise<Result<PeerConnection<SideClient>, ConnectFailure>> {
  return openConnection(options, link => createTRPCClient<SideRouter>({ links: [link] }))
}

/** Opens a connection to an entry. */
export function connectEntry(options: PeerConnectionOptions): Promise<Result<PeerConnection<EntryClient>, ConnectFailure>> {
  return openConnection(options, link => createTRPCClient<EntryRouter>({ links: [link] }))
}

type PeerLink = ReturnType<typeof wsLink>

async function openConnection<Client>(
  options: PeerConnectionOptions,
  createClient: (link: PeerLink) => Client,
): Promise<Result<PeerConnection<Client>, ConnectFailure>> {
  const socketConnection = new SocketConnection(options)
  const opened = await socketConnection.opened
  if (opened.isErr())
    return opened
  return Ok({
    client: createClient(socketConnection.createLink()),
    closed: socketConnection.closed,
    isOpen: () => socketConnection.isOpen,
    messagesSent: () => socketConnection.messagesSent,
    close: () => socketConnection.close(),
  })
}

/** Lifecycle of one WebSocket, from the connection attempt until it is closed. */
class SocketConnection {
  /** Resolves when the connection is open or the attempt has failed. */
  readonly opened: Promise<Result<void, ConnectFailure>>
  messagesSent = 0
  private isEstablished = false
  private readonly closeController = new AbortController()
  private readonly socketClient: ReturnType<typeof createWSClient>
  private resolveOpened!: (result: Result<void, ConnectFailure>) => void

  constructor(options: PeerConnectionOptions) {
    this.opened = new Promise((resolve) => {
      this.resolveOpened = resolve
    })
    this.socketClient = createWSClient({
      url: `ws://${options.address}`,
      WebSocket: createSocketClass(options, () => this.messagesSent++) as unknown as typeof globalThis.WebSocket,
      retryDelayMs: () => MAX_TIMER_MS,
      onOpen: () => this.handleOpen(),
      onClose: () => this.handleClose(ConnectFailure.Failed),
      onError: event => this.handleClose(classifyError(event)),
    })
  }

  /** Aborts when the connection is lost or closed. */
  get closed(): AbortSignal {
    return this.closeController.signal
  }

  /** The socket itself is checked as well, because it closes some time after the peer has ended the connection. */
  get isOpen(): boolean {
    return this.isEstablished && this.socketClient.connection?.ws?.readyState === WebSocket.OPEN
  }

  createLink(): PeerLink {
    return wsLink({ client: this.socketClient }) as PeerLink
  }

  close(): void {
    this.handleClose(ConnectFailure.Failed)
    this.socketClient.connection?.ws.close()
  }

  private handleOpen(): void {
    this.isEstablished = true
    this.resolveOpened(Ok(undefined))
  }

  private handleClose(failure: ConnectFailure): void {
    this.isEstablished = false
    this.resolveOpened(Err(failure))
    this.closeController.abort()
    // Rejects if the socket never opened or is already closed: there is nothing left to close.
    void this.socketClient.close().catch(() => {})
  }
}

/** Creates a WebSocket class that sends the key when it connects, and reports each message before it is written. */
function createSocketClass(options: PeerConnectionOptions, onSend: () => void) {
  return class PeerSocket extends WebSocket {
    constructor(url: string) {
      super(url, {
        headers: { authorization: formatAuthorization(options.key) },
        handshakeTimeout: options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS,
        maxPayload: MAX_PEER_MESSAGE_BYTES,
        perMessageDeflate: false,
      })
    }

    override send(...parameters: [data: WebSocket.Data]): void {
      onSend()
      super.send(...parameters)
    }
  }
}

function classifyError(event: unknown): ConnectFailure {
  return formatError(event).includes('ECONNREFUSED') ? ConnectFailure.Refused : ConnectFailure.Failed
}

/** Outcome of a call over a connection. */
export enum CallState {
  Answered = 'answered',
  /** The connection was lost before any byte of the call was written to it. */
  NotSent = 'not-sent',
  /** The connection was lost, the call timed out or it returned an error. The call may have been sent. */
  Lost = 'lost',
}

/** Result of a call over a connection. */
export type CallResult<Value> = { state: CallState.Answered, value: Value } | { state: CallState.NotSent | CallState.Lost, message: string }

/**
 * Makes one call and stops waiting if the connection is lost or the timeout
 * expires. tRPC queues a call until the next turn of the event loop; if the
 * connection is lost before that, the call is dropped from the queue and was not
 * sent.
 */
export function callPeer<Client, Value>(
  connection: PeerConnection<Client>,
  call: (client: Client) => Promise<Value>,
  timeoutMs?: number,
): Promise<CallResult<Value>> {
  return new Promise((resolve) => {
    let timer: NodeJS.Timeout | undefined
    const settle = (result: CallResult<Value>): void => {
      clearTimeout(timer)
      connection.closed.removeEventListener('abort', onClosed)
      resolve(result)
    }
    const messagesBefore = connection.messagesSent()
    const wasNotSent = (): boolean => !connection.isOpen() && connection.messagesSent() === messagesBefore
    const fail = (message: string): void => settle({ state: wasNotSent() ? CallState.NotSent : CallState.Lost, message })
    // The listener is removed afterwards; a promise would retain every call until the connection closes.
    const onClosed = (): void => fail('the connection was lost')
    if (!connection.isOpen())
      return fail('the connection was lost')
    connection.closed.addEventListener('abort', onClosed)
    if (timeoutMs !== undefined)
      timer = setTimeout(fail, timeoutMs, `no reply within ${timeoutMs} ms`)
    call(connection.client).then(value => settle({ state: CallState.Answered, value }), error => fail(formatError(error)))
  })
}
