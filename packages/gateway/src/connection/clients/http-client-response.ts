/**
 * Writes the response to a client's request. Exists as long as Node's
 * `ServerResponse`. If the process dies, the connection breaks, so that clients
 * do not take a partial response for a complete one.
 */
import type { RequestError } from '@eidermast/common'
import type { ServerResponse } from 'node:http'
import type { HeaderList } from '../backends/backend-client.js'
import type { ClientCodec } from './client-codec.js'
import type { ClientResponse } from './client-response.js'

/** Responds over HTTP/1.1. */
export class HttpClientResponse implements ClientResponse {
  constructor(
    private readonly response: ServerResponse,
    private readonly codec: ClientCodec,
    private readonly requestId: string | undefined,
    /** Whether the client should close its connection after this response. */
    private readonly shouldClose: () => boolean,
  ) {}

  get started(): boolean {
    return this.response.headersSent
  }

  sendComplete(status: number, headers: HeaderList, body: Buffer): void {
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
      throw new Error('client disconnected')
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

  cutOff(): void {
    this.response.destroy()
  }

  fail(error: RequestError): void {
    const { status, headers } = this.codec.errorHead(error, this.requestId)
    const body = Buffer.from(JSON.stringify({ kind: error.kind, message: error.message, ran: error.ran }))
    this.sendComplete(status, [...headers, ['content-type', 'application/json']], body)
  }

  /** Responds with an error to a request that was not read to its end; its connection cannot be reused. */
  reject(error: RequestError): void {
    this.response.setHeader('connection', 'close')
    this.fail(error)
  }

  private writeHead(status: number, headers: HeaderList): void {
    if (this.shouldClose())
      this.response.setHeader('connection', 'close')
    for (const [name, value] of headers)
      this.response.appendHeader(name, value)
    this.response.writeHead(status)
  }
}
