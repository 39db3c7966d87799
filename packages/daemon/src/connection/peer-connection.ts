/**
 * One life of a connection to a peer: a tRPC client over one WebSocket. A lost
 * connection is never resumed here, since a call that was under way may have
 * been received; whoever made it decides whether to ask again.
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

/** Options of a peer connection. */
export interface PeerConnectionOptions {
  /** Address of the peer, as `host:port`. */
  address: string
  key: string
  /**
   * Milliseconds until opening is given up.
   * @default 1000
   */
  connectTimeoutMs?: number
}

/** One open connection to a peer. */
export interface PeerConnection<Client> {
  client: Client
  /** Aborts when the connection is lost or closed. */
  closed: AbortSignal
  isOpen: () => boolean
  close: () => void
}

/** Why a connection could not be opened. */
export enum ConnectFailure {
  /** Nobody listens at the address: the process that did is over. */
  Refused = 'refused',
  /** No answer in time, or not the answer of a peer. */
  Failed = 'failed',
}

export type SideClient = TRPCClient<SideRouter>
export type EntryClient = TRPCClient<EntryRouter>

/** A reconnect that never happens within a process life. */
const NEVER_MS = 2 ** 31 - 1

/** Creates the WebSocket class that shows the key when it connects. */
function createSocketClass(options: PeerConnectionOptions) {
  return class PeerSocket extends WebSocket {
    constructor(url: string) {
      super(url, {
        headers: { authorization: formatAuthorization(options.key) },
        handshakeTimeout: options.connectTimeoutMs ?? 1000,
        maxPayload: MAX_PEER_MESSAGE_BYTES,
        perMessageDeflate: false,
      })
    }
  }
}

/** Opens a connection to a side. */
export function connectSide(options: PeerConnectionOptions): Promise<Result<PeerConnection<SideClient>, ConnectFailure>> {
  return openConnection(options, link => createTRPCClient<SideRouter>({ links: [link] }))
}

/** Opens a connection to an entry. */
export function connectEntry(options: PeerConnectionOptions): Promise<Result<PeerConnection<EntryClient>, ConnectFailure>> {
  return openConnection(options, link => createTRPCClient<EntryRouter>({ links: [link] }))
}

type PeerLink = ReturnType<typeof wsLink>

async function openConnection<Client>(options: PeerConnectionOptions, createClient: (link: PeerLink) => Client): Promise<Result<PeerConnection<Client>, ConnectFailure>> {
  let open = false
  const closing = new AbortController()
  let reportOpen!: (result: Result<void, ConnectFailure>) => void
  const opened = new Promise<Result<void, ConnectFailure>>((resolve) => {
    reportOpen = resolve
  })
  const end = (failure: ConnectFailure): void => {
    open = false
    reportOpen(Err(failure))
    closing.abort()
    void socketClient.close().catch(() => {})
  }
  const socketClient = createWSClient({
    url: `ws://${options.address}`,
    WebSocket: createSocketClass(options) as unknown as typeof globalThis.WebSocket,
    retryDelayMs: () => NEVER_MS,
    onOpen: () => {
      open = true
      reportOpen(Ok(undefined))
    },
    onClose: () => end(ConnectFailure.Failed),
    onError: event => end(formatError(event).includes('ECONNREFUSED') ? ConnectFailure.Refused : ConnectFailure.Failed),
  })
  const result = await opened
  if (result.isErr())
    return result
  const client = createClient(wsLink({ client: socketClient }) as PeerLink)
  const close = (): void => {
    end(ConnectFailure.Failed)
    socketClient.connection?.ws.close()
  }
  return Ok({ client, closed: closing.signal, isOpen: () => open, close })
}

/** How a call over a connection ended. */
export enum CallState {
  Answered = 'answered',
  /** The connection was lost, or the wait was over, after the call may have been sent. */
  Lost = 'lost',
}

/** The end of a call over a connection. */
export type CallResult<Value> = { state: CallState.Answered, value: Value } | { state: CallState.Lost, message: string }

/** Makes one call and stops waiting when the connection is lost or the time is over. */
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
    const lose = (message: string): void => settle({ state: CallState.Lost, message })
    // A listener that is removed, since a promise would hold every call until the connection ends.
    const onClosed = (): void => lose('the connection was lost')
    if (connection.closed.aborted)
      return lose('the connection was lost')
    connection.closed.addEventListener('abort', onClosed)
    if (timeoutMs !== undefined)
      timer = setTimeout(lose, timeoutMs, `no answer within ${timeoutMs} ms`)
    call(connection.client).then(value => settle({ state: CallState.Answered, value }), error => lose(formatError(error)))
  })
}
