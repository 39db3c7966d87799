/**
 * The part of a request's remaining time that one stage may use.
 */

/** A way to give a stage its time. */
export interface StageBudgetPolicy {
  /**
   * @param remainingMs What remains of the deadline.
   * @param laterMs Recent high quantiles of the later stages' times.
   */
  budgetMs: (remainingMs: number, laterMs: readonly number[]) => number
}

/** The baseline: all that remains. */
export class WholeBudget implements StageBudgetPolicy {
  budgetMs(remainingMs: number): number {
    return remainingMs
  }
}

/** A stage is never left with less than this part of what remains. */
const SMALLEST_PART = 0.25

/** What remains after the later stages' recent high quantile. */
export class ReservedBudget implements StageBudgetPolicy {
  budgetMs(remainingMs: number, laterMs: readonly number[]): number {
    const reserved = laterMs.reduce((sum, milliseconds) => sum + milliseconds, 0)
    return Math.max(remainingMs - reserved, remainingMs * SMALLEST_PART)
  }
}
