/**
 * Decides which part of a request's remaining time one stage may use.
 *
 * Inputs: what remains of the deadline (ms, as of now); for each later stage a
 * high quantile of its recent times (ms, of this entry's newest calls; 0 where
 * it has not run here).
 * Rule (`reserved`): what remains less the later stages' times, but at least
 * MIN_SHARE of what remains.
 * Why: with the whole time a slow call of an early stage would run on after the
 * request has lost its chance, and its retry would come too late.
 * Log event: `choose`, field `budgetMs`.
 */

/** A way to give a stage its time. */
export interface StageBudgetPolicy {
  /**
   * The time of one stage, in milliseconds.
   * @param remainingMs What remains of the deadline, in milliseconds.
   * @param laterMs Recent high quantiles of the later stages' times, in milliseconds.
   */
  budgetMs: (remainingMs: number, laterMs: readonly number[]) => number
}

/** The baseline, for the setting `stage-budget = whole`: all that remains. */
export class WholeBudget implements StageBudgetPolicy {
  budgetMs(remainingMs: number): number {
    return remainingMs
  }
}

/** Share of what remains. Half starves a stage whose followers were slow once, twice starves those. */
const MIN_SHARE = 0.25

/** What remains after the later stages' recent high quantile. */
export class ReservedBudget implements StageBudgetPolicy {
  budgetMs(remainingMs: number, laterMs: readonly number[]): number {
    const reserved = laterMs.reduce((sum, milliseconds) => sum + milliseconds, 0)
    return Math.max(remainingMs - reserved, remainingMs * MIN_SHARE)
  }
}
