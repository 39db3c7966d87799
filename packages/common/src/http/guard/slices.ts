/**
 * Divides what a connection receives into slices that are parsed one after the
 * other. Node parses all that it has read at once, which may be thousands of
 * requests. Stateless.
 */

/** Holds few of the shortest requests, and is not worth dividing. */
const MIN_SLICE_BYTES = 256
/** A large part of most heads, and small beside the memory of a connection. */
const MAX_SLICE_BYTES = 4096
/** The ends of the last line of a head and of the blank line after it; the parser accepts both. */
const BLANK_LINES = ['\n\r\n', '\n\n'] as const

/** Returns the end of the slice that begins at `start`: of what remains of a body, after a blank line, where a head may end, or after MAX_SLICE_BYTES. */
export function findSliceEnd(chunk: Buffer, start: number, remainingBodyBytes = 0): number {
  if (remainingBodyBytes > 0)
    return Math.min(chunk.length, start + remainingBodyBytes)
  const end = Math.min(chunk.length, start + MAX_SLICE_BYTES)
  const searchStart = start + MIN_SLICE_BYTES
  if (searchStart >= end)
    return end
  const searched = chunk.subarray(searchStart, end)
  const ends = BLANK_LINES.map(text => [searched.indexOf(text), text.length]).filter(([index]) => index >= 0).map(([index, length]) => searchStart + index + length)
  return Math.min(end, ...ends)
}
