/**
 * Number of requests in flight per client account, with the weights of the
 * accounts. Each entry has one instance per kind of work; state is in memory only.
 */

interface ActiveAccount {
  inFlight: number
  share: number
}

/** Counts requests in flight per client account. */
export class AccountLoad {
  private readonly accounts = new Map<string, ActiveAccount>()
  private count = 0

  /** Number of requests in flight. */
  get total(): number {
    return this.count
  }

  /** Number of requests in flight of one account. */
  inFlightOf(account: string): number {
    return this.accounts.get(account)?.inFlight ?? 0
  }

  /** Returns the account's fraction of the total weight of active accounts, including itself. */
  relativeShare(account: string, share: number): number {
    let sum = share
    for (const [name, active] of this.accounts) {
      if (name !== account)
        sum += active.share
    }
    return share / sum
  }

  /** Adds a request and updates the weight of its account. */
  add(account: string, share: number): void {
    const active = this.accounts.get(account) ?? { inFlight: 0, share }
    active.inFlight++
    active.share = share
    this.accounts.set(account, active)
    this.count++
  }

  /** Removes a request that has ended. */
  remove(account: string): void {
    const active = this.accounts.get(account)
    if (!active)
      return
    this.count--
    active.inFlight--
    if (active.inFlight === 0)
      this.accounts.delete(account)
  }
}
