/**
 * Decides which of an account's requests fit into its share.
 *
 * Load: one account sends many times its usual while a service is overloaded.
 *
 * Inputs: the share of the account's requests of this kind, new or returned, that
 * is admitted (0 to 1, account-shares.ts), at each arrival.
 * Rule: each arrival adds the share to a credit of the service and account; a
 * request fits if the credit reaches one, which it then uses (error diffusion).
 * Why: by chance, an account that sends few requests could be refused several
 * times in a row; here the number admitted is never off by more than one.
 * Log event: `admission` (`share`).
 *
 * State: one number for each service and account that had a share below 1, in
 * memory.
 */

/** Rounds the number of admitted requests to the nearest instead of up or down. */
const INITIAL_CREDIT = 0.5
/** Sums of shares such as 0.1 are not exact. */
const ROUNDING = 1e-9

/** Credits of all accounts in one service. */
export class ShareCredits {
  private readonly credits = new Map<string | undefined, number>()

  /** Adds one arrival; returns whether it fits into the share. */
  takeArrival(account: string | undefined, share: number): boolean {
    if (share >= 1)
      return true
    const credit = (this.credits.get(account) ?? INITIAL_CREDIT) + share
    const fits = credit >= 1 - ROUNDING
    this.credits.set(account, fits ? credit - 1 : credit)
    return fits
  }
}
