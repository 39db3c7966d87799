/**
 * HTTP/1.1 server for clients: reads requests, passes them to the request path,
 * and shuts down gracefully. Owns the listener, the client connections, the
 * answers that are being written and the requests in flight. If the process dies,
 * connections break and the platform's load balancer sends new requests to other
 * gateways.
 */
import type { ConnectionLimits, EventLog, RequestError } from '@eidermast/common'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import type { ConfigurationHolder } from '../../version/configuration-holder.js'
import type { ClientLimits } from '../../version/configuration.js'
import type { HeldBytes } from '../held/held-bytes.js'
import type { ClientCodec } from './client-codec.js'
import type { RequestHandler } from './client-request.js'
import type { ClientMetrics } from './client-transfers.js'
import type { ReadContext } from './request-reader.js'
import { createError, createGuardedServer, ErrorKind, formatStack, ListenerQueue } from '@eidermast/common'
import { errorCode } from '../error-codes.js'
import { BodyRoom } from './body-room.js'
import { ClientTransfers } from './client-transfers.js'
import { HttpClientResponse } from './http-client-response.js'
import { OpenRequest } from './open-request.js'
import { endReadBy } from './read-deadline.js'
import { readRequest } from './request-reader.js'

/** Limits until the first configuration is received. */
const DEFAULT_LIMITS: ClientLimits = { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
/** Node's limit, which is fixed when the server is created. It is higher than any configurable limit; the configured one is checked when a request is read. */
const MAX_HEADER_BYTES = 65_536
/** Time to receive the body of a request that no route serves. */
const UNROUTED_BODY_MS = 5000
/** Interval of Node's check for overdue request heads: they are timed out at most this much late. */
const CONNECTION_CHECK_MS = 500
/**
 * Backlog of connections to be accepted. With a shorter one, connections are
 * refused when all clients of a failed peer reconnect at once. The kernel may
 * cap it.
 */
const LISTEN_BACKLOG = 1024

/** Errors of requests whose body is discarded as it comes. */
const DISCARDED_BODY_KINDS: ReadonlySet<ErrorKind> = new Set([ErrorKind.Overloaded, ErrorKind.Stopping])

/** Dependencies of the server. */
export interface ClientServerDependencies {
  handler: RequestHandler
  codec: ClientCodec
  configuration: ConfigurationHolder
  held: HeldBytes
  metrics: ClientMetrics
  log: EventLog
  connections: ConnectionLimits
}

/** Serves clients until it is closed. */
export class ClientServer {
  private readonly server: Server
  private readonly listenerQueue: ListenerQueue
  /** Undefined without a limit on held bytes: then no client is cut off. */
  private readonly transfers: ClientTransfers | undefined
  private limits = DEFAULT_LIMITS
  /** Requests in flight, until their answers are written. */
  private readonly open = new Set<OpenRequest>()
  private draining = false
  private refusing = false

  constructor(private readonly dependencies: ClientServerDependencies) {
    const { configuration, held, metrics, log, connections } = dependencies
    const options = { maxHeaderSize: MAX_HEADER_BYTES, connectionsCheckingInterval: CONNECTION_CHECK_MS, noDelay: true }
    this.server = createGuardedServer(options, connections, (event, fields) => log.write(event, fields)).server
    this.server.on('request', (message, response) => void this.handle(message, response))
    this.listenerQueue = new ListenerQueue(this.server, waitMs => log.write('listener-late', { waitMs: Math.round(waitMs) }))
    this.server.on('clientError', (error, socket) => this.rejectMalformed(error, socket))
    this.server.on('connection', socket => void socket.on('close', () => held.closeConnection(socket)))
    // Until then, clients that stop are cut off, also during a shutdown.
    this.server.once('close', () => this.transfers?.stop())
    this.applyLimits(DEFAULT_LIMITS)
    configuration.onChange(table => this.applyLimits(table.configuration.limits))
    if (Number.isFinite(held.limitBytes))
      this.transfers = new ClientTransfers(metrics, log)
  }

  /** Number of requests in flight, until their answers are written. */
  get activeRequests(): number {
    return this.open.size
  }

  /** For how long connections that are accepted now have waited at least, in milliseconds. */
  get listenerWaitMs(): number {
    return this.listenerQueue.waitMs
  }

  /** Starts listening; rejects if the address cannot be bound. */
  listen(port: number, host: string): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen({ port, host, backlog: LISTEN_BACKLOG }, () => resolve())
    })
  }

  /** Keeps serving requests, but asks clients to close their connections with each response. */
  beginDrain(): void {
    this.draining = true
  }

  /** Closes idle connections and rejects new requests, which clients may retry at another gateway. */
  rejectNew(): void {
    this.refusing = true
    this.server.closeIdleConnections()
  }

  /** Ends requests in flight before their answers; each one gets the error of a request that ends with the process. */
  endRequests(isEnded: (request: OpenRequest) => boolean): void {
    for (const request of this.open) {
      if (isEnded(request))
        request.stop()
    }
  }

  /** Closes the listener and idle connections; responses in flight are completed. */
  close(): void {
    this.refusing = true
    this.server.close()
    this.server.closeIdleConnections()
  }

  private applyLimits(limits: ClientLimits): void {
    this.limits = limits
    this.server.headersTimeout = limits.headerTimeoutMs
    this.server.requestTimeout = 0
    this.server.keepAliveTimeout = limits.idleTimeoutMs
  }

  private async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
    // The connection was answered by `rejectMalformed`; a 408 promises that what arrives after it does not run.
    if (message.socket.writableEnded)
      return message.socket.destroySoon()
    const closed = new Promise(resolve => response.once('close', resolve))
    const arrivedAt = this.listenerQueue.arrivalOf(message.socket)
    const lateness = this.listenerQueue.latenessOf(arrivedAt)
    const { codec, held, log } = this.dependencies
    const head = codec.readHead(message.rawHeaders)
    const requestId = head.isOk() ? head.value.requestId : undefined
    const holding = held.open(message.socket)
    const clientResponse = new HttpClientResponse(response, codec, requestId, holding, () => this.draining)
    const endTracking = this.transfers?.trackAnswer(clientResponse)
    const request = new OpenRequest(clientResponse)
    this.open.add(request)
    handleDisconnect(response, () => request.disconnect())
    response.on('close', () => {
      endTracking?.()
      holding.closeAnswer()
    })
    try {
      const room = new BodyRoom(holding, request.signal, log)
      await this.serve(message, { head, limits: this.limits, refusing: this.refusing, arrivedAt, lateness, room }, clientResponse, request)
    }
    catch (error) {
      this.handleInternalError(error, clientResponse)
    }
    finally {
      holding.endCall()
      await closed
      this.open.delete(request)
    }
  }

  private async serve(message: IncomingMessage, context: ReadContext, clientResponse: HttpClientResponse, open: OpenRequest): Promise<void> {
    open.deadlineAt = this.deadlineOf(message, context)
    const reading = this.transfers?.readRequest(message, context) ?? readRequest(message, context)
    const request = await endReadBy(open.deadlineAt, open.signal, reading)
    open.isRead = true
    if (request?.isOk())
      await this.dependencies.handler.serve(request.value, clientResponse, open.signal, open)
    else if (request?.isErr() && DISCARDED_BODY_KINDS.has(request.error.kind))
      this.refuseUnread(message, request.error, clientResponse)
    else if (request?.isErr())
      clientResponse.reject(request.error)
  }

  /** When a request has to be read, on the monotonic clock in milliseconds. */
  private deadlineOf({ url }: IncomingMessage, { head, arrivedAt }: ReadContext): number {
    const deadlineAt = head.isOk() ? this.dependencies.handler.deadlineOf({ path: url!, head: head.value, arrivedAt }) : undefined
    return deadlineAt ?? arrivedAt + UNROUTED_BODY_MS
  }

  /** Refuses a request that its client may send elsewhere or later. Its body is discarded as it comes: closing its connection now could cost its client the answer. */
  private refuseUnread(message: IncomingMessage, error: RequestError, clientResponse: HttpClientResponse): void {
    clientResponse.fail(error)
    message.resume()
  }

  private handleInternalError(error: unknown, clientResponse: HttpClientResponse): void {
    this.dependencies.log.write('internal-error', { error: formatStack(error) })
    if (clientResponse.started)
      clientResponse.cutOff()
    else
      clientResponse.fail(createError(ErrorKind.Internal, 'internal error of the gateway'))
  }

  /** Responds to data that is not valid HTTP, or to a request head that timed out. */
  private rejectMalformed(error: Error, socket: Duplex): void {
    this.dependencies.log.write('client-error', { error: error.message })
    if (socket.writable)
      socket.end(`HTTP/1.1 ${statusOfParseError(error)}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
    else
      socket.destroy()
  }
}

/** Calls back when the client disconnects before the response is complete. */
function handleDisconnect(response: ServerResponse, onDisconnect: () => void): void {
  response.on('close', () => {
    if (!response.writableFinished)
      onDisconnect()
  })
  response.on('error', onDisconnect)
}

function statusOfParseError(error: Error): string {
  switch (errorCode(error)) {
    case 'HPE_HEADER_OVERFLOW':
      return '431 Request Header Fields Too Large'
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return '408 Request Timeout'
    default:
      return '400 Bad Request'
  }
}
