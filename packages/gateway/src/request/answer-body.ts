/**
 * Reading an answer's body whole.
 */

const MAX_BUFFERED_BYTES = 8_000_000

/** Reads a body to its end; throws where it breaks off or is too large. */
export async function readBody(body: AsyncIterable<Buffer>): Promise<Buffer> {
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of body) {
    size += chunk.length
    if (size > MAX_BUFFERED_BYTES)
      throw new Error(`the answer is larger than ${MAX_BUFFERED_BYTES} bytes`)
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}
