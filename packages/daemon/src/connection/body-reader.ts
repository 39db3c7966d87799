/**
 * Reads a caller's body within a size and a time, so that a caller that sends
 * too much or stalls holds no memory. Owns the bytes until the body is whole.
 */
import type { RequestError } from '@eidermast/common'
import type { IncomingMessage } from 'node:http'
import type { Result } from 'ts-results-es'
import { createError, ErrorKind } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'

/** Limits of a body. */
export interface BodyLimits {
  maxBytes: number
  /** Milliseconds within which the whole body must come. */
  timeoutMs: number
}

/** Reads a body as UTF-8 text. */
export function readBody(request: IncomingMessage, limits: BodyLimits): Promise<Result<string, RequestError>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = []
    let size = 0
    const timer = setTimeout(() => {
      end(refuse(ErrorKind.BodyStalled, `The body did not come within ${limits.timeoutMs} ms; send the request again.`))
    }, limits.timeoutMs)
    const end = (result: Result<string, RequestError>): void => {
      clearTimeout(timer)
      request.off('data', onData)
      resolve(result)
    }
    const onData = (chunk: Buffer): void => {
      size += chunk.length
      if (size > limits.maxBytes)
        end(refuse(ErrorKind.BodyTooLarge, `The body is larger than ${limits.maxBytes} bytes; send a smaller one.`))
      else
        chunks.push(chunk)
    }
    request.on('data', onData)
    request.once('end', () => end(decode(Buffer.concat(chunks))))
    request.once('error', () => {
      end(refuse(ErrorKind.BodyStalled, 'The connection closed before the whole body came; send the request again.'))
    })
  })
}

function refuse(kind: ErrorKind, message: string): Err<RequestError> {
  return Err(createError(kind, message))
}

function decode(bytes: Buffer): Result<string, RequestError> {
  try {
    return Ok(new TextDecoder('utf-8', { fatal: true }).decode(bytes))
  }
  catch {
    // The decoder's error names no place in the text; the caller learns what is wrong from the answer.
    return refuse(ErrorKind.InvalidRequest, 'The body is not UTF-8; encode it as UTF-8.')
  }
}
