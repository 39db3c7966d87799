/**
 * Decides how many failed stage calls an entry makes again.
 *
 * Inputs: calls made for this stage so far; stages begun by this entry for this
 * kind of work (pipelines or plain services) since its start.
 * Rule (`budget`): each stage begun earns RETRIES_PER_CALL of a retry, up to
 * MAX_SAVED_RETRIES; a retry costs one, and a stage has MAX_BUDGET_ATTEMPTS
 * calls at most.
 * Why: with a fixed number of calls for each stage, a failing pool gets several
 * times its load just when it can bear least.
 * Log event: `failed`, then `choose` where a retry was permitted; metric
 * `eidermast_retries_total`.
 *
 * State: a balance in memory; a restarted entry begins with START_RETRIES.
 */

/** A way to limit retries. */
export interface RetryPolicy {
  /** Counts a stage's first call. */
  recordCall: () => void
  /** Takes a retry where one is permitted; `attempt` calls were made so far. */
  take: (attempt: number) => boolean
}

/** Calls of one stage, the first included. Half permits no retry, twice loads a failing pool six times over. */
const MAX_FIXED_ATTEMPTS = 3

/** The baseline, for the setting `retry = fixed`: a fixed number of calls for each stage. */
export class FixedRetry implements RetryPolicy {
  recordCall(): void {}

  take(attempt: number): boolean {
    return attempt < MAX_FIXED_ATTEMPTS
  }
}

/** Retries earned by a call. Half fails requests when a tenth of calls fail, twice adds up to 40% of load. */
const RETRIES_PER_CALL = 0.2
/** Retries. Lets a new entry retry before it has earned any; twice only matters in its first 50 calls. */
const START_RETRIES = 10
/** Retries. Half covers a shorter burst of failures, twice permits a longer one of extra load. */
const MAX_SAVED_RETRIES = 50
/** Calls of one stage, the first included. Half leaves a single retry, twice seldom ends within a deadline. */
const MAX_BUDGET_ATTEMPTS = 5

/** Retries within a share of recent calls, so that a failing pool is not loaded many times over. */
export class BudgetRetry implements RetryPolicy {
  private balance = START_RETRIES

  recordCall(): void {
    this.balance = Math.min(MAX_SAVED_RETRIES, this.balance + RETRIES_PER_CALL)
  }

  take(attempt: number): boolean {
    if (attempt >= MAX_BUDGET_ATTEMPTS || this.balance < 1)
      return false
    this.balance--
    return true
  }
}
