/**
 * Decides how many items a call takes before the rest is left to the calls
 * that start next.
 *
 * Inputs: items that wait in the pool; the usable backend servers and when each
 * can start a call (ms, by the expected end of its call under way), as of now;
 * the fixed time of a call (ms, configured).
 * Rule: the waiting items are divided evenly among the backend servers that can
 * start within SOON_SHARE of the fixed time of a call; a call takes whole tasks
 * until it has its part.
 * Why: a call ends with its last item, so each task added delays all others in
 * the call. The first idle backend server used to take all that waited, up to a
 * full call, while the next ones stood idle some milliseconds later: calls of
 * one task and of four ran side by side. Under load few backend servers start
 * soon and much waits, so that calls become full by the same rule.
 * Log event: `stage-call` (items).
 */
import type { CallForecasts } from './call-forecasts.js'

/**
 * Share of the fixed time of a call within which a start is soon. At 130 a
 * second, the 90th percentile of the most urgent requests falls from 1,260 to
 * 1,046 ms.
 */
const SOON_CALL_FRACTION = 0.5

/** Items after which a call takes no further task; takes the fixed time of a call, in milliseconds. */
export function decideCallItems(waitingItems: number, forecasts: CallForecasts, fixedCallMs: number): number {
  const startingSoon = forecasts.countStartingWithin(fixedCallMs * SOON_CALL_FRACTION)
  return Math.ceil(waitingItems / Math.max(1, startingSoon))
}
