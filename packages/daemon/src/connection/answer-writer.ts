/**
 * Writes the one answer to a caller, as JSON or as server-sent events. Owns
 * what is written but not read yet, until the caller has read it or is cut
 * off, so that callers who do not read hold little memory and no request.
 */
import type { RequestError } from '@eidermast/common'
import type { ServerResponse } from 'node:http'
import type { RequestAnswer, WholeAnswer } from './answer.js'
import { ERROR_RESPONSES } from '@eidermast/common'

/** The unit of the header `retry-after` is the second. */
const MILLISECONDS_PER_SECOND = 1000
/**
 * Streamed text that may wait for a slow caller, in bytes. Half cuts off
 * callers on slow links sooner, twice lets each slow caller hold twice the
 * memory.
 */
const MAX_WAITING_BYTES = 1_000_000

/** Options of an answer writer. */
export interface AnswerWriterOptions {
  /** Milliseconds that a caller may take to read. */
  writeTimeoutMs: number
  /** Whether the connection is to be closed after the answer. */
  closing: () => boolean
}

/** Writes answers to one caller's request. */
export class AnswerWriter {
  private streaming = false
  private stallTimer: NodeJS.Timeout | undefined

  constructor(private readonly response: ServerResponse, private readonly options: AnswerWriterOptions) {}

  /** Sends one streamed token; the first one begins the event stream. */
  sendToken(index: number, text: string): void {
    if (this.response.destroyed)
      return
    if (!this.streaming) {
      this.streaming = true
      this.response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store' })
    }
    this.writeEvent('token', { index, text })
  }

  /** Sends the answer of a pipeline request. */
  sendAnswer(answer: RequestAnswer): void {
    if (this.streaming)
      return this.endStream(answer)
    if (answer.isErr())
      return this.sendError(answer.error)
    this.sendJson(200, formatWhole(answer.value))
  }

  /** Sends the answer of a plain service as the service gave it. */
  sendServiceAnswer(answer: RequestAnswer): void {
    if (answer.isErr())
      return this.sendError(answer.error)
    const { status = 200, contentType = 'application/octet-stream', requestId, output } = answer.value
    this.send(status, { 'content-type': contentType, 'eidermast-request-id': requestId }, output)
  }

  /** Sends an error; ends the connection with it where the caller may still be sending. */
  sendError(error: RequestError, endConnection = false): void {
    const headers: Record<string, string> = endConnection ? { connection: 'close' } : {}
    if (error.retryAfterMs !== undefined)
      headers['retry-after'] = String(Math.ceil(error.retryAfterMs / MILLISECONDS_PER_SECOND))
    this.sendJson(ERROR_RESPONSES[error.kind].status, error, headers)
  }

  sendJson(status: number, body: unknown, headers: Record<string, string> = {}): void {
    this.send(status, { 'content-type': 'application/json', ...headers }, JSON.stringify(body))
  }

  private send(status: number, headers: Record<string, string>, body: string): void {
    if (this.response.destroyed || this.response.headersSent)
      return
    if (this.options.closing())
      headers.connection = 'close'
    this.response.writeHead(status, headers)
    this.response.end(body)
    this.watchStall()
  }

  private endStream(answer: RequestAnswer): void {
    if (answer.isOk())
      this.writeEvent('done', { whole: true, ...formatWhole(answer.value) })
    else
      this.writeEvent('error', { whole: false, ...answer.error })
    this.response.end()
    this.watchStall()
  }

  private writeEvent(event: string, data: unknown): void {
    const flowing = this.response.write(`event: ${event}\ndata: ${JSON.stringify(data)}\n\n`)
    if (flowing)
      return
    if (this.response.writableLength > MAX_WAITING_BYTES) {
      this.response.destroy()
      return
    }
    this.watchStall()
  }

  /** Cuts the caller off if what was written is not read in time. */
  private watchStall(): void {
    if (this.stallTimer)
      return
    this.stallTimer = setTimeout(() => this.response.destroy(), this.options.writeTimeoutMs)
    const clear = (): void => {
      clearTimeout(this.stallTimer)
      this.stallTimer = undefined
    }
    this.response.once('drain', clear)
    this.response.once('finish', clear)
    this.response.once('close', clear)
  }
}

function formatWhole(answer: WholeAnswer): Pick<WholeAnswer, 'requestId' | 'output' | 'stages'> {
  const { requestId, output, stages } = answer
  return { requestId, output, stages }
}
