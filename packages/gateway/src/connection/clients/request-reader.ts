/**
 * Decides whether a client's request is accepted, before its route is looked up.
 *
 * Inputs: the decoded head or the reason why it is invalid, the sizes of head and
 * body (bytes), the configured limits, room for the body, and whether this
 * gateway rejects new requests.
 * Rule: requests with an invalid head, with a head or body over the limit, or
 * received after the drain are rejected, and those whose body gets no room. Checks
 * that do not need the body come first, so that the body of a rejected request is
 * not read.
 * Why: data over a limit must not be buffered in memory, and a gateway that is
 * about to close its listener cannot guarantee a response.
 * Log event: `held-refused` for lack of room; otherwise none, kind and message of
 * the error are in the response.
 */
import type { ReadLateness, RequestError } from '@eidermast/common'
import type { IncomingMessage } from 'node:http'
import type { Result } from 'ts-results-es'
import type { ClientLimits } from '../../version/configuration.js'
import type { BodyRoom } from './body-room.js'
import type { ClientRequestHead } from './client-codec.js'
import type { ClientRequest } from './client-request.js'
import { createError, ErrorKind } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import { BodyFailureKind, readBody } from '../body-reader.js'
import { SMALL_BYTES } from '../held/room-decision.js'
import { errorOfStopping } from './stopping-error.js'

/** Bytes in addition to a header's name and value on the wire: colon and CRLF. A space may follow the colon. */
const HEADER_SEPARATOR_BYTES = 3

/** What is needed besides the message to read a request. */
export interface ReadContext {
  /** The decoded head, or why it is invalid. */
  head: Result<ClientRequestHead, string>
  limits: ClientLimits
  /** Whether new requests are rejected because this gateway is about to close. */
  refusing: boolean
  /** Since when the client has waited, as far as known, in milliseconds of the monotonic clock. */
  arrivedAt: number
  /** Undefined for a request that is read in time. */
  lateness: ReadLateness | undefined
  room: BodyRoom
}

/** Reads a request to its end, or returns the error to reject it with; undefined if the client disconnected while sending it. */
export async function readRequest(message: IncomingMessage, context: ReadContext): Promise<Result<ClientRequest, RequestError> | undefined> {
  const { limits: { maxBodyBytes }, arrivedAt, lateness, room } = context
  const head = checkHead(message, context)
  if (head.isErr())
    return head
  const request: ClientRequest = { method: message.method!, path: message.url!, head: head.value, acceptsChunks: acceptsChunks(message), body: undefined, arrivedAt, lateness }
  if (!hasBody(message))
    return Ok(request)
  const length = contentLength(message)
  if (length !== undefined && length > maxBodyBytes)
    return Err(tooLarge(maxBodyBytes))
  const claimed = await room.claim(length ?? Math.min(maxBodyBytes, SMALL_BYTES), head.value)
  if (claimed.isErr())
    return claimed
  const source = length === undefined ? room.claimWhileReading(message, maxBodyBytes, head.value) : message as AsyncIterable<Buffer>
  const body = await readBody(source, { maxBytes: maxBodyBytes, expectedBytes: length })
  if (room.refusal)
    return Err(room.refusal)
  if (body.isOk()) {
    room.shrinkTo(body.value.length)
    return Ok({ ...request, body: body.value })
  }
  if (body.error.kind === BodyFailureKind.TooLarge)
    return Err(tooLarge(maxBodyBytes))
  // The connection broke while the request was being sent, so there is no one to respond to.
  return undefined
}

function tooLarge(maxBytes: number): RequestError {
  return createError(ErrorKind.BodyTooLarge, `request body exceeds the limit of ${maxBytes} bytes`)
}

/** The length of the body; undefined if its end is delimited by chunks. */
function contentLength({ headers }: IncomingMessage): number | undefined {
  const length = headers['content-length']
  return length === undefined || headers['transfer-encoding'] !== undefined ? undefined : Number(length)
}

function checkHead(message: IncomingMessage, { head, limits, refusing }: ReadContext): Result<ClientRequestHead, RequestError> {
  if (head.isErr())
    return Err(createError(ErrorKind.InvalidRequest, head.error))
  if (headBytes(message) > limits.maxHeaderBytes)
    return Err(createError(ErrorKind.HeadersTooLarge, `request line and headers exceed the limit of ${limits.maxHeaderBytes} bytes`))
  if (refusing)
    return Err(errorOfStopping())
  return Ok(head.value)
}

/** Chunked responses came with HTTP/1.1 (RFC 9112, section 7.1). */
function acceptsChunks({ httpVersionMajor, httpVersionMinor }: IncomingMessage): boolean {
  return httpVersionMajor > 1 || httpVersionMinor >= 1
}

function hasBody({ headers }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}

function headBytes({ rawHeaders, url }: IncomingMessage): number {
  const texts = rawHeaders.reduce((sum, text) => sum + text.length, 0)
  const headers = rawHeaders.length / 2
  return texts + headers * HEADER_SEPARATOR_BYTES + (url?.length ?? 0)
}
