/**
 * Reads the entire body of an HTTP message, either a client's request or a
 * peer's call. The bytes are buffered until the end of the body.
 */
import type { TakeMemory } from '@eidermast/common'
import type { Result } from 'ts-results-es'
import { BodyBuffer, formatError } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'

/** Why a body could not be read to its end. */
export enum BodyFailureKind {
  TooLarge = 'too-large',
  /** The process has no memory left for it. */
  NoMemory = 'no-memory',
  /** The connection was closed, or the read was aborted. */
  Broken = 'broken',
}

/** A body that could not be read to its end. */
export interface BodyFailure {
  kind: BodyFailureKind
  message: string
}

/** How a body is read. */
export interface BodyOptions {
  maxBytes: number
  /** Length of the body, if memory for it was taken. @default unknown */
  expectedBytes?: number
  /** @default without a limit */
  takeMemory?: TakeMemory
}

/** Reads a body to its end; stops reading once it exceeds the maximum size, or gets no memory. */
export async function readBody(body: AsyncIterable<Buffer>, { maxBytes, expectedBytes, takeMemory = () => true }: BodyOptions): Promise<Result<Buffer, BodyFailure>> {
  const buffer = new BodyBuffer(expectedBytes)
  try {
    for await (const chunk of body) {
      if (buffer.length + chunk.length > maxBytes)
        return Err({ kind: BodyFailureKind.TooLarge, message: `body exceeds the limit of ${maxBytes} bytes` })
      if (!takeMemory(chunk.length))
        return Err({ kind: BodyFailureKind.NoMemory, message: `no memory is left after ${buffer.length} bytes of the body` })
      buffer.append(chunk)
    }
  }
  catch (error) {
    return Err({ kind: BodyFailureKind.Broken, message: formatError(error) })
  }
  return Ok(buffer.toBuffer())
}
