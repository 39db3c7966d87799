/**
 * Estimates the memory that heads and requests take in this process. Stateless.
 */

const LINE_FEED = 0x0A
/** Name and value of a header line as strings, and their places in lists and maps. */
const LINE_COST_BYTES = 400
/** The text of a head is held as received and as passed on. */
const COPIES_OF_HEAD = 2
/** What Node and the handler of a request hold for it, without its head and body. */
export const REQUEST_COST_BYTES = 8192
/** Memory that each connection may take without the shared one: more than ordinary requests need. */
export const OWN_CONNECTION_BYTES = 24_576

/** Returns the memory that a part of a head takes, in bytes. */
export function costOfHead(part: Buffer): number {
  let lines = 0
  for (let index = part.indexOf(LINE_FEED); index >= 0; index = part.indexOf(LINE_FEED, index + 1))
    lines++
  return part.length * COPIES_OF_HEAD + lines * LINE_COST_BYTES
}
