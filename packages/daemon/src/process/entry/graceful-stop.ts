/**
 * Decides how an entry stops gracefully: when it reports that it is not ready,
 * when it refuses new requests, and when it closes callers' connections.
 *
 * Inputs: pipeline and service requests in flight (as of now), the settings
 * `stop-timeout-ms` and `write-timeout-ms`.
 * Rule: first respond with `not ready` to readiness checks for LAME_DUCK_MS but
 * still accept requests; then refuse new ones with `stopping` and wait until
 * none are in flight, for at most `stop-timeout-ms`; then wait for callers to
 * read their responses, for at most `write-timeout-ms`, and close the remaining
 * connections.
 * Why requests are not refused at once: the load balancer sends requests until
 * it has seen `not ready`, and each of them would be refused.
 * Log events: `stopping` (requests in flight) and `stopped`.
 */
import type { Server } from 'node:http'
import { wait } from '@eidermast/common'
import { waitUntilIdle } from '../idle.js'

/** Phase of a graceful stop. */
export enum EntryPhase {
  Serving = 'serving',
  /** Reports that it is not ready, but accepts requests. */
  NotReady = 'not-ready',
  /** Refuses new requests; those in flight continue. */
  Refusing = 'refusing',
}

/** An entry that can be stopped gracefully. */
export interface StoppableEntry {
  phase: EntryPhase
  /** Number of requests without a response. */
  readonly inFlight: number
}

/** Timeouts of a graceful stop. */
export interface StopTimeouts {
  /** For requests in flight to finish. */
  stopTimeoutMs: number
  /** For callers to read their responses. */
  writeTimeoutMs: number
}

/**
 * Time for the load balancer to see that the entry is not ready. Must exceed the
 * usual interval of health checks, because callers would be refused otherwise.
 */
const LAME_DUCK_MS = 1500

/** Stops an entry gracefully; all callers' connections are closed when this resolves. */
export async function stopGracefully(entry: StoppableEntry, callerServer: Server, timeouts: StopTimeouts): Promise<void> {
  entry.phase = EntryPhase.NotReady
  await wait(LAME_DUCK_MS)
  entry.phase = EntryPhase.Refusing
  const closed = new Promise<void>(resolve => callerServer.close(() => resolve()))
  callerServer.closeIdleConnections()
  await waitUntilIdle(() => entry.inFlight === 0, timeouts.stopTimeoutMs)
  callerServer.closeIdleConnections()
  await Promise.race([closed, wait(timeouts.writeTimeoutMs)])
  callerServer.closeAllConnections()
}
