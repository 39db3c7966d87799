/**
 * Decides whether a request that arrives is new or has returned as told, and
 * which target it still has.
 *
 * Inputs: fingerprint, target and deadline (ms left) of the request; the refusals
 * of this coordinator (at most some seconds old) with the retry delay (ms) and
 * the target of the refused attempt (ms, monotonic clock).
 * Rule: `RefusalMemory` classifies it. A request that returned as told counts as
 * a retry, and keeps the target of its first attempt; any other counts as a first
 * attempt. A request without a fingerprint is new.
 * Why: callers measure from their first attempt. With a new target, work that is
 * late in any case would compete with work that can be in time.
 * Log event: `stages-admission` (`arrival`).
 * Load: refused callers who come back during a burst.
 *
 * State: the targets of refused requests, as long and as many as the refusals;
 * another coordinator begins without and takes callers that return for new ones.
 */
import type { PreparationRequest } from '../../../connection/peers/preparation.js'
import type { StageArrival } from './stage-sharing.js'
import { ArrivalKind, RefusalMemory } from '../../../request/returns/refusal-memory.js'

/** Targets that are kept; as many as refusals are remembered. */
const MAX_TARGETS = 10_000

/** The callers that were refused and have not returned yet. */
export class ReturningCallers {
  private readonly refusals = new RefusalMemory()
  /** Target of the first attempt by fingerprint, on the monotonic clock in milliseconds; the oldest first. */
  private readonly targets = new Map<string, number>()

  recordArrival(request: PreparationRequest, now: number): StageArrival {
    const { fingerprint } = request
    if (fingerprint === undefined)
      return { kind: ArrivalKind.New, request: { ...request, isRetry: false } }
    const kind = this.refusals.classify(fingerprint, now)
    const targetAt = this.targets.get(fingerprint) ?? Number.POSITIVE_INFINITY
    if (kind === ArrivalKind.New)
      this.targets.delete(fingerprint)
    if (kind !== ArrivalKind.Returned)
      return { kind, request: { ...request, isRetry: false } }
    return { kind, request: { ...request, isRetry: false, targetMs: Math.min(request.targetMs, targetAt - now) } }
  }

  recordRefusal({ fingerprint, targetMs }: PreparationRequest, retryAfterMs: number, now: number): void {
    if (fingerprint === undefined)
      return
    this.refusals.recordRefusal(fingerprint, retryAfterMs, now)
    const targetAt = Math.min(now + targetMs, this.targets.get(fingerprint) ?? Number.POSITIVE_INFINITY)
    this.targets.delete(fingerprint)
    this.targets.set(fingerprint, targetAt)
    const [oldest] = this.targets.keys()
    if (this.targets.size > MAX_TARGETS)
      this.targets.delete(oldest)
  }
}
