/**
 * Reads a caller's request body within limits on size and time, so that a caller
 * that sends too much or stalls does not hold memory. Buffers the bytes until the
 * body is complete.
 */
import type { RequestError, TakeMemory } from '@eidermast/common'
import type { IncomingMessage } from 'node:http'
import type { Result } from 'ts-results-es'
import { BodyBuffer, createError, ErrorKind } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'

export interface BodyLimits {
  maxBytes: number
  /** Time within which the complete body must arrive. */
  timeoutMs: number
  takeMemory: TakeMemory
}

/** Reads a body as UTF-8 text. */
export function readBody(request: IncomingMessage, limits: BodyLimits): Promise<Result<string, RequestError>> {
  return new Promise((resolve) => {
    const body = new BodyBuffer()
    const timer = setTimeout(() => {
      finish(createFailure(ErrorKind.BodyStalled, `The body did not arrive within ${limits.timeoutMs} ms; send the request again.`))
    }, limits.timeoutMs)
    const finish = (result: Result<string, RequestError>): void => {
      clearTimeout(timer)
      request.off('data', onData)
      resolve(result)
    }
    const onData = (chunk: Buffer): void => {
      if (body.length + chunk.length > limits.maxBytes)
        finish(createFailure(ErrorKind.BodyTooLarge, `The body exceeds the limit of ${limits.maxBytes} bytes; send a smaller one.`))
      else if (!limits.takeMemory(chunk.length))
        finish(createFailure(ErrorKind.Overloaded, `This entry has no memory left after ${body.length} bytes of the body; retry after the indicated delay.`))
      else
        body.append(chunk)
    }
    request.on('data', onData)
    request.once('end', () => finish(decodeUtf8(body.toBuffer())))
    request.once('error', () => {
      finish(createFailure(ErrorKind.BodyStalled, 'The connection closed before the complete body arrived; send the request again.'))
    })
  })
}

function createFailure(kind: ErrorKind, message: string): Err<RequestError> {
  return Err(createError(kind, message))
}

function decodeUtf8(bytes: Buffer): Result<string, RequestError> {
  try {
    return Ok(new TextDecoder('utf-8', { fatal: true }).decode(bytes))
  }
  catch {
    // The decoder's error contains no position; the error response describes the problem to the caller.
    return createFailure(ErrorKind.InvalidRequest, 'The body is not valid UTF-8; encode it as UTF-8.')
  }
}
