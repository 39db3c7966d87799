/**
 * Decides whether a client's request is read and accepted, before any route is
 * looked up.
 *
 * Inputs: the decoded head or what is wrong with it, the size of head and body
 * (bytes), the configured limits, whether this gateway refuses new requests.
 * Rule: a faulty head, a head or body over its limit, and a request that comes
 * after the drain are rejected; the checks that need no body come first, so that
 * a body that is of no use isn't read.
 * Why: what is over a limit must not be held in memory, and a gateway that is
 * about to close its listener can't promise an answer.
 * Log event: none; the kind and message of the error are in the answer.
 */
import type { RequestError } from '@eidermast/common'
import type { IncomingMessage } from 'node:http'
import type { Result } from 'ts-results-es'
import type { ClientLimits } from '../../version/configuration.js'
import type { ClientRequestHead } from './client-codec.js'
import type { ClientRequest } from './client-request.js'
import { createError, ErrorKind } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import { BodyFailureKind, readBody } from '../body-reader.js'

/**
 * Milliseconds until a client that met a stopping gateway retries. Short, since
 * another gateway takes it at once.
 */
const STOPPING_RETRY_MS = 100
/** Bytes beside a header's name and value on the wire: colon, space and line end. */
const HEADER_SEPARATOR_BYTES = 4

/** What a request is read by. */
export interface ReadParts {
  /** The decoded head, or what is wrong with it. */
  head: Result<ClientRequestHead, string>
  limits: ClientLimits
  /** New requests are refused: this gateway is about to close. */
  refusing: boolean
  /** When the head was read: milliseconds of the process clock. */
  arrivedAt: number
}

/** Reads a request whole, or returns the error that rejects it; undefined where the client left while it sent. */
export async function readRequest(message: IncomingMessage, parts: ReadParts): Promise<Result<ClientRequest, RequestError> | undefined> {
  const { limits, arrivedAt } = parts
  const head = checkHead(message, parts)
  if (head.isErr())
    return head
  const request: ClientRequest = { method: message.method!, path: message.url!, head: head.value, body: undefined, arrivedAt }
  if (!hasBody(message))
    return Ok(request)
  const body = await readBody(message as AsyncIterable<Buffer>, limits.maxBodyBytes)
  if (body.isOk())
    return Ok({ ...request, body: body.value })
  if (body.error.kind === BodyFailureKind.TooLarge)
    return Err(createError(ErrorKind.BodyTooLarge, `send at most ${limits.maxBodyBytes} bytes`))
  // The connection broke while the client sent: nobody waits for an answer.
  return undefined
}

function checkHead(message: IncomingMessage, { head, limits, refusing }: ReadParts): Result<ClientRequestHead, RequestError> {
  if (head.isErr())
    return Err(createError(ErrorKind.InvalidRequest, head.error))
  if (headBytes(message) > limits.maxHeaderBytes)
    return Err(createError(ErrorKind.HeadersTooLarge, `send at most ${limits.maxHeaderBytes} bytes of headers`))
  if (refusing)
    return Err(createError(ErrorKind.Stopping, 'this gateway is stopping; come back', { retryAfterMs: STOPPING_RETRY_MS }))
  return Ok(head.value)
}

function hasBody({ headers }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}

function headBytes({ rawHeaders, url }: IncomingMessage): number {
  const texts = rawHeaders.reduce((sum, text) => sum + text.length, 0)
  const headers = rawHeaders.length / 2
  return texts + headers * HEADER_SEPARATOR_BYTES + (url?.length ?? 0)
}
