/**
 * Decides when a gateway that was asked to stop refuses new requests, closes its
 * listener and ends.
 *
 * Inputs: milliseconds since SIGTERM, whether new requests are refused already,
 * unanswered requests, whether another gateway serves (all as of now, the last by
 * heartbeats), and the grace period of the settings (ms).
 * Rule: report not ready at once, but serve for DRAIN_SERVE_MS; then refuse new
 * requests, close the listener after DRAIN_CLOSE_MS, and end when all requests
 * are answered. While no other gateway serves, serve for DRAIN_SERVE_ALONE_MS and
 * keep the listener open until the end. Without a check that found new requests
 * refused and all others answered, end only END_MARGIN_MS before the end of the
 * grace period; ANSWER_MARGIN_MS before that, answer the requests that are left
 * (`unanswered-requests.ts`).
 * Why: the platform's load balancer detects only by its checks that this gateway
 * is not ready, and clients continue to use persistent connections. Refusing at
 * once would fail requests that can still be served. Serving longer delays the
 * restart, so that several gateways would be away at the same time in a rolling
 * restart. A closed listener helps only if the next connection reaches another
 * gateway. A request that is accepted after the last one was counted would be cut
 * off, since the process still reads connections until it exits.
 * The process exits once its log lines are written, and no later than
 * EXIT_MARGIN_MS before SIGKILL.
 * Log events: `stop`, `stopped`.
 */
import { MAX_LOG_FLUSH_MS } from '@eidermast/common'

/**
 * Time from SIGTERM during which new requests are served: two missed checks of
 * the load balancer, one a second (the platform's protocol, section on ingress),
 * and 300 ms for the signal (up to 126 ms late) and a new connection. Requests
 * that were just sent here are not refused, and most of the grace period is left.
 */
export const DRAIN_SERVE_MS = 2300

/**
 * The same while no other gateway serves. The platform's rules excuse a stream
 * that is cut off at the end of the grace period only if it was sent within 3 s
 * of the signal.
 */
export const DRAIN_SERVE_ALONE_MS = 2800

/**
 * Time from SIGTERM after which the listener closes. Until then, a late request
 * gets a refusal, after which its client may retry it elsewhere, instead of a
 * refused connection. Delays the restart of an idle gateway.
 */
export const DRAIN_CLOSE_MS = 2700

/** Time to write the last log lines before SIGKILL; requests that are still unanswered are cut off this much earlier. */
const END_MARGIN_MS = 400

/**
 * Time from the last answers to unanswered requests until the process ends, in
 * which their work is ended and the answers are written.
 */
const ANSWER_MARGIN_MS = 200

/** Time for the process to exit after the last log lines, before SIGKILL. */
const EXIT_MARGIN_MS = 100

/** The steps of a shutdown, in order. */
export enum DrainStep {
  Serve = 'serve',
  /** New requests are refused. */
  Refuse = 'refuse',
  /** The listener is closed; responses in flight continue. */
  Close = 'close',
  /** Requests whose answers have not begun are answered. */
  Answer = 'answer',
  /** The process ends. */
  End = 'end',
}

/** State of a gateway that is shutting down. */
export interface DrainState {
  /** Since SIGTERM. */
  elapsedMs: number
  /** Whether new requests are refused, so that the number of unanswered ones only falls. */
  isRefusing: boolean
  /** Unanswered requests. */
  activeRequests: number
  /** From SIGTERM to SIGKILL. */
  gracePeriodMs: number
  /** Whether another gateway answers heartbeats and is not stopping. */
  othersServe: boolean
}

/** Time from SIGTERM after which the process ends regardless of requests in flight. */
export function latestEndMs(gracePeriodMs: number): number {
  return gracePeriodMs - END_MARGIN_MS
}

/** Time from SIGTERM after which the requests are answered whose answers have not begun. */
export function latestAnswerMs(gracePeriodMs: number): number {
  return latestEndMs(gracePeriodMs) - ANSWER_MARGIN_MS
}

/** Time to write the last log lines, `elapsedMs` after SIGTERM. */
export function logFlushTimeoutMs(elapsedMs: number, gracePeriodMs: number): number {
  return Math.max(0, Math.min(MAX_LOG_FLUSH_MS, gracePeriodMs - EXIT_MARGIN_MS - elapsedMs))
}

/** Decides the current step of a shutdown. */
export function decideDrainStep({ elapsedMs, isRefusing, activeRequests, gracePeriodMs, othersServe }: DrainState): DrainStep {
  const isOver = elapsedMs >= (othersServe ? DRAIN_CLOSE_MS : DRAIN_SERVE_ALONE_MS)
  if (elapsedMs >= latestEndMs(gracePeriodMs) || (isOver && isRefusing && activeRequests === 0))
    return DrainStep.End
  if (elapsedMs >= latestAnswerMs(gracePeriodMs))
    return DrainStep.Answer
  if (othersServe && isOver)
    return DrainStep.Close
  const serveMs = othersServe ? DRAIN_SERVE_MS : DRAIN_SERVE_ALONE_MS
  return elapsedMs >= serveMs ? DrainStep.Refuse : DrainStep.Serve
}
