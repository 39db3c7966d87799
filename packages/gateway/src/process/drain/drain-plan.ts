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
 * Milliseconds from SIGTERM on for which new requests are served. Not
 * measured; the balancer checks readiness each second and looks away after two
 * misses (the platform's protocol, section on ingress), and a new connection
 * may take a second more (section on answers). With half of it requests are
 * refused that were just sent here; with twice as much, little of the default
 * grace period (8000) is left for those under way.
 */
export const DRAIN_SERVE_MS = 3200

/**
 * Milliseconds from SIGTERM on after which the listener closes. Not measured;
 * between DRAIN_SERVE_MS and this, a late request gets a refusal that it may
 * retry elsewhere in place of a refused connection. With half of it there is
 * no such time; with twice as much the process ends only with the default grace period.
 */
export const DRAIN_CLOSE_MS = 4000

/**
 * Milliseconds of the grace period that are kept for the end of the process.
 * Not measured; with half of it SIGKILL may come before the last log lines are
 * written, with twice as much requests are cut off that could have been
 * answered.
 */
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
