/**
 * What a text is counted with where memory is bounded by bytes.
 */

/** Memory of one character, as V8 holds text that is not Latin-1. */
const BYTES_PER_CHARACTER = 2

/** Bytes of memory that a text takes at most. */
export function textBytes(text: string): number {
  return text.length * BYTES_PER_CHARACTER
}
