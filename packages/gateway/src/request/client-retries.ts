/**
 * Decides whether a request is a client's retry: one that was refused before
 * and is sent again.
 *
 * Inputs: the deadline that the client sent (ms), and the longest one that any
 * client of the route sent to this process since the route is configured (ms).
 * Rule: a request is a retry where its deadline is clearly shorter than the
 * route's longest one, since a client that retries has the rest of its first
 * deadline left.
 * Why: requests carry no count of attempts, and refused request ids aren't kept
 * across gateways; the deadline is the only trace that reaches all of them.
 * Log event: `stages-admission` shows the decision that takes it as an input.
 *
 * State: one number a route, until the route leaves the configuration. A new
 * process takes the first request of each route as its first attempt.
 */

/**
 * Share of the route's longest deadline. A smaller one overlooks retries that
 * come soon after the refusal, a larger one counts the jitter of first attempts
 * as retries.
 */
const RETRY_DEADLINE_SHARE = 0.985

/** Recognizes retries of clients by their deadlines. */
export class ClientRetries {
  /** Longest deadline by route name, in milliseconds. */
  private readonly longestDeadlines = new Map<string, number>()

  /** Whether a request with this deadline is a retry; one without a deadline never is. */
  isRetry(routeName: string, deadlineMs: number | undefined): boolean {
    if (deadlineMs === undefined)
      return false
    const longest = Math.max(this.longestDeadlines.get(routeName) ?? 0, deadlineMs)
    this.longestDeadlines.set(routeName, longest)
    return deadlineMs < longest * RETRY_DEADLINE_SHARE
  }

  /** Forgets routes that aren't among these. */
  keepRoutes(routeNames: ReadonlySet<string>): void {
    for (const name of this.longestDeadlines.keys()) {
      if (!routeNames.has(name))
        this.longestDeadlines.delete(name)
    }
  }
}
