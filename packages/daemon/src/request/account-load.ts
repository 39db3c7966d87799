/**
 * Requests in flight by client account, with the accounts' weights. One count
 * an entry and kind of work, in memory, for as long as its requests last.
 */

interface ActiveAccount {
  inFlight: number
  share: number
}

/** Counts requests in flight. */
export class AccountLoad {
  private readonly accounts = new Map<string, ActiveAccount>()
  private count = 0

  /** All requests in flight. */
  get total(): number {
    return this.count
  }

  /** Requests in flight of one account. */
  of(account: string): number {
    return this.accounts.get(account)?.inFlight ?? 0
  }

  /** An account's part of the weights of the accounts in flight, itself included. */
  shareWith(account: string, share: number): number {
    let sum = share
    for (const [name, active] of this.accounts) {
      if (name !== account)
        sum += active.share
    }
    return share / sum
  }

  /** Counts a request that begins; the newest weight of its account counts. */
  add(account: string, share: number): void {
    const active = this.accounts.get(account) ?? { inFlight: 0, share }
    active.inFlight++
    active.share = share
    this.accounts.set(account, active)
    this.count++
  }

  /** Counts a request that has ended. */
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
