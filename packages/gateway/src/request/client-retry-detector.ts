/**
 * Decides whether a request is a client's retry of a request that was rejected.
 *
 * Inputs: the deadline that the client sent (ms), and the longest one that any
 * client of the route has sent to this process since the route was configured (ms).
 * Rule: a request is a retry if its deadline is clearly shorter than the route's
 * longest one, because a client that retries sends what is left of its original
 * deadline.
 * Why: requests carry no attempt count, and the ids of rejected requests are not
 * shared between gateways; the deadline is the only evidence that every gateway sees.
 * Log event: `stages-admission` (isRetry).
 *
 * State: one number per route, until the route is removed from the configuration.
 * A new process takes the first request of each route as a first attempt.
 */

/**
 * Share of the route's longest deadline below which a request is a retry. Close to
 * 1, to detect retries sent soon after the rejection; the difference allows for
 * jitter in the deadlines of first attempts.
 */
const RETRY_DEADLINE_SHARE = 0.985

/** Detects client retries by their deadlines. */
export class ClientRetryDetector {
  /** Longest deadline by route name, in milliseconds. */
  private readonly longestDeadlines = new Map<string, number>()

  /** Whether a request with this deadline is a retry; never true without a deadline. */
  isRetry(routeName: string, deadlineMs: number | undefined): boolean {
    if (deadlineMs === undefined)
      return false
    const longest = Math.max(this.longestDeadlines.get(routeName) ?? 0, deadlineMs)
    this.longestDeadlines.set(routeName, longest)
    return deadlineMs < longest * RETRY_DEADLINE_SHARE
  }

  /** Removes all routes but these. */
  retainRoutes(routeNames: ReadonlySet<string>): void {
    for (const name of this.longestDeadlines.keys()) {
      if (!routeNames.has(name))
        this.longestDeadlines.delete(name)
    }
  }
}
