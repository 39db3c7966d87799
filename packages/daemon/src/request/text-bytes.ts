/**
 * Estimates the memory of strings for limits given in bytes.
 */

/** V8 stores strings that are not Latin-1 with two bytes per UTF-16 code unit. */
const BYTES_PER_CHARACTER = 2

/** Upper bound of the memory of a string. */
export function textBytes(text: string): number {
  return text.length * BYTES_PER_CHARACTER
}
