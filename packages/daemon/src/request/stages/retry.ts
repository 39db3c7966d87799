/**
 * Limits of calls made again.
 */

/** A way to limit retries. */
export interface RetryPolicy {
  /** Counts a stage's first call. */
  recordCall: () => void
  /** Takes leave for another call; `attempt` calls were made so far. */
  take: (attempt: number) => boolean
}

const FIXED_ATTEMPTS = 3

/** The baseline: a fixed number of calls for each stage. */
export class FixedRetry implements RetryPolicy {
  recordCall(): void {}

  take(attempt: number): boolean {
    return attempt < FIXED_ATTEMPTS
  }
}

const BUDGET_SHARE = 0.2
const BUDGET_START = 10
const BUDGET_LIMIT = 50
const BUDGET_ATTEMPTS = 5

/** Retries within a share of recent calls, so that a failing pool is not loaded many times over. */
export class BudgetRetry implements RetryPolicy {
  private tokens = BUDGET_START

  recordCall(): void {
    this.tokens = Math.min(BUDGET_LIMIT, this.tokens + BUDGET_SHARE)
  }

  take(attempt: number): boolean {
    if (attempt >= BUDGET_ATTEMPTS || this.tokens < 1)
      return false
    this.tokens--
    return true
  }
}
