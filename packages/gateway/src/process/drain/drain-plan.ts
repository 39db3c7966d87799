/**
 * Decides when a gateway that was asked to stop refuses new requests, closes
 * its listener and ends, for the clients whose connections it holds.
 *
 * Inputs: milliseconds since SIGTERM, requests without an answer, whether
 * another gateway serves (all as of now, the last by heartbeats), and the grace
 * period of the settings (ms).
 * Rule: not ready at once, and serve on for DRAIN_SERVE_MS; then refuse what
 * still comes, close the listener after DRAIN_CLOSE_MS, and end when all is
 * answered. While no other gateway serves, serve on for DRAIN_SERVE_ALONE_MS
 * and keep the listener until the end. At the latest END_MARGIN_MS before the
 * grace period is over, end.
 * Why: the platform's balancer notices only by its checks that this gateway is
 * not ready, and clients go on to use connections that they keep. Refusing at
 * once would fail requests that can still be served; serving for longer delays
 * the restart, so that gateways stopped in turn are all away together. A closed
 * listener is of use only where the next connection finds another gateway.
 * Log events: `stop`, `stopped`.
 */

/**
 * Milliseconds from SIGTERM on for which new requests are served. Two missed
 * checks of the balancer, one a second (the platform's protocol, section on
 * ingress), and 300 ms for the signal (up to 126 ms late) and a new connection.
 * Half refuses requests just sent here, twice leaves little of the grace period.
 */
export const DRAIN_SERVE_MS = 2300

/**
 * The same while no other gateway serves, in milliseconds. The platform's rules
 * excuse a stream that the grace period cuts off only where it was sent within
 * 3 s of the signal.
 */
export const DRAIN_SERVE_ALONE_MS = 2800

/**
 * Milliseconds from SIGTERM on after which the listener closes; until then a
 * late request gets a refusal that it may retry elsewhere, not a refused
 * connection. Half leaves no time for refusals, twice delays the restart.
 */
export const DRAIN_CLOSE_MS = 2700

/** Milliseconds. Half may lose the last log lines to SIGKILL, twice cuts off requests that could be answered. */
const END_MARGIN_MS = 400

/** What a stopping gateway does now, in the order of its life. */
export enum DrainStep {
  Serve = 'serve',
  /** Requests that still come are refused. */
  Refuse = 'refuse',
  /** The listener is closed; answers under way go on. */
  Close = 'close',
  /** The process ends. */
  End = 'end',
}

/** A stopping gateway. */
export interface DrainCase {
  /** Milliseconds since SIGTERM. */
  elapsedMs: number
  /** Requests without an answer. */
  activeRequests: number
  /** Milliseconds from SIGTERM to SIGKILL. */
  gracePeriodMs: number
  /** Another gateway answers heartbeats and is not stopping. */
  othersServe: boolean
}

/** Milliseconds from SIGTERM on after which the process ends whatever is under way. */
export function latestEndMs(gracePeriodMs: number): number {
  return gracePeriodMs - END_MARGIN_MS
}

/** Decides on a stopping gateway. */
export function decideDrainStep({ elapsedMs, activeRequests, gracePeriodMs, othersServe }: DrainCase): DrainStep {
  const mayEnd = elapsedMs >= (othersServe ? DRAIN_CLOSE_MS : DRAIN_SERVE_ALONE_MS)
  if (elapsedMs >= latestEndMs(gracePeriodMs) || (mayEnd && activeRequests === 0))
    return DrainStep.End
  if (othersServe && mayEnd)
    return DrainStep.Close
  const servesMs = othersServe ? DRAIN_SERVE_MS : DRAIN_SERVE_ALONE_MS
  return elapsedMs >= servesMs ? DrainStep.Refuse : DrainStep.Serve
}
