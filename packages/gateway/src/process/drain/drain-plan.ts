/**
 * Decides when a gateway that was asked to stop refuses new requests, closes
 * its listener and ends, for the clients whose connections it holds.
 *
 * Inputs: milliseconds since SIGTERM, requests without an answer (both as of
 * now), and the grace period of the settings (ms).
 * Rule: not ready at once, and serve on for DRAIN_SERVE_MS; then refuse what
 * still comes; close the listener after DRAIN_CLOSE_MS; end when all is
 * answered, at the latest END_MARGIN_MS before the grace period is over.
 * Why: the platform's balancer notices only by its checks that this gateway is
 * not ready, and clients go on to use connections that they keep. Refusing at
 * once would fail requests that can still be served.
 * Set by: the constants below.
 * Log events: `stop`, `stopped`.
 */

/**
 * Milliseconds from SIGTERM on for which new requests are served. Two missed
 * checks of the balancer, one a second (the platform's protocol, section on
 * ingress), and a second for a new connection (section on answers). Not
 * measured; half refuses requests just sent here, twice leaves little of the grace period.
 */
export const DRAIN_SERVE_MS = 3200

/**
 * Milliseconds from SIGTERM on after which the listener closes; until then a late
 * request gets a refusal that it may retry elsewhere, not a refused connection.
 * Not measured; half leaves no time for refusals, twice takes the whole default grace period.
 */
export const DRAIN_CLOSE_MS = 4000

/** Milliseconds. Not measured; half may lose the last log lines to SIGKILL, twice cuts off requests that could be answered. */
const END_MARGIN_MS = 400

/** Milliseconds from SIGTERM on after which the process ends whatever is under way. */
export function latestEndMs(gracePeriodMs: number): number {
  return gracePeriodMs - END_MARGIN_MS
}

/** Whether a gateway that stopped this long ago, in milliseconds, may end. */
export function isDrained(elapsedMs: number, activeRequests: number, gracePeriodMs: number): boolean {
  if (elapsedMs >= latestEndMs(gracePeriodMs))
    return true
  return elapsedMs >= DRAIN_CLOSE_MS && activeRequests === 0
}
