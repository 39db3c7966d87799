/**
 * Decides whether a backend server counts as full, so that it gets no request
 * that it would refuse.
 *
 * Load: a service is asked for more than it can do, and its backend servers queue
 * fewer requests than would be answered in time.
 * Inputs: how many requests were there when it last refused one for lack of room,
 * and when (ms); how many are there now, as far as known.
 * Rule: full while as many are there as at the refusal, for LEARNED_FOR_MS after
 * it. A report of more requests raises the limit.
 * Why: no backend server says how many requests it queues. Each refusal takes a
 * retry from the budget of all client accounts, so that sending until it refuses
 * costs those that send little.
 * Log event: `route` (`expectedMs`), `admission`.
 */

/** Queues seldom change their length; after this, one request finds out. */
const LEARNED_FOR_MS = 5000

/** What is known of the queue of one backend server. */
export class QueueLimit {
  private limit = Number.POSITIVE_INFINITY
  private learnedAt = Number.NEGATIVE_INFINITY

  /** Records a refusal while `requests` were there; `now` is on the monotonic clock in milliseconds. */
  recordRefusal(requests: number, slots: number, now: number): void {
    this.limit = Math.max(slots, Math.round(requests))
    this.learnedAt = now
  }

  /** Records that so many requests are there. */
  recordReport(requests: number): void {
    this.limit = Math.max(this.limit, requests)
  }

  isFull(requests: number, now: number): boolean {
    return now - this.learnedAt < LEARNED_FOR_MS && Math.round(requests) >= this.limit
  }
}
