/**
 * Forwards a backend server's response to the client. Non-streaming responses
 * are buffered to the end first, as far as there is room for them; streams are forwarded event by event. A
 * truncated response is never framed as complete. Holds the bytes
 * of a buffered response until they are sent, and of a stream only the
 * incomplete event; if the process exits, both are lost and the connections break.
 */
import type { Result } from 'ts-results-es'
import type { BackendResponse } from '../../connection/backends/backend-client.js'
import type { AnswerRoom, ClientResponse } from '../../connection/clients/client-response.js'
import type { Probe } from './stall-detector.js'
import { Buffer } from 'node:buffer'
import { formatError } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import { MAX_BUFFERED_RESPONSE_BYTES } from '../../connection/held/room-decision.js'
import { atLeastOneMs } from '../deadlines.js'
import { EventSplitter } from './event-splitter.js'
import { EventTransfer } from './event-transfer.js'
import { StallDetector } from './stall-detector.js'

/** A part of a body is copied if the buffer in which it was received is larger by this factor. */
const MAX_BUFFER_RATIO = 1.25

/** A non-streaming response that was read to its end. */
export interface BufferedResponse {
  response: BackendResponse
  /** In parts, as they were received. */
  body: readonly Buffer[]
  /** Milliseconds for which it waited for room in this process. */
  waitedMs: number
}

/** A response that could not be buffered. */
export interface BufferFailure {
  message: string
  /** Milliseconds for which it waited for room in this process. */
  waitedMs: number
}

/** What limits the buffering of a response. */
export interface BufferOptions {
  /** Aborts the call when the time runs out. */
  controller: AbortController
  /** Milliseconds until the request's deadline. */
  remainingMs: number
  /** @default unlimited */
  room?: AnswerRoom
}

/** Buffers a response; returns an error if it breaks off, is too large or takes too long. */
export async function bufferResponse(response: BackendResponse, { controller, remainingMs, room }: BufferOptions): Promise<Result<BufferedResponse, BufferFailure>> {
  const timer = setTimeout(() => controller.abort(), atLeastOneMs(remainingMs))
  const buffer = new ResponseBuffer(response, controller.signal, room)
  try {
    await buffer.read()
    return Ok({ response, body: buffer.parts, waitedMs: buffer.waitedMs })
  }
  catch (error) {
    response.destroy()
    room?.release(buffer.claimedBytes)
    return Err({ message: formatError(error), waitedMs: buffer.waitedMs })
  }
  finally {
    clearTimeout(timer)
  }
}

/** Reads the body of a response, and claims room before it reads on: the whole if its length is known. */
class ResponseBuffer {
  readonly parts: Buffer[] = []
  claimedBytes = 0
  waitedMs = 0
  private size = 0

  constructor(
    private readonly response: BackendResponse,
    private readonly signal: AbortSignal,
    private readonly room: AnswerRoom | undefined,
  ) {}

  /** Throws if the body breaks off, is too large or got no room. */
  async read(): Promise<void> {
    const { body, bodyBytes = 0 } = this.response
    checkSize(bodyBytes)
    await this.claimUpTo(bodyBytes)
    for await (const part of body) {
      this.size += part.length
      checkSize(this.size)
      await this.claimUpTo(this.size)
      this.parts.push(detachPart(part))
    }
  }

  private async claimUpTo(bytes: number): Promise<void> {
    const missing = bytes - this.claimedBytes
    if (!this.room || missing <= 0)
      return
    const claimed = this.room.claim(missing, this.signal)
    const granted = typeof claimed === 'boolean' ? claimed : await this.awaitRoom(claimed)
    if (!granted)
      throw new Error('no room for the response in time')
    this.claimedBytes = bytes
  }

  private async awaitRoom(claimed: Promise<boolean>): Promise<boolean> {
    const startedAt = performance.now()
    const granted = await claimed
    this.waitedMs += performance.now() - startedAt
    return granted
  }
}

/** Returns a part that keeps no larger buffer in memory than its own bytes, which are what is counted. */
function detachPart(part: Buffer): Buffer {
  return part.buffer.byteLength > part.length * MAX_BUFFER_RATIO ? Buffer.from(part) : part
}

function checkSize(bytes: number): void {
  if (bytes > MAX_BUFFERED_RESPONSE_BYTES)
    throw new Error(`response body exceeds the limit of ${MAX_BUFFERED_RESPONSE_BYTES} bytes`)
}

/** Sends a buffered response to the client, with its length. */
export function sendBuffered({ response, body }: BufferedResponse, clientResponse: ClientResponse): void {
  clientResponse.sendComplete(response.status, response.headers, body)
}

/** Dependencies and limits of a stream relay. */
export interface RelayOptions {
  /** Aborts the call when the time runs out or the backend server stops responding. */
  controller: AbortController
  /** Milliseconds until the request's deadline. */
  remainingMs: number
  /** Milliseconds from the first byte of an event to its last. */
  maxEventTransferMs: number
  probe: Probe
  /** Called just before an event is forwarded. */
  onEvent: (id: string | undefined) => void
}

/** Forwards the events of one response; returns an error if it breaks off, is truncated or runs out of time. */
export async function relayStream(response: BackendResponse, clientResponse: ClientResponse, options: RelayOptions): Promise<Result<void, string>> {
  const { controller } = options
  const timer = setTimeout(() => controller.abort(), atLeastOneMs(options.remainingMs))
  const stallDetector = new StallDetector(options.probe, () => controller.abort())
  const transfer = new EventTransfer(options.maxEventTransferMs, () => controller.abort())
  try {
    if (!clientResponse.started)
      clientResponse.begin(response.status, response.headers)
    await forwardEvents(response, clientResponse, { stallDetector, transfer, onEvent: options.onEvent })
    clientResponse.end()
    return Ok(undefined)
  }
  catch (error) {
    response.destroy()
    return Err(transfer.failure ?? formatError(error))
  }
  finally {
    clearTimeout(timer)
    stallDetector.stop()
    transfer.end()
  }
}

/** What observes the events of a stream. */
interface StreamObservers extends Pick<RelayOptions, 'onEvent'> {
  stallDetector: StallDetector
  transfer: EventTransfer
}

async function forwardEvents(response: BackendResponse, clientResponse: ClientResponse, { stallDetector, transfer, onEvent }: StreamObservers): Promise<void> {
  const splitter = new EventSplitter()
  for await (const bytes of response.body) {
    const events = splitter.push(bytes)
    // Bytes that complete no event are no sign of progress.
    if (events.length > 0) {
      stallDetector.recordActivity()
      transfer.end()
    }
    for (const event of events) {
      onEvent(event.id)
      await clientResponse.send(event.bytes)
    }
    if (splitter.hasPartial)
      transfer.begin()
  }
  if (splitter.hasPartial && !response.framed)
    throw new Error('the response has no content length or chunked framing, and ends inside an event')
  if (splitter.hasPartial)
    await clientResponse.send(splitter.partial)
}
