/**
 * Decides how long a request waits at a gateway that has just started and does
 * not know its configuration or its backend servers yet. Answers the load of a
 * restart of many VMs at once, when all clients return within a second.
 *
 * Inputs: the client's deadline (ms), the longest wait (ms, settings).
 * Rule: until the gateway has started, but no longer than the setting and than
 * MAX_DEADLINE_SHARE of the deadline.
 * Why: the configuration arrives within some hundred milliseconds, sooner than
 * a refused client returns; and a client has few retries.
 * Log event: `request-ended` (`tookMs`; outcome `not-ready` if the wait was too short).
 */

/** Leaves most of the client's time for its request, or for a retry at another gateway. */
const MAX_DEADLINE_SHARE = 0.25

/** Resolves when this gateway can route requests; implemented by the process. */
export interface StartGate {
  readonly isOpen: boolean
  /** Resolves once the gate is open, or after `maxMs`, or when the signal aborts. */
  wait: (maxMs: number, signal: AbortSignal) => Promise<void>
}

/** Returns the longest wait of a request, in milliseconds. */
export function decideStartWaitMs(clientDeadlineMs: number | undefined, maxWaitMs: number): number {
  return clientDeadlineMs === undefined ? maxWaitMs : Math.min(maxWaitMs, clientDeadlineMs * MAX_DEADLINE_SHARE)
}
