/**
 * Decides how many failed stage calls an entry retries.
 *
 * Inputs: the number of calls already made for the stage; the number of stages
 * that this entry has started for this kind of work (pipelines or plain
 * services) since it started.
 *
 * The `budget` policy is a token bucket: each started stage adds
 * RETRY_TOKENS_PER_STAGE tokens, up to MAX_RETRY_TOKENS, and a retry consumes
 * one token. A stage makes at most MAX_BUDGET_ATTEMPTS calls. With a fixed number of
 * attempts per stage, a failing pool would receive a multiple of its normal load
 * when it is least able to handle it.
 *
 * Log events: `failed`, then `choose` if a retry is allowed. Metric:
 * `eidermast_retries_total`.
 *
 * State: the token balance, in memory. It starts at INITIAL_RETRY_TOKENS after a
 * restart.
 */

/** Retry policy. */
export interface RetryPolicy {
  /** Records the first call of a stage. */
  recordFirstCall: () => void
  /** Consumes a retry and returns true if one is allowed after `attempt` calls. */
  tryAcquire: (attempt: number) => boolean
}

/** Calls per stage, including the first. Allows two retries; a failing pool receives up to three times its normal load. */
const MAX_FIXED_ATTEMPTS = 3

/** Fixed number of calls per stage (setting `retry = fixed`), a baseline for comparison. */
export class FixedRetry implements RetryPolicy {
  recordFirstCall(): void {}

  tryAcquire(attempt: number): boolean {
    return attempt < MAX_FIXED_ATTEMPTS
  }
}

/** Tokens per started stage: enough retries when 10% of calls fail, for at most 20% additional load. */
const RETRY_TOKENS_PER_STAGE = 0.2
/** Initial tokens, so that a new entry can retry at once. Affects only about its first 50 calls. */
const INITIAL_RETRY_TOKENS = 10
/** Maximum tokens. Covers a burst of failures and limits the additional load that it causes. */
const MAX_RETRY_TOKENS = 50
/** Calls per stage, including the first: several backend servers can be tried; more calls rarely fit into a deadline. */
const MAX_BUDGET_ATTEMPTS = 5

/** Limits retries to a fraction of recent calls to avoid overloading a failing pool. */
export class BudgetRetry implements RetryPolicy {
  private tokenBalance = INITIAL_RETRY_TOKENS

  recordFirstCall(): void {
    this.tokenBalance = Math.min(MAX_RETRY_TOKENS, this.tokenBalance + RETRY_TOKENS_PER_STAGE)
  }

  tryAcquire(attempt: number): boolean {
    if (attempt >= MAX_BUDGET_ATTEMPTS || this.tokenBalance < 1)
      return false
    this.tokenBalance--
    return true
  }
}
