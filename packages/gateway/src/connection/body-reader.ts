/**
 * Reads the body of a message whole, of a client's request as of a backend
 * server's answer. It holds the body's bytes until the end and no longer.
 */
import type { Result } from 'ts-results-es'
import { formatError } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'

/** Why a body could not be read whole. */
export enum BodyFailureKind {
  TooLarge = 'too-large',
  /** The connection ended, or the read was aborted. */
  Broken = 'broken',
}

/** A body that could not be read whole. */
export interface BodyFailure {
  kind: BodyFailureKind
  message: string
}

/** Reads a body to its end; the rest of one that is too large is not read. */
export async function readBody(body: AsyncIterable<Buffer>, maxBytes: number): Promise<Result<Buffer, BodyFailure>> {
  const chunks: Buffer[] = []
  let size = 0
  try {
    for await (const chunk of body) {
      size += chunk.length
      if (size > maxBytes)
        return Err({ kind: BodyFailureKind.TooLarge, message: `larger than ${maxBytes} bytes` })
      chunks.push(chunk)
    }
  }
  catch (error) {
    return Err({ kind: BodyFailureKind.Broken, message: formatError(error) })
  }
  return Ok(Buffer.concat(chunks))
}
