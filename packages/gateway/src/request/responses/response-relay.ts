/**
 * Forwards a backend server's response to the client. Non-streaming responses
 * are buffered to the end first; streams are forwarded event by event. A
 * response that may be truncated is never framed as complete. Holds the bytes
 * of a buffered response until they are sent, and of a stream only the
 * incomplete event; if the process exits, both are lost and the connections break.
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
  response: BackendResponse
  body: Buffer
}

/** Buffers a response; returns an error if it breaks off, is too large or takes longer than `remainingMs`. */
export async function bufferResponse(
  response: BackendResponse,
  controller: AbortController,
  remainingMs: number,
): Promise<Result<BufferedResponse, string>> {
  const timer = setTimeout(() => controller.abort(), atLeastOneMs(remainingMs))
  const body = await readBody(response.body, MAX_BUFFERED_RESPONSE_BYTES)
  clearTimeout(timer)
  if (body.isErr()) {
    response.destroy()
    return Err(body.error.kind === BodyFailureKind.TooLarge ? `response body is ${body.error.message}` : body.error.message)
  }
  return Ok({ response, body: body.value })
}

/** Sends a buffered response to the client, with the same framing as the backend server used. */
export function sendBuffered({ response, body }: BufferedResponse, clientResponse: ClientResponse): void {
  if (response.framed)
    return clientResponse.sendComplete(response.status, response.headers, body)
  clientResponse.beginUnframed(response.status, response.headers)
  // Sending fails only if the client disconnected; the error needs no handling.
  void clientResponse.send(body).then(() => clientResponse.end(), () => {})
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
export async function relayStream(response: BackendResponse, clientResponse: ClientResponse, options: RelayOptions): Promise<Result<void, string>> {
  const { controller } = options
  const timer = setTimeout(() => controller.abort(), atLeastOneMs(options.remainingMs))
  const stallDetector = new StallDetector(options.probe, () => controller.abort())
  try {
    const resumed = clientResponse.started
    beginStream(response, clientResponse)
    await forwardEvents(response, clientResponse, stallDetector, options.onEvent)
    if (resumed && !response.framed)
      return Err('resumed stream has no content length or chunked framing: cannot tell whether it is complete')
    clientResponse.end()
    return Ok(undefined)
  }
  catch (error) {
    response.destroy()
    return Err(formatError(error))
  }
  finally {
    clearTimeout(timer)
    stallDetector.stop()
  }
}

function beginStream(response: BackendResponse, clientResponse: ClientResponse): void {
  if (clientResponse.started)
    return
  if (response.framed)
    clientResponse.begin(response.status, response.headers)
  else
    clientResponse.beginUnframed(response.status, response.headers)
}

async function forwardEvents(
  response: BackendResponse,
  clientResponse: ClientResponse,
  stallDetector: StallDetector,
  onEvent: RelayOptions['onEvent'],
): Promise<void> {
  const splitter = new EventSplitter()
  for await (const bytes of response.body) {
    stallDetector.recordActivity()
    for (const event of splitter.push(bytes)) {
      onEvent(event.id)
      await clientResponse.send(event.bytes)
    }
  }
  if (splitter.hasPartial)
    await clientResponse.send(splitter.partial)
}
