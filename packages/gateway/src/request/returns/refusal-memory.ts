/**
 * Decides whether a request is a new one, or one that was refused and has
 * returned.
 *
 * Inputs: the request's fingerprint, which is the same at each attempt of its
 * client; the refusals of recent requests, with the retry delay that each was
 * given (ms); the time (ms, monotonic clock).
 * Rule: a request whose fingerprint was refused has returned if it arrives after
 * the delay that it was given, with a tolerance for the way back; one that
 * arrives earlier repeats. Each refusal counts for one request.
 * Why: the deadline that a client sends does not show it, since the deadlines of
 * first attempts differ by more than a retry delay. Clients that repeat at once
 * must gain nothing by it.
 * Log event: `stages-admission` (`isRetry`); for requests without stages the metric
 * `eidermast_gateway_account_requests_total` (`arrival`).
 *
 * State: the refusals of the last REMEMBERED_MS, at most MAX_REMEMBERED, in
 * memory; without them, a request that returns counts as new.
 */

/** How a request relates to earlier attempts of its client. */
export enum ArrivalKind {
  /** Not known to have been refused. */
  New = 'new',
  /** Refused before, and returned after the retry delay that it was given. */
  Returned = 'returned',
  /** Refused before, and sent again before that. */
  Repeated = 'repeated',
}

/** Longer than the retry delays that clients are given. */
const REMEMBERED_MS = 10_000
/** Bounds the memory: some 100 bytes each. */
const MAX_REMEMBERED = 10_000
/** A client that measures its delay from when it received the refusal may arrive this much earlier than is expected here. */
const EARLY_TOLERANCE_MS = 20

interface Refusal {
  refusedAt: number
  returnsAt: number
}

/** Remembers refused requests until they return. */
export class RefusalMemory {
  /** By fingerprint, the oldest first. */
  private readonly refusals = new Map<string, Refusal>()

  /** Records that a request was refused now and given a retry delay. */
  recordRefusal(fingerprint: string, retryAfterMs: number, now: number): void {
    this.refusals.delete(fingerprint)
    this.refusals.set(fingerprint, { refusedAt: now, returnsAt: now + retryAfterMs })
    this.expire(now)
  }

  /** Classifies a request that arrives now. Its refusal is forgotten if it has returned. */
  classify(fingerprint: string, now: number): ArrivalKind {
    this.expire(now)
    const refusal = this.refusals.get(fingerprint)
    if (!refusal)
      return ArrivalKind.New
    if (now < refusal.returnsAt - EARLY_TOLERANCE_MS)
      return ArrivalKind.Repeated
    this.refusals.delete(fingerprint)
    return ArrivalKind.Returned
  }

  private expire(now: number): void {
    for (const [fingerprint, { refusedAt }] of this.refusals) {
      if (now - refusedAt < REMEMBERED_MS && this.refusals.size <= MAX_REMEMBERED)
        return
      this.refusals.delete(fingerprint)
    }
  }
}
