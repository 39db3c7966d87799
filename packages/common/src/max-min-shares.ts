/**
 * Decides how accounts that compete for a capacity share it.
 *
 * Inputs: the demand of each account and the capacity, in the same unit; optional
 * weights.
 * Rule: weighted max-min fairness. An account that demands less than its part by
 * weight gets all of its demand; the others divide what is left by weight.
 * Why: what a large account demands beyond its part takes nothing from a small
 * one, and no capacity is left over while somebody demands more.
 * Log event: none here; the callers of the function log the shares.
 * Load: one account demands many times its usual.
 */

/** Demand of one account. */
export interface ShareDemand {
  /** Not negative. */
  demand: number
  /** Above 0. @default 1 */
  weight?: number
}

/** Returns the share of each account: at most its demand, and at most the capacity in all. */
export function maxMinShares<Account>(demands: ReadonlyMap<Account, ShareDemand>, capacity: number): Map<Account, number> {
  const shares = new Map<Account, number>()
  const bySaturation = [...demands].map(([account, { demand, weight = 1 }]) => ({ account, demand, weight, saturation: demand / weight }))
  bySaturation.sort((left, right) => left.saturation - right.saturation)
  let capacityLeft = Math.max(0, capacity)
  let weightLeft = bySaturation.reduce((sum, { weight }) => sum + weight, 0)
  for (const { account, demand, weight } of bySaturation) {
    const share = Math.min(demand, capacityLeft * Math.min(1, weight / weightLeft))
    shares.set(account, share)
    capacityLeft -= share
    weightLeft -= weight
  }
  return shares
}
