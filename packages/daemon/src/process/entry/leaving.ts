/**
 * Decides how an entry leaves when its process is asked to stop: when it stops
 * showing as ready, when it refuses new requests, and when it closes callers'
 * connections.
 *
 * Inputs: requests of both kinds in flight (as of now), the settings
 * `stop-timeout-ms` and `write-timeout-ms`.
 * Rule: first answer `not ready` for LAME_DUCK_MS but take requests; then
 * refuse new ones with `stopping` and wait until nothing is in flight, at most
 * `stop-timeout-ms`; then wait for callers to read, at most
 * `write-timeout-ms`, and close what is left.
 * Why not refuse at once: the balancer sends requests until it has seen `not
 * ready`, and each of those would be refused.
 * Log events: `stopping` (requests in flight) and `stopped`.
 */
import type { Server } from 'node:http'
import { wait } from '@eidermast/common'
import { waitUntilIdle } from '../idle.js'

/** How far an entry has left. */
export enum EntryPhase {
  Serving = 'serving',
  /** Shows as not ready, and takes requests. */
  NotReady = 'not-ready',
  /** Takes no new requests; what is in flight goes on. */
  Refusing = 'refusing',
}

/** Who knows the phase and the work in flight. */
export interface LeavingEntry {
  phase: EntryPhase
  /** Requests that have not been answered. */
  readonly inFlight: number
}

/** Limits of a stop. */
export interface LeavingLimits {
  /** Milliseconds for requests in flight to end. */
  stopTimeoutMs: number
  /** Milliseconds for callers to read their answers. */
  writeTimeoutMs: number
}

/**
 * Milliseconds for the balancer to see that the entry is not ready. Half is
 * below the interval of common health checks, so callers would be refused;
 * twice only makes a stop longer.
 */
const LAME_DUCK_MS = 1500

/** Leaves in order; when this returns, no caller is connected. */
export async function leave(entry: LeavingEntry, callers: Server, limits: LeavingLimits): Promise<void> {
  entry.phase = EntryPhase.NotReady
  await wait(LAME_DUCK_MS)
  entry.phase = EntryPhase.Refusing
  const closed = new Promise<void>(resolve => callers.close(() => resolve()))
  callers.closeIdleConnections()
  await waitUntilIdle(() => entry.inFlight === 0, limits.stopTimeoutMs)
  callers.closeIdleConnections()
  await Promise.race([closed, wait(limits.writeTimeoutMs)])
  callers.closeAllConnections()
}
