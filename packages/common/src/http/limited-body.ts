/**
 * Reads response bodies within limits of size and time, since a faulty server may
 * send bytes without end until its connection is closed. Stateless.
 */

/** What is needed of a response body; undici's bodies have it. */
export interface ClosableBody extends AsyncIterable<Buffer> {
  /** Closes the connection if the body has not ended. */
  destroy: (error?: Error) => unknown
}

/** A response body that can be discarded. */
export interface DiscardableBody extends ClosableBody {
  /** Reads up to `limit` bytes, then destroys the body. */
  dump: (options: { limit: number }) => Promise<unknown>
}

/** Limits of a body. */
export interface BodyLimits {
  maxBytes: number
  /** Time from the call to the end of the body, in milliseconds. @default as long as the call may take */
  maxMs?: number
}

/** For bodies that are not needed: those of refusals and of replies to probes are small, and sent with their heads. */
const UNUSED_BODY_LIMITS: Required<BodyLimits> = { maxBytes: 65_536, maxMs: 1000 }

/** Reads a body as text; throws and closes its connection if it breaks off or exceeds a limit. */
export async function readLimitedText(body: ClosableBody, { maxBytes, maxMs }: BodyLimits): Promise<string> {
  const timer = maxMs === undefined ? undefined : setTimeout(() => body.destroy(new Error(`the response body did not end within ${maxMs} ms`)), maxMs)
  const parts: Buffer[] = []
  try {
    for await (const part of limitBytes(body, maxBytes))
      parts.push(part)
    return Buffer.concat(parts).toString()
  }
  finally {
    clearTimeout(timer)
  }
}

/** Passes a body on; throws and closes its connection if it exceeds `maxBytes`. */
export async function* limitBytes(body: AsyncIterable<Buffer>, maxBytes: number): AsyncGenerator<Buffer> {
  let size = 0
  for await (const part of body) {
    size += part.length
    if (size > maxBytes)
      throw new Error(`the response body exceeds the limit of ${maxBytes} bytes`)
    yield part
  }
}

/** Reads a body that is not needed, so that its connection can be used again; closes the connection if the body breaks off or exceeds a limit. */
export async function discardBody(body: DiscardableBody, maxMs = UNUSED_BODY_LIMITS.maxMs): Promise<void> {
  const timer = setTimeout(() => body.destroy(), maxMs)
  try {
    await body.dump({ limit: UNUSED_BODY_LIMITS.maxBytes })
  }
  catch {
    // The body is not needed, and its connection is closed.
  }
  finally {
    clearTimeout(timer)
  }
}
