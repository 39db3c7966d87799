/**
 * The clients' side: one HTTP/1.1 server, one task for each request, limits
 * on what a client may send, and an orderly end.
 */
import type { EventLog, RequestError } from '@eidermast/common'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Result } from 'ts-results-es'
import type { ConfigurationHolder } from '../version/configuration-holder.js'
import type { ClientLimits } from '../version/configuration.js'
import type { HeaderList } from './backend-client.js'
import type { ClientAnswer } from './client-answer.js'
import type { ClientCodec, ClientRequestHead } from './client-codec.js'
import type { RequestHandler } from './client-request.js'
import { createServer } from 'node:http'
import { createError, ErrorKind } from '@eidermast/common'

/** Bounds until a configuration brings its own. */
const DEFAULT_LIMITS: ClientLimits = { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
/** Node fixes this at the server's start; the configured limit is checked beside it. */
const MAX_HEADER_BYTES = 65_536
const CONNECTION_CHECK_MS = 500
const LISTEN_BACKLOG = 1024

/** Serves clients until it is drained. */
export class ClientServer {
  private readonly server: Server
  private limits = DEFAULT_LIMITS
  private active = 0
  private draining = false
  private refusing = false

  constructor(
    private readonly handler: RequestHandler,
    private readonly codec: ClientCodec,
    configuration: ConfigurationHolder,
    private readonly log: EventLog,
  ) {
    this.server = createServer({ maxHeaderSize: MAX_HEADER_BYTES, connectionsCheckingInterval: CONNECTION_CHECK_MS, noDelay: true }, (request, response) => void this.handle(request, response))
    this.server.on('clientError', (error, socket) => {
      this.log.write('client-error', { error: error.message })
      if (socket.writable)
        socket.end(`HTTP/1.1 ${statusOfParseError(error)}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
      else
        socket.destroy()
    })
    this.applyLimits(DEFAULT_LIMITS)
    configuration.onChange(table => this.applyLimits(table.configuration.limits))
  }

  /** Requests that have no answer yet. */
  get activeRequests(): number {
    return this.active
  }

  listen(port: number, host: string): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen({ port, host, backlog: LISTEN_BACKLOG }, () => resolve())
    })
  }

  address(): ReturnType<Server['address']> {
    return this.server.address()
  }

  /** Answers go on; each tells its client to close the connection. */
  beginDrain(): void {
    this.draining = true
  }

  /** Idle connections are closed; what still comes is told to come back elsewhere. */
  refuseNew(): void {
    this.refusing = true
    this.server.closeIdleConnections()
  }

  close(): void {
    this.server.close()
    this.server.closeIdleConnections()
  }

  private applyLimits(limits: ClientLimits): void {
    this.limits = limits
    this.server.headersTimeout = limits.headerTimeoutMs
    this.server.requestTimeout = 0
    this.server.keepAliveTimeout = limits.idleTimeoutMs
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.active++
    const arrivedAt = performance.now()
    const leaving = new AbortController()
    response.on('close', () => {
      if (!response.writableFinished)
        leaving.abort()
    })
    response.on('error', () => leaving.abort())
    const head = this.codec.readHead(request.rawHeaders)
    const requestId = head.isOk() ? head.value.requestId : undefined
    const answer = new ResponseAnswer(response, this.codec, requestId, () => this.draining)
    try {
      await this.serve(request, head, answer, arrivedAt, leaving.signal)
    }
    catch (error) {
      this.log.write('internal-error', { error: error instanceof Error ? error.stack ?? error.message : String(error) })
      if (answer.started)
        answer.breakOff()
      else
        answer.fail(createError(ErrorKind.Internal, 'the gateway failed'))
    }
    finally {
      this.active--
    }
  }

  private async serve(request: IncomingMessage, head: Result<ClientRequestHead, string>, answer: ResponseAnswer, arrivedAt: number, signal: AbortSignal): Promise<void> {
    if (head.isErr())
      return answer.reject(createError(ErrorKind.InvalidRequest, head.error))
    if (headerBytes(request) > this.limits.maxHeaderBytes)
      return answer.reject(createError(ErrorKind.HeadersTooLarge, `send at most ${this.limits.maxHeaderBytes} bytes of headers`))
    if (this.refusing)
      return answer.reject(createError(ErrorKind.Stopping, 'this gateway is stopping; come back', { retryAfterMs: 100 }))
    const body = await this.readBody(request)
    if (body === 'too-large')
      return answer.reject(createError(ErrorKind.BodyTooLarge, `send at most ${this.limits.maxBodyBytes} bytes`))
    if (body === 'broken')
      return
    await this.handler.serve({ method: request.method!, path: request.url!, head: head.value, body, arrivedAt }, answer, signal)
  }

  private async readBody(request: IncomingMessage): Promise<Buffer | undefined | 'too-large' | 'broken'> {
    const hasBody = request.headers['content-length'] !== undefined || request.headers['transfer-encoding'] !== undefined
    if (!hasBody)
      return undefined
    const chunks: Buffer[] = []
    let size = 0
    try {
      for await (const chunk of request as AsyncIterable<Buffer>) {
        size += chunk.length
        if (size > this.limits.maxBodyBytes)
          return 'too-large'
        chunks.push(chunk)
      }
    }
    catch {
      return 'broken'
    }
    return Buffer.concat(chunks)
  }
}

/** Writes the one answer of a request to its connection. */
class ResponseAnswer implements ClientAnswer {
  constructor(
    private readonly response: ServerResponse,
    private readonly codec: ClientCodec,
    private readonly requestId: string | undefined,
    private readonly closing: () => boolean,
  ) {}

  get started(): boolean {
    return this.response.headersSent
  }

  sendWhole(status: number, headers: HeaderList, body: Buffer): void {
    this.writeHead(status, [...headers, ['content-length', String(body.length)]])
    this.response.end(body)
  }

  begin(status: number, headers: HeaderList): void {
    this.writeHead(status, headers)
    this.response.flushHeaders()
  }

  beginUnframed(status: number, headers: HeaderList): void {
    this.response.removeHeader('content-length')
    this.response.removeHeader('transfer-encoding')
    this.response.setHeader('connection', 'close')
    this.begin(status, headers)
  }

  async send(bytes: Buffer): Promise<void> {
    if (this.response.destroyed)
      throw new Error('the client left')
    if (this.response.write(bytes))
      return
    await new Promise<void>((resolve) => {
      this.response.once('drain', resolve)
      this.response.once('close', resolve)
    })
  }

  end(): void {
    this.response.end()
  }

  breakOff(): void {
    this.response.destroy()
  }

  fail(error: RequestError): void {
    const { status, headers } = this.codec.errorHead(error, this.requestId)
    const body = Buffer.from(JSON.stringify({ kind: error.kind, message: error.message, ran: error.ran }))
    this.sendWhole(status, [...headers, ['content-type', 'application/json']], body)
  }

  /** Fails a request that was not read to its end; its connection cannot be used again. */
  reject(error: RequestError): void {
    this.response.setHeader('connection', 'close')
    this.fail(error)
  }

  private writeHead(status: number, headers: HeaderList): void {
    if (this.closing())
      this.response.setHeader('connection', 'close')
    for (const [name, value] of headers)
      this.response.appendHeader(name, value)
    this.response.writeHead(status)
  }
}

function headerBytes(request: IncomingMessage): number {
  const separators = 4
  return request.rawHeaders.reduce((sum, text) => sum + text.length, 0) + request.rawHeaders.length / 2 * separators + (request.url?.length ?? 0)
}

function statusOfParseError(error: Error): string {
  const code = 'code' in error ? error.code : undefined
  if (code === 'HPE_HEADER_OVERFLOW')
    return '431 Request Header Fields Too Large'
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT')
    return '408 Request Timeout'
  return '400 Bad Request'
}
