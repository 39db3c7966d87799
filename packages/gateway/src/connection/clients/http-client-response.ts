/**
 * Writes the response to a client's request, and counts what of it the client has
 * not taken. Exists as long as Node's `ServerResponse`. Every response has a
 * length or is chunked, so that clients never take the end of a connection, for
 * instance because this process died, for the end of the response.
 */
import type { RequestError } from '@eidermast/common'
import type { ServerResponse } from 'node:http'
import type { HeaderList } from '../backends/backend-client.js'
import type { Holding } from '../held/held-bytes.js'
import type { ClientCodec } from './client-codec.js'
import type { TransferProgress } from './client-cut-off.js'
import type { AnswerRoom, ClientResponse } from './client-response.js'
import { HeldKind, SMALL_BYTES } from '../held/room-decision.js'

/**
 * Bytes of a large response that are written at once. Few enough that progress on
 * a slow link shows.
 */
const SLICE_BYTES = 16_384

/** Responds over HTTP/1.1. */
export class HttpClientResponse implements ClientResponse {
  /** Body bytes passed to Node. */
  private passedBytes = 0
  /** Body bytes of a large response that are not passed to Node yet. */
  private waitingBytes = 0
  constructor(
    private readonly response: ServerResponse,
    private readonly codec: ClientCodec,
    readonly requestId: string | undefined,
    private readonly holding: Holding,
    /** Whether the client should close its connection after this response. */
    private readonly shouldClose: () => boolean,
  ) {}

  get started(): boolean {
    return this.response.headersSent
  }

  get room(): AnswerRoom {
    const { holding } = this
    return {
      claim: (bytes, signal) => {
        const decision = holding.claim({ kind: HeldKind.Answer, bytes, signal })
        return decision instanceof Promise ? decision.then(({ granted }) => granted) : decision.granted
      },
      release: bytes => holding.release(HeldKind.Answer, bytes),
    }
  }

  /** What the client has taken. */
  get progress(): TransferProgress {
    const { writableLength, socket } = this.response
    return { waitingBytes: this.waitingBytes + writableLength, movedBytes: this.passedBytes - writableLength, hasTurn: socket !== null }
  }

  /** Counts what of a stream the client has not taken. */
  updateHeldBytes(): void {
    // A buffered response is counted by its claims.
    if (this.holding.ledgers[HeldKind.Answer].bytes === 0)
      this.holding.setStreamBytes(this.response.writableLength)
  }

  sendComplete(status: number, headers: HeaderList, body: readonly Buffer[]): void {
    const size = body.reduce((sum, part) => sum + part.length, 0)
    this.writeHead(status, [...headers, ['content-length', String(size)]])
    this.waitingBytes = size
    if (size > SMALL_BYTES)
      return void this.writeParts(body)
    this.pass(size)
    this.response.end(body.length === 1 ? body[0] : Buffer.concat(body))
  }

  begin(status: number, headers: HeaderList): void {
    this.writeHead(status, headers)
    this.response.flushHeaders()
  }

  async send(bytes: Buffer): Promise<void> {
    if (this.response.destroyed)
      throw new Error('client disconnected')
    this.passedBytes += bytes.length
    if (this.response.write(bytes))
      return
    this.updateHeldBytes()
    await new Promise<void>((resolve) => {
      const end = (): void => {
        this.response.off('drain', end)
        this.response.off('close', end)
        resolve()
      }
      this.response.on('drain', end)
      this.response.on('close', end)
    })
    this.updateHeldBytes()
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
    this.sendComplete(status, [...headers, ['content-type', 'application/json']], [body])
  }

  /** Responds with an error to a request that was not read to its end; its connection cannot be reused. */
  reject(error: RequestError): void {
    this.response.setHeader('connection', 'close')
    this.fail(error)
  }

  /** Writes a large body as fast as its client reads, and gives back the room of what was written. */
  private async writeParts(parts: readonly Buffer[]): Promise<void> {
    for (const part of parts) {
      for (let start = 0; start < part.length; start += SLICE_BYTES)
        await this.writeSlice(part.subarray(start, start + SLICE_BYTES))
      this.holding.release(HeldKind.Answer, part.length)
    }
    this.response.end()
  }

  /** Resolves once the kernel has the bytes; never if the connection is closed. */
  private writeSlice(slice: Buffer): Promise<void> {
    this.pass(slice.length)
    return new Promise((resolve) => {
      this.response.write(slice, (error) => {
        if (!error)
          resolve()
      })
    })
  }

  private pass(bytes: number): void {
    this.passedBytes += bytes
    this.waitingBytes -= bytes
  }

  private writeHead(status: number, headers: HeaderList): void {
    if (this.shouldClose())
      this.response.setHeader('connection', 'close')
    for (const [name, value] of headers)
      this.response.appendHeader(name, value)
    this.response.writeHead(status)
  }
}
