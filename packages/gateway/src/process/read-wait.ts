/**
 * Decides how long the platform's store may hold a read of the configuration or
 * of the list of backend servers, when the next one follows, and for how long
 * after the store's return a backend server whose entry went meanwhile may get
 * work.
 *
 * Inputs: the platform's bounds from the settings (ms): how long after trouble
 * a gateway is in touch again, and within which a configuration, an evacuation
 * and the leaving of a backend server must take effect; whether other gateways tell this one of
 * changes that its own read has missed, and how many are listed (as of now).
 * Rule: the bounds do not add up: a change that a lost read hides must be in
 * force by the later of both. A gateway that nobody tells reads so that it
 * notices the loss, reads again and passes the change on within the longer
 * bound. One that is told waits for as long as both bounds together, since its
 * own read is not what the change depends on; after a read that brought changes
 * it rests, the longer the more gateways there are. At least MIN_READ_WAIT_MS.
 * After a failure reads do not wait (`topic-follower.ts`), so that
 * only the first one can be lost for so long.
 * Why: a read that a silent store has taken never answers and is noticed only
 * when its time is over. With 16.5 s a change was in force 7 to 10 s late, on
 * all gateways alike. A short wait costs calls to the store: with 2 s at all
 * gateways they cost 0.02 to 0.03 of worth on grown sites, so only the gateway
 * that the others hear of reads often.
 * Log events: `store-failed`, `store-recovered`.
 */

import type { PeerView } from './platform-adapter.js'

/** The platform's bounds on following its store, in milliseconds. */
export interface StoreBounds {
  /** After the end of trouble a gateway is in touch again. */
  contactMs: number
  /** A configuration must be in force this long after the store acknowledged it. */
  configurationMs: number
  /** A backend server that is leaving gets nothing this long after the store acknowledged that. */
  drainMs: number
  /** The backend servers of an evacuated failure domain get nothing this long after the store acknowledged the order. */
  evacuationMs: number
}

/** Milliseconds after its wait until a read is abandoned. Half abandons reads that a slow store still answers. */
export const READ_MARGIN_MS = 700

/**
 * Milliseconds for the first pause after a failure (`retry-pause.ts`) and for
 * the next read. At half of it a change may be in force too late.
 */
const NEXT_READ_MS = 400

/**
 * Milliseconds until peers have what this gateway reads: a heartbeat, the time
 * for their own reads, a fetch. At half of it they may have it too late.
 */
const PASS_ON_MS = 400

/** Milliseconds. At half of it a gateway sends more than three calls a second where the bounds are tight. */
const MIN_READ_WAIT_MS = 1000

/**
 * Milliseconds from the decision to the arrival of the last request. Half may
 * be too little on a busy VM, twice drops a backend server earlier than needed.
 */
const ARRIVAL_MARGIN_MS = 200

/** How long after the store's return a backend server that left meanwhile may get work, in milliseconds. */
export function usableAfterReturnMs({ contactMs, drainMs }: StoreBounds): number {
  return Math.max(contactMs, drainMs) - ARRIVAL_MARGIN_MS
}

/**
 * Milliseconds of rest for each gateway listed: a change wakes every gateway
 * that waits for it, so that the calls of a busy minute grow with the square of
 * their number. With it all of them together make some 33 calls a second, however
 * often the topic changes. Half makes twice as many, twice is bounded by the
 * constants below on large sites.
 */
const REST_FOR_EACH_GATEWAY_MS = 30
/**
 * Milliseconds. On a site of 236 backend servers and 69 gateways the calls to
 * the store were 11,400 to 21,200 in a minute without a rest, and 3,400 to 7,400
 * with this one (eight random days each).
 */
const MIN_TOLD_REST_MS = 1000
/** Part of the time in which a leaving must take effect. With all of it a gateway that nobody told would be late. */
const MAX_REST_SHARE = 0.5

/** How long a gateway rests after a read of the list of backend servers that brought changes, in milliseconds; what comes meanwhile comes together. */
export function restAfterChangesMs({ drainMs }: StoreBounds, peers: PeerView): number {
  if (!peers.isTold)
    return 0
  const longestMs = Math.max(MIN_TOLD_REST_MS, drainMs * MAX_REST_SHARE)
  return Math.min(longestMs, Math.max(MIN_TOLD_REST_MS, peers.count * REST_FOR_EACH_GATEWAY_MS))
}

/**
 * Milliseconds. Gateways that start together cost each other one read and not
 * one for each start. With 1500 gateways did not list each other within the
 * second that the tests of two gateways allow.
 */
const MIN_DIRECTORY_REST_MS = 400
/** Milliseconds of a process's life in which it rests for no longer: those that start together must soon agree who coordinates. */
const STARTING_MS = 10_000

/** How long a gateway rests after a read of the directory of gateways that brought changes, in milliseconds; takes the time since it began to follow. */
export function restOfDirectoryMs(gateways: number, followedMs: number): number {
  const isStarting = followedMs < STARTING_MS
  return isStarting ? MIN_DIRECTORY_REST_MS : Math.max(MIN_DIRECTORY_REST_MS, gateways * REST_FOR_EACH_GATEWAY_MS)
}

/** How long the store may hold a read, in milliseconds. */
export function maxReadWaitMs({ contactMs, configurationMs, drainMs, evacuationMs }: StoreBounds, isToldByPeers: boolean): number {
  const effectMs = Math.min(configurationMs, drainMs, evacuationMs)
  const waitMs = isToldByPeers ? contactMs + effectMs : Math.max(contactMs, effectMs) - PASS_ON_MS
  return Math.max(MIN_READ_WAIT_MS, waitMs - READ_MARGIN_MS - NEXT_READ_MS)
}
