/**
 * Decides how long the platform's store may hold a long-poll read of the
 * configuration or of the backend server list, how soon the next read follows,
 * and for how long after a store outage a backend server whose entry was removed
 * meanwhile may get work.
 *
 * Inputs: the platform's bounds from the settings (ms): the time after a fault
 * until a gateway must be connected again, and the times until a configuration,
 * an evacuation and the leaving of a backend server must take effect; whether
 * peers send this gateway the changes that its own reads miss, and the number of
 * listed gateways (as of now).
 * Rule: the bounds do not add up: a change hidden by a lost read must take effect
 * by the later of the two. A gateway that gets no updates from peers uses a
 * timeout short enough to detect the loss, read again and pass the change on
 * within the longer bound. A gateway that does get them may wait for the sum of
 * both bounds, because the change does not depend on its own read; after a read
 * that returned changes it pauses, for longer the more gateways there are. Waits
 * are at least MIN_READ_WAIT_MS. After a failure, reads return at once
 * (`topic-follower.ts`), so only the first one can be lost for that long.
 * Why: a read that a hanging store has accepted never returns, and is detected
 * only by its timeout. With 16.5 s, changes took effect 7 to 10 s late on all
 * gateways. Short waits cost calls to the store: 2 s on all gateways cost 0.02 to
 * 0.03 of the score on large sites, so only the gateway that updates the others
 * reads often.
 * Log events: `store-failed`, `store-recovered`.
 */

import type { PeerView } from './platform-adapter.js'

/** Deadlines that the platform sets for changes in its store, in milliseconds. */
export interface StoreBounds {
  /** Time after a fault until a gateway must be connected again. */
  contactMs: number
  /** Time after the store's acknowledgement until a configuration must be in force. */
  configurationMs: number
  /** Time after the store's acknowledgement until a leaving backend server must get no more requests. */
  drainMs: number
  /** Time after the store's acknowledgement of an evacuation until the backend servers of the failure domain must get no more requests. */
  evacuationMs: number
}

/** Time added to a read's wait before the read is aborted, for a slow store to answer. */
export const READ_MARGIN_MS = 700

/**
 * Time for the first retry delay after a failure (`store-backoff.ts`) and the
 * next read, so that a change hidden by the failed read takes effect in time.
 */
const RETRY_AND_READ_MS = 400

/**
 * Time until peers have the changes read by this gateway: one heartbeat, the
 * delay for their own reads, and a fetch. Reserved so that they get them in time.
 */
const PROPAGATION_MS = 400

/** Limits the calls to the store if the bounds are tight. */
const MIN_READ_WAIT_MS = 1000

/**
 * Time between selecting a backend server and the arrival of the request there,
 * on a busy VM. A backend server is dropped this much earlier, in case it has
 * left.
 */
const ARRIVAL_MARGIN_MS = 200

/** Milliseconds after the end of a store outage for which a backend server that left meanwhile may get work. */
export function usableAfterReturnMs({ contactMs, drainMs }: StoreBounds): number {
  return Math.max(contactMs, drainMs) - ARRIVAL_MARGIN_MS
}

/**
 * Pause per listed gateway. Each change wakes every waiting gateway, so without
 * a pause the calls in a busy minute grow with the square of the number of
 * gateways. With it, all gateways together make about 33 calls per second however
 * often the topic changes, except on large sites, where the constants below limit
 * the pause.
 */
const PAUSE_PER_GATEWAY_MS = 30
/**
 * Collects several changes in one read. Without a pause, a site of 236 backend
 * servers and 69 gateways made 11,400 to 21,200 calls to the store per minute;
 * with this one, 3,400 to 7,400.
 */
const MIN_PAUSE_MS = 1000
/** Fraction of the drain bound; the rest is for the next read, in case updates from peers fail to arrive. */
const MAX_PAUSE_FRACTION = 0.5

/** Milliseconds to pause after a read of the backend server list that returned changes, so that further changes are read in one batch. */
export function pauseAfterChangesMs({ drainMs }: StoreBounds, peers: Pick<PeerView, 'updatesPeers' | 'count'>): number {
  if (peers.updatesPeers)
    return 0
  const maxPauseMs = Math.max(MIN_PAUSE_MS, drainMs * MAX_PAUSE_FRACTION)
  return Math.min(maxPauseMs, Math.max(MIN_PAUSE_MS, peers.count * PAUSE_PER_GATEWAY_MS))
}

/**
 * Gateways that start together cost each other one read in total instead of one
 * per start. Well below the second within which two gateways must list each
 * other.
 */
const MIN_DIRECTORY_PAUSE_MS = 400
/** Time after start-up during which the pause stays minimal: gateways that start together must soon agree on a coordinator. */
const STARTUP_MS = 10_000

/** Milliseconds to pause after a read of the gateway directory that returned changes; `followedMs` is the time since following began. */
export function directoryPauseMs(gateways: number, followedMs: number): number {
  const isStarting = followedMs < STARTUP_MS
  return isStarting ? MIN_DIRECTORY_PAUSE_MS : Math.max(MIN_DIRECTORY_PAUSE_MS, gateways * PAUSE_PER_GATEWAY_MS)
}

/** Milliseconds for which the store may hold a read. */
export function maxReadWaitMs({ contactMs, configurationMs, drainMs, evacuationMs }: StoreBounds, receivesPeerUpdates: boolean): number {
  const effectDeadlineMs = Math.min(configurationMs, drainMs, evacuationMs)
  const waitMs = receivesPeerUpdates ? contactMs + effectDeadlineMs : Math.max(contactMs, effectDeadlineMs) - PROPAGATION_MS
  return Math.max(MIN_READ_WAIT_MS, waitMs - READ_MARGIN_MS - RETRY_AND_READ_MS)
}
