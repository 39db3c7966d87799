/**
 * Writes the response to a caller, as JSON or as server-sent events. Buffers
 * data that the caller has not read yet until it is read or the caller is
 * disconnected, so that slow readers hold little memory and no request.
 */
import type { RequestError } from '@eidermast/common'
import type { ServerResponse } from 'node:http'
import type { RequestAnswer, SuccessfulAnswer } from './answer.js'
import { ERROR_RESPONSES } from '@eidermast/common'

const MILLISECONDS_PER_SECOND = 1000
/**
 * Maximum streamed data buffered for a slow caller. Bounds the memory that one can
 * hold, at the cost of disconnecting callers on slow links.
 */
const MAX_BUFFERED_BYTES = 1_000_000

export interface AnswerWriterOptions {
  /** Time that a caller may take to read written data. */
  writeTimeoutMs: number
  /** Whether the connection must be closed after the response. */
  shouldClose: () => boolean
}

/** Writes the response to one caller's request. */
export class AnswerWriter {
  private streaming = false
  private stallTimer: NodeJS.Timeout | undefined

  constructor(private readonly response: ServerResponse, private readonly options: AnswerWriterOptions) {}

  /** Sends one streamed token; the first one starts the event stream. */
  sendToken(index: number, text: string): void {
    if (this.response.destroyed)
      return
    if (!this.streaming) {
      this.streaming = true
      this.response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store' })
    }
    this.writeEvent('token', { index, text })
  }

  /** Sends the result of a pipeline request. */
  sendAnswer(answer: RequestAnswer): void {
    if (this.streaming)
      return this.endStream(answer)
    if (answer.isErr())
      return this.sendError(answer.error)
    this.sendJson(200, pickResponseFields(answer.value))
  }

  /** Sends the response of a plain service unchanged. */
  sendServiceAnswer(answer: RequestAnswer): void {
    if (answer.isErr())
      return this.sendError(answer.error)
    const { status = 200, contentType = 'application/octet-stream', requestId, output } = answer.value
    this.send(status, { 'content-type': contentType, 'eidermast-request-id': requestId }, output)
  }

  /** Sends an error. `endConnection` closes the connection afterwards, for callers that may still be sending. */
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
    if (this.options.shouldClose())
      headers.connection = 'close'
    this.response.writeHead(status, headers)
    this.response.end(body)
    this.startStallTimer()
  }

  private endStream(answer: RequestAnswer): void {
    if (answer.isOk())
      this.writeEvent('done', { whole: true, ...pickResponseFields(answer.value) })
    else
      this.writeEvent('error', { whole: false, ...answer.error })
    this.response.end()
    this.startStallTimer()
  }

  private writeEvent(event: string, data: unknown): void {
    const hasCapacity = this.response.write(`event: ${event}\ndata: ${JSON.stringify(data)}\n\n`)
    if (hasCapacity)
      return
    if (this.response.writableLength > MAX_BUFFERED_BYTES) {
      this.response.destroy()
      return
    }
    this.startStallTimer()
  }

  /** Disconnects the caller if it does not read the written data in time. */
  private startStallTimer(): void {
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

function pickResponseFields(answer: SuccessfulAnswer): Pick<SuccessfulAnswer, 'requestId' | 'output' | 'stages'> {
  const { requestId, output, stages } = answer
  return { requestId, output, stages }
}
