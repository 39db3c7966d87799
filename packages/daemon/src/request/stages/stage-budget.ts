/**
 * Decides how much of a request's remaining time one stage may use.
 *
 * Inputs: the time left until the deadline in milliseconds; for each later
 * stage, a high quantile of its recent durations at this entry in milliseconds
 * (0 if it has not run here).
 *
 * The `reserved` policy subtracts the durations of the later stages from the
 * remaining time, but leaves at least MIN_SHARE of it. If a stage could use all
 * the remaining time, a slow call of an early stage would keep running after the
 * request can no longer meet its deadline, and a retry would come too late.
 *
 * Log event: `choose`, field `budgetMs`.
 */

/** Time budget policy for stages. */
export interface StageBudgetPolicy {
  /**
   * Returns the time budget of one stage in milliseconds.
   * @param remainingMs Milliseconds left until the deadline.
   * @param laterMs High quantiles of the recent durations of the later stages, in milliseconds.
   */
  budgetMs: (remainingMs: number, laterMs: readonly number[]) => number
}

/** All the remaining time (setting `stage-budget = whole`), a baseline for comparison. */
export class WholeBudget implements StageBudgetPolicy {
  budgetMs(remainingMs: number): number {
    return remainingMs
  }
}

/**
 * Minimum fraction of the remaining time. Keeps a single slow run of the later stages from starving
 * this one, and leaves most of the time to them.
 */
const MIN_SHARE = 0.25

/** Reserves a high quantile of the recent durations of the later stages. */
export class ReservedBudget implements StageBudgetPolicy {
  budgetMs(remainingMs: number, laterMs: readonly number[]): number {
    const reserved = laterMs.reduce((sum, milliseconds) => sum + milliseconds, 0)
    return Math.max(remainingMs - reserved, remainingMs * MIN_SHARE)
  }
}
