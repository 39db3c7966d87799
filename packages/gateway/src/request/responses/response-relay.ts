/**
 * Forwards a backend server's response to the client. Non-streaming responses
 * are buffered to the end first; streams are forwarded event by event. A
 * response that may be truncated is never framed as complete. Holds the bytes
 * of a buffered response until they are sent, and of a stream only the
 * incomplete event; if the process dies, both are lost and the connections break.
 */
import type { Result } from 'ts-results-es'
import type { BackendResponse } from '../../connection/backends/backend-client.js'
import type { ClientResponse } from '../../connection/clients/client-response.js'
import type { Probe } from './stall-detector.js'
import { formatError } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import { BodyFailureKind, readBody } from '../../connection/body-reader.js'
import { atLeastOneMs } from '../deadlines.js'
import { EventSplitter } from './event-splitter.js'
import { StallDetector } from './stall-detector.js'

/**
 * A larger non-streaming response is treated as broken, because it is buffered
 * in memory. Allows legitimate large responses, and keeps a few of them from
 * exhausting the process's memory.
 */
const MAX_BUFFERED_RESPONSE_BYTES = 8_000_000

/** A non-streaming response that was read to its end. */
export interface BufferedResponse {
  answer: BackendResponse
  body: Buffer
}

/** Buffers a response; returns an error if it breaks off, is too large or takes longer than `remainingMs`. */
export async function bufferResponse(
  answer: BackendResponse,
  controller: AbortController,
  remainingMs: number,
): Promise<Result<BufferedResponse, string>> {
  const timer = setTimeout(() => controller.abort(), atLeastOneMs(remainingMs))
  const body = await readBody(answer.body, MAX_BUFFERED_RESPONSE_BYTES)
  clearTimeout(timer)
  if (body.isErr()) {
    answer.destroy()
    return Err(body.error.kind === BodyFailureKind.TooLarge ? `response body is ${body.error.message}` : body.error.message)
  }
  return Ok({ answer, body: body.value })
}

/** Sends a buffered response to the client, with the same framing as the backend server used. */
export function sendBuffered({ answer, body }: BufferedResponse, client: ClientResponse): void {
  if (answer.framed)
    return client.sendComplete(answer.status, answer.headers, body)
  client.beginUnframed(answer.status, answer.headers)
  // Sending fails only if the client disconnected; the error needs no handling.
  void client.send(body).then(() => client.end(), () => {})
}

/** Dependencies and limits of a stream relay. */
export interface RelayOptions {
  /** Aborts the call when the time runs out or the backend server stops responding. */
  controller: AbortController
  /** Milliseconds until the request's deadline. */
  remainingMs: number
  probe: Probe
  /** Called just before an event is forwarded. */
  onEvent: (id: string | undefined) => void
}

/** Forwards the events of one response; returns an error if it breaks off, is truncated or runs out of time. */
export async function relayStream(answer: BackendResponse, client: ClientResponse, options: RelayOptions): Promise<Result<void, string>> {
  const { controller } = options
  const timer = setTimeout(() => controller.abort(), atLeastOneMs(options.remainingMs))
  const stallDetector = new StallDetector(options.probe, () => controller.abort())
  try {
    const resumed = client.started
    beginStream(answer, client)
    await forwardEvents(answer, client, stallDetector, options.onEvent)
    if (resumed && !answer.framed)
      return Err('resumed stream has no content length or chunked framing: cannot tell whether it is complete')
    client.end()
    return Ok(undefined)
  }
  catch (error) {
    answer.destroy()
    return Err(formatError(error))
  }
  finally {
    clearTimeout(timer)
    stallDetector.stop()
  }
}

function beginStream(answer: BackendResponse, client: ClientResponse): void {
  if (client.started)
    return
  if (answer.framed)
    client.begin(answer.status, answer.headers)
  else
    client.beginUnframed(answer.status, answer.headers)
}

async function forwardEvents(
  answer: BackendResponse,
  client: ClientResponse,
  stallDetector: StallDetector,
  onEvent: RelayOptions['onEvent'],
): Promise<void> {
  const splitter = new EventSplitter()
  for await (const bytes of answer.body) {
    stallDetector.recordActivity()
    for (const event of splitter.push(bytes)) {
      onEvent(event.id)
      await client.send(event.bytes)
    }
  }
  if (splitter.hasPartial)
    await client.send(splitter.partial)
}
