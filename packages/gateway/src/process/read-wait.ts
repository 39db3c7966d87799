/**
 * Decides how long the platform's store may hold a read of the configuration or
 * of the list of backend servers, when the next one follows, and for how long
 * after the store's return a backend server whose entry went meanwhile may get
 * work.
 *
 * Inputs: the platform's bounds from the settings (ms): how long after trouble
 * a gateway is in touch again, and within which a configuration and the leaving
 * of a backend server must take effect; whether other gateways tell this one of
 * changes that its own read has missed (as of now).
 * Rule: the bounds do not add up: a change that a lost read hides must be in
 * force by the later of both. A gateway that nobody tells reads so that it
 * notices the loss, reads again and passes the change on within the longer
 * bound. One that is told waits for as long as both bounds together, since its
 * own read is not what the change depends on; after a read that brought changes
 * it rests. At least MIN_READ_WAIT_MS. After a failure reads do not wait (the
 * adapter's `topic-follower.ts`), so that only the first one can be lost for so
 * long.
 * Why: a read that a silent store has taken never answers and is noticed only
 * when its time is over. With 16.5 s a change was in force 7 to 10 s late, on
 * all gateways alike (commit a03d214). A short wait costs calls to the store:
 * with 2 s at all gateways they cost 0.02 to 0.03 of worth on grown sites
 * (commit 452e740), so only the gateway that the others hear of reads often.
 * Set by: the constants below.
 * Log events: `store-failed`, `store-recovered`.
 */

/** The platform's bounds on following its store, in milliseconds. */
export interface StoreBounds {
  /** After the end of trouble a gateway is in touch again. */
  contactMs: number
  /** A configuration must be in force this long after the store acknowledged it. */
  configurationMs: number
  /** A backend server that is leaving gets nothing this long after the store acknowledged that. */
  drainMs: number
}

/** Milliseconds after its wait until a read is abandoned. Not measured; half abandons reads that a slow store still answers. */
export const READ_MARGIN_MS = 700

/**
 * Milliseconds for the first pause after a failure (`retry-pause.ts`) and for
 * the next read. Not measured; at half of it a change may be in force too late.
 */
const NEXT_READ_MS = 400

/**
 * Milliseconds until peers have what this gateway reads: a heartbeat, the time
 * for their own reads, a fetch. Not measured; at half of it they may have it too late.
 */
const PASS_ON_MS = 400

/** Milliseconds. Not measured; at half of it a gateway sends more than three calls a second where the bounds are tight. */
const MIN_READ_WAIT_MS = 1000

/**
 * Milliseconds from the decision to the arrival of the last request. Not
 * measured; half may be too little on a busy VM, twice drops a backend server
 * earlier than needed.
 */
const ARRIVAL_MARGIN_MS = 200

/** How long after the store's return a backend server that left meanwhile may get work, in milliseconds. */
export function usableAfterReturnMs({ contactMs, drainMs }: StoreBounds): number {
  return Math.max(contactMs, drainMs) - ARRIVAL_MARGIN_MS
}

/**
 * Milliseconds. Each change of the list costs a call of every gateway that
 * waits for it. On a site of 236 backend servers and 69 gateways they were
 * 11,400 to 21,200 in a minute without the rest, and 3,400 to 7,400 with it
 * (eight random days each). Not measured: half costs more calls, twice as long
 * leaves too little of the bounds where nobody tells.
 */
const TOLD_REST_MS = 1000

/** How long a gateway rests after a read that brought changes, in milliseconds; what comes meanwhile comes together. */
export function restAfterChangesMs(isToldByPeers: boolean): number {
  return isToldByPeers ? TOLD_REST_MS : 0
}

/** How long the store may hold a read, in milliseconds. */
export function maxReadWaitMs({ contactMs, configurationMs, drainMs }: StoreBounds, isToldByPeers: boolean): number {
  const effectMs = Math.min(configurationMs, drainMs)
  const waitMs = isToldByPeers ? contactMs + effectMs : Math.max(contactMs, effectMs) - PASS_ON_MS
  return Math.max(MIN_READ_WAIT_MS, waitMs - READ_MARGIN_MS - NEXT_READ_MS)
}
