/**
 * Counts the demand of the last second at this gateway, by service and client
 * account. In memory: counts of earlier seconds are forgotten, also after a pause
 * of the process.
 */
import type { Demand } from './account-shares.js'
import { ArrivalKind } from '../returns/refusal-memory.js'
import { DemandEnd } from './account-shares.js'

/** Time that the counts cover. Long enough for a rate, and short enough to follow a burst. */
export const DEMAND_WINDOW_MS = 1000
const BUCKETS = 10
/** How long an account that sends nothing is reported, so that others leave it room: small ones send less than once a second. */
const ACCOUNT_REMEMBERED_MS = 10_000
const BUCKET_MS = DEMAND_WINDOW_MS / BUCKETS

/** Requests of one client account that arrived within the window; none of an account that was seen shortly before it. */
export interface AccountDemand {
  /** Undefined on public routes. */
  account: string | undefined
  /** New ones, and those that were sent again too early. */
  new: number
  /** Those that returned after the retry delay that they were given. */
  returned: number
}

/** Demand for one service within the window. */
export interface ServiceDemand {
  service: string
  /** Requests that were served. */
  served: number
  /** Time since a request last found no room, in milliseconds; infinite if there was none within the window. */
  quietMs: number
  accounts: AccountDemand[]
}

interface Bucket {
  /** Number of the time interval that it counts. */
  interval: number
  served: number
  accounts: Map<string | undefined, { new: number, returned: number }>
}

/** Counts of one service. */
class ServiceMeter {
  /** The oldest first. */
  private readonly buckets: Bucket[] = []
  /** Time by account, the oldest first. */
  private readonly lastArrivals = new Map<string | undefined, number>()
  noRoomAt = Number.NEGATIVE_INFINITY

  recordArrival({ account, kind }: Demand, now: number): void {
    const { accounts } = this.bucketAt(now)
    const counts = accounts.get(account) ?? { new: 0, returned: 0 }
    counts[kind === ArrivalKind.Returned ? 'returned' : 'new']++
    accounts.set(account, counts)
    this.lastArrivals.delete(account)
    this.lastArrivals.set(account, now)
  }

  recordServed(now: number): void {
    this.bucketAt(now).served++
  }

  read(service: string, now: number): ServiceDemand {
    this.expire(now)
    const accounts = new Map<string | undefined, AccountDemand>()
    for (const account of this.lastArrivals.keys())
      addDemand(accounts, { account, new: 0, returned: 0 })
    for (const bucket of this.buckets) {
      for (const [account, counts] of bucket.accounts)
        addDemand(accounts, { account, ...counts })
    }
    const quietMs = now - this.noRoomAt
    return {
      service,
      served: this.buckets.reduce((sum, { served }) => sum + served, 0),
      quietMs: quietMs < DEMAND_WINDOW_MS ? quietMs : Number.POSITIVE_INFINITY,
      accounts: [...accounts.values()],
    }
  }

  private bucketAt(now: number): Bucket {
    const interval = Math.floor(now / BUCKET_MS)
    this.expire(now)
    const newest = this.buckets.at(-1)
    if (newest && newest.interval >= interval)
      return newest
    const bucket = { interval, served: 0, accounts: new Map() }
    this.buckets.push(bucket)
    return bucket
  }

  private expire(now: number): void {
    const oldest = Math.floor(now / BUCKET_MS) - BUCKETS
    while (this.buckets.length > 0 && this.buckets[0].interval <= oldest)
      this.buckets.shift()
    for (const [account, arrivedAt] of this.lastArrivals) {
      if (now - arrivedAt < ACCOUNT_REMEMBERED_MS)
        return
      this.lastArrivals.delete(account)
    }
  }
}

/** Counts arrivals and ends of requests. Times are on the monotonic clock, in milliseconds. */
export class DemandMeter {
  private readonly services = new Map<string, ServiceMeter>()

  recordArrival(demand: Demand, now: number): void {
    this.meterOf(demand.service).recordArrival(demand, now)
  }

  recordEnd({ service }: Demand, end: DemandEnd, now: number): void {
    const meter = this.meterOf(service)
    if (end === DemandEnd.Served)
      meter.recordServed(now)
    else if (end === DemandEnd.NoRoom)
      meter.noRoomAt = now
  }

  /** The demand for each service that was asked for, the requests refused beyond a share included. */
  read(now: number): ServiceDemand[] {
    return [...this.services].map(([service, meter]) => meter.read(service, now))
  }

  private meterOf(service: string): ServiceMeter {
    const existing = this.services.get(service)
    if (existing)
      return existing
    const meter = new ServiceMeter()
    this.services.set(service, meter)
    return meter
  }
}

/** Adds the demand of an account to a sum. */
export function addDemand(sums: Map<string | undefined, AccountDemand>, { account, new: fresh, returned }: AccountDemand): void {
  const sum = sums.get(account) ?? { account, new: 0, returned: 0 }
  sum.new += fresh
  sum.returned += returned
  sums.set(account, sum)
}
