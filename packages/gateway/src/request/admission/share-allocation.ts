/**
 * Decides which fraction of each client account's new requests is admitted to a
 * service that has no room for all.
 *
 * Inputs: the demand for the service at all gateways, or at this one alone:
 * requests of the last second by account (new, and returned as told), requests
 * served in that second, and the time since one found no room (ms). Counts of
 * other gateways are up to a heartbeat interval old.
 * Rule: the capacity is what the service served, and PROBE_SHARE more; it doubles
 * every DOUBLING_MS from EXPECTED_QUIET_MS after the last request that found no
 * room, and is unlimited after a second. It is shared by max-min fairness of all
 * requests of each account. Those that returned as told are served first, and use
 * the share of their account; the fraction is what is left of the share over the
 * account's new requests. Where returned requests exceed the share, they have a
 * fraction too. An account that is alone is not limited.
 * Why: a fraction holds at every gateway, however the requests are spread over
 * them, and needs no message when callers move. A count of places for each gateway
 * would be left unused at some. The requests above the measured rate find freed
 * room; without them, the rate that is served could never grow.
 * Log event: `account-shares`.
 * Load: one account sends many times its usual while the service is overloaded.
 */
import type { AccountDemand, ServiceDemand } from './demand-meter.js'
import { maxMinShares } from '@eidermast/common'
import { MAX_ACCOUNTS } from '../../connection/peers/load-message.js'
import { addDemand, DEMAND_WINDOW_MS } from './demand-meter.js'

/** Requests above the measured rate. Few, since each one that finds no room is refused. */
const PROBE_SHARE = 0.05
/** Requests a second above the measured rate, so that a service that serves few is probed within a second too. */
const MIN_PROBE_PER_SECOND = 2
/** Two heartbeat intervals: time in which a refusal may not have been reported yet. */
const EXPECTED_QUIET_MS = 300
/** Time in which the probed share doubles. Room that becomes free must be in use within a second. */
const DOUBLING_MS = 400

/** Fraction of the requests of a client account that is admitted. */
export interface AccountFraction {
  /** Undefined on public routes. */
  account: string | undefined
  /** Fraction of new requests, 0 to 1. */
  fraction: number
  /** Fraction of requests that returned as told, 0 to 1; undefined if all are admitted. */
  returnedFraction?: number
}

/** Fractions of one service. */
export interface ServiceAllocation {
  service: string
  /** Requests a second that are admitted. */
  capacity: number
  /** Accounts of which not all new requests are admitted, at most as many as a message holds, those with the most requests first. */
  accounts: AccountFraction[]
}

/** Decides the fractions of a service; undefined while it has room for all. */
export function allocateShares({ service, served, quietMs, accounts }: ServiceDemand): ServiceAllocation | undefined {
  if (quietMs >= DEMAND_WINDOW_MS)
    return undefined
  const capacity = estimateCapacity(served, quietMs)
  const demands = new Map(accounts.map(demand => [demand.account, { demand: totalOf(demand) }]))
  const shares = maxMinShares(demands, capacity)
  const limited = accounts.filter(demand => accounts.length > 1 && shares.get(demand.account)! < totalOf(demand))
  limited.sort((left, right) => totalOf(right) - totalOf(left))
  return { service, capacity, accounts: limited.slice(0, MAX_ACCOUNTS).map(demand => limit(demand, shares.get(demand.account)!)) }
}

/** Sums the demand for each service over gateways. */
export function sumDemand(reports: Iterable<readonly ServiceDemand[]>): ServiceDemand[] {
  const sums = new Map<string, Omit<ServiceDemand, 'accounts'> & { accounts: Map<string | undefined, AccountDemand> }>()
  for (const report of reports) {
    for (const { service, served, quietMs, accounts } of report) {
      const sum = sums.get(service) ?? { service, served: 0, quietMs: Number.POSITIVE_INFINITY, accounts: new Map() }
      sum.served += served
      sum.quietMs = Math.min(sum.quietMs, quietMs)
      for (const demand of accounts)
        addDemand(sum.accounts, demand)
      sums.set(service, sum)
    }
  }
  return [...sums.values()].map(sum => ({ ...sum, accounts: [...sum.accounts.values()] }))
}

/** Requests a second that the service has room for, and some more to find out. */
function estimateCapacity(served: number, quietMs: number): number {
  const measured = served / DEMAND_WINDOW_MS * 1000
  const growth = 2 ** (Math.max(0, quietMs - EXPECTED_QUIET_MS) / DOUBLING_MS)
  return (measured + Math.max(measured * PROBE_SHARE, MIN_PROBE_PER_SECOND)) * growth
}

function totalOf(demand: AccountDemand): number {
  return demand.new + demand.returned
}

/** The fractions for an account that demands more than its share. */
function limit({ account, new: fresh, returned }: AccountDemand, share: number): AccountFraction {
  return share < returned ? { account, fraction: 0, returnedFraction: share / returned } : { account, fraction: (share - returned) / fresh }
}
