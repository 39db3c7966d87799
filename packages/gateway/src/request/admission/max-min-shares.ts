/**
 * Applies the fair shares of client accounts to the requests that this gateway
 * receives: counts their demand, and looks up the fractions in force. The
 * fractions are computed in `share-allocation.ts`; from whose demand, the process
 * decides (`process/load/demand-exchange.ts`). State is in memory; a new process
 * starts without counts, and admits all until a request finds no room.
 */
import type { EventLog } from '@eidermast/common'
import type { AccountShares, Demand, DemandEnd } from './account-shares.js'
import type { DemandMeter } from './demand-meter.js'
import type { AccountFraction, ServiceAllocation } from './share-allocation.js'
import { ArrivalKind } from '../returns/refusal-memory.js'

/** Longest interval between log lines of a service while accounts are limited. */
const LOG_INTERVAL_MS = 1000

/** Where the fractions in force were computed. */
export enum AllocationSource {
  /** By the coordinator. */
  Coordinator = 'coordinator',
  /** By this gateway, from the demand that it knows. */
  Self = 'self',
}

/** The fractions in force. */
export interface AllocationInForce {
  source: AllocationSource
  /** One for each service that has no room for all. */
  services: readonly ServiceAllocation[]
}

/** A client account that is limited in a service. */
export interface LimitedAccount extends AccountFraction {
  service: string
}

/** What the shares work with. */
export interface MaxMinSharesDependencies {
  meter: DemandMeter
  /** The fractions in force; `now` is on the monotonic clock, in milliseconds. */
  inForce: (now: number) => AllocationInForce
  /** Called with the end of each request. */
  onEnd: (demand: Demand, end: DemandEnd) => void
  log: EventLog
}

/** Max-min fair shares (setting `account-shares = max-min`). */
export class MaxMinShares implements AccountShares {
  private loggedAt = Number.NEGATIVE_INFINITY
  /** Services that were limited when last logged. */
  private loggedServices = new Set<string>()

  constructor(private readonly dependencies: MaxMinSharesDependencies) {}

  recordArrival(demand: Demand): void {
    const now = performance.now()
    this.dependencies.meter.recordArrival(demand, now)
    this.logIfDue(now)
  }

  recordEnd(demand: Demand, end: DemandEnd): void {
    this.dependencies.meter.recordEnd(demand, end, performance.now())
    this.dependencies.onEnd(demand, end)
  }

  admittedShare(service: string, account: string | undefined, kind?: ArrivalKind): number {
    const { services } = this.dependencies.inForce(performance.now())
    const allocation = services.find(candidate => candidate.service === service)
    const limited = allocation?.accounts.find(candidate => candidate.account === account)
    return (kind === ArrivalKind.Returned ? limited?.returnedFraction : limited?.fraction) ?? 1
  }

  /** The accounts that are limited at present, for metrics. */
  limitedAccounts(): LimitedAccount[] {
    const { services } = this.dependencies.inForce(performance.now())
    return services.flatMap(({ service, accounts }) => accounts.map(limited => ({ service, ...limited })))
  }

  private logIfDue(now: number): void {
    if (now - this.loggedAt < LOG_INTERVAL_MS)
      return
    this.loggedAt = now
    const { source, services } = this.dependencies.inForce(now)
    for (const allocation of services)
      this.dependencies.log.write('account-shares', { source, ...describe(allocation) })
    const limited = new Set(services.map(({ service }) => service))
    for (const service of this.loggedServices) {
      if (!limited.has(service))
        this.dependencies.log.write('account-shares', { source, service, room: true })
    }
    this.loggedServices = limited
  }
}

function describe({ service, capacity, accounts }: ServiceAllocation): { service: string, capacityPerSecond: number, shares: string } {
  const shares = accounts.map(describeFractions).join(',')
  return { service, capacityPerSecond: Math.round(capacity), shares }
}

function describeFractions({ account = '', fraction, returnedFraction }: AccountFraction): string {
  const ofReturned = returnedFraction === undefined ? '' : ` (returned ${returnedFraction.toFixed(2)})`
  return `${account}=${fraction.toFixed(2)}${ofReturned}`
}
