/**
 * Decides which client accounts leave room for others while not all stage work
 * can be done.
 *
 * Inputs: for each account, the work that arrived and the work that was admitted
 * in the last moments (ms of the most loaded service, DecayingSum), at this
 * coordinator. Requests without an account count as one account.
 * Rule: max-min shares of the admitted work. An account that demands more than
 * its share leaves room while another one demands no more than its own.
 * Why: what a large account demands beyond its share then takes nothing from a
 * small one. While all demand is admitted, every share is the whole demand, and no
 * account is limited.
 * Log event: `stages-admission` (reason `account-over-share`).
 * Load: one account with many times its usual requests.
 *
 * State: two sums for each account of the last moments, in memory.
 */
import { maxMinShares } from '@eidermast/common'
import { DecayingSum } from './decaying-sum.js'

/** Demand beyond the admitted work by less than this part is chance. */
const MIN_EXCESS = 0.05
/** Work below which an account is forgotten, in milliseconds. */
const NEGLIGIBLE_WORK_MS = 0.01

interface AccountWork {
  arrived: DecayingSum
  admitted: DecayingSum
}

/** Compares the work of client accounts. */
export class AccountBalance {
  private readonly accounts = new Map<string | undefined, AccountWork>()

  recordArrival(account: string | undefined, workMs: number, now: number): void {
    this.expire(now)
    this.workOf(account).arrived.add(workMs, now)
  }

  recordAdmission(account: string | undefined, workMs: number, now: number): void {
    this.workOf(account).admitted.add(workMs, now)
  }

  /** Whether an account demands more than its share while another one does not. */
  leavesRoom(account: string | undefined, now: number): boolean {
    const demands = new Map([...this.accounts].map(([name, { arrived }]) => [name, { demand: arrived.at(now) }]))
    const admitted = [...this.accounts.values()].reduce((sum, work) => sum + work.admitted.at(now), 0)
    const shares = maxMinShares(demands, admitted)
    const isOver = (name: string | undefined): boolean => (demands.get(name)?.demand ?? 0) > (shares.get(name) ?? 0) * (1 + MIN_EXCESS)
    return isOver(account) && [...demands.keys()].some(name => !isOver(name))
  }

  private workOf(account: string | undefined): AccountWork {
    const work = this.accounts.get(account) ?? { arrived: new DecayingSum(), admitted: new DecayingSum() }
    this.accounts.set(account, work)
    return work
  }

  private expire(now: number): void {
    for (const [account, { arrived }] of this.accounts) {
      if (arrived.at(now) < NEGLIGIBLE_WORK_MS)
        this.accounts.delete(account)
    }
  }
}
