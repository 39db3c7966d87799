/**
 * Decides when a starting entry has tried to connect to its backend servers.
 * Until then the entry is not ready, so the load balancer sends it no requests.
 *
 * Inputs: for each link, whether its side has responded or failed to respond
 * since the link was opened; the time since the first links were opened.
 * Rule: done when every link has seen a response or a failure, or after
 * INITIAL_CONNECT_TIMEOUT_MS.
 * Why a known configuration is not enough: until the links are established no
 * backend server is available and every request is shed, even if all backend
 * servers are up (10 of the first 12 requests to a restarted entry, small
 * deployment, one run). Why not wait until every backend server is available:
 * a single one that is down would keep all entries from becoming ready.
 * Log event: none; the result is visible in the entry's readiness.
 */

/**
 * Longest time that an unresponsive side can delay the readiness of an entry;
 * equal to the default connection timeout, so that an entry on a VM that is busy
 * starting does not become ready too early and shed requests. It only delays
 * entries that have unresponsive sides.
 */
export const INITIAL_CONNECT_TIMEOUT_MS = 1000

/** Connection progress of a starting entry. */
export interface InitialConnectProgress {
  /** For each link, whether its side has responded or failed to respond. */
  tried: readonly boolean[]
  /** Milliseconds since the first links were opened. */
  elapsedMs: number
}

/** Whether the entry has tried to connect to all its backend servers or reached the timeout. */
export function isInitialConnectDone(progress: InitialConnectProgress): boolean {
  return progress.elapsedMs >= INITIAL_CONNECT_TIMEOUT_MS || progress.tried.every(Boolean)
}
