/**
 * Decides from whose demand the shares of client accounts are computed that this
 * gateway applies.
 *
 * Inputs: the fractions in the last answer of the overall coordinator and their
 * age (ms); the own demand of the last second; the reports in the heartbeats of
 * peers and their age (ms).
 * Rule: the coordinator's answer while it is not older than MAX_ANSWER_AGE_MS,
 * otherwise the own demand and the reports that are not older than
 * MAX_REPORT_AGE_MS.
 * Why: with the demand of all gateways the fractions are the same everywhere. Since
 * they are fractions of own arrivals, those of a gateway that is alone, or of two
 * coordinators, neither double what is admitted nor leave room unused.
 * Log event: `account-shares` (`source`).
 * Load: an overload during which a gateway or the coordinator fails, is paused or
 * is cut off.
 *
 * State: the last answer and the newest report of each peer, in memory. A gateway
 * reports to the coordinator and to its successor, which therefore knows the demand
 * before it takes over.
 */
import type { ServiceAllocationMessage, ServiceDemandMessage } from '../../connection/peers/load-message.js'
import type { DemandMeter, ServiceDemand } from '../../request/admission/demand-meter.js'
import type { AllocationInForce } from '../../request/admission/max-min-shares.js'
import type { ServiceAllocation } from '../../request/admission/share-allocation.js'
import { MAX_ACCOUNTS, MAX_SERVICES } from '../../connection/peers/load-message.js'
import { AllocationSource } from '../../request/admission/max-min-shares.js'
import { allocateShares, sumDemand } from '../../request/admission/share-allocation.js'

/** Age up to which the report of a peer counts; several heartbeats may be lost within that time. */
const MAX_REPORT_AGE_MS = 1000
/** Two heartbeats may be lost. Not longer, since fractions that were about to grow would admit too much. */
const MAX_ANSWER_AGE_MS = 500
/** Shorter than the interval of heartbeats; the coordinator gets many between two of its own. */
const RECOMPUTE_INTERVAL_MS = 100
/** Digits of fractions in messages, which are small where clients repeat at once. */
const FRACTION_DIGITS = 3

interface Received<Content> {
  content: Content
  receivedAt: number
}

/** Exchanges demand and fractions with peers. Times are on the monotonic clock, in milliseconds. */
export class DemandExchange {
  private readonly reports = new Map<string, Received<ServiceDemand[]>>()
  private answer: Received<ServiceAllocation[]> = { content: [], receivedAt: Number.NEGATIVE_INFINITY }
  private computed = { services: [] as ServiceAllocation[], at: Number.NEGATIVE_INFINITY }

  constructor(private readonly meter: Pick<DemandMeter, 'read'>) {}

  /** The fractions that this gateway applies. */
  inForce(now: number): AllocationInForce {
    if (now - this.answer.receivedAt <= MAX_ANSWER_AGE_MS)
      return { source: AllocationSource.Coordinator, services: this.answer.content }
    return { source: AllocationSource.Self, services: this.allocateKnown(now) }
  }

  /** Returns the own demand for the services that have no room for all, here or elsewhere; undefined if there are none. */
  message(now: number): ServiceDemandMessage[] | undefined {
    const limited = new Set(this.inForce(now).services.map(({ service }) => service))
    const reported = this.meter.read(now).filter(({ service, quietMs }) => Number.isFinite(quietMs) || limited.has(service))
    reported.sort((left, right) => arrivalsOf(right) - arrivalsOf(left))
    return reported.length > 0 ? reported.slice(0, MAX_SERVICES).map(encodeDemand) : undefined
  }

  /** Returns the fractions for a peer; undefined if it reported nothing and there are none. */
  messageFor(peer: string, now: number): ServiceAllocationMessage[] | undefined {
    const services = this.allocateKnown(now).slice(0, MAX_SERVICES)
    return services.length > 0 || this.reports.has(peer) ? services.map(encodeAllocation) : undefined
  }

  /** Applies the report of a peer, undefined if it has none. */
  receive(messages: readonly ServiceDemandMessage[] | undefined, peer: string, now: number): void {
    if (messages)
      this.reports.set(peer, { content: messages.map(decodeDemand), receivedAt: now })
    else
      this.reports.delete(peer)
  }

  /** Applies the coordinator's answer, undefined if it has none. */
  receiveAnswer(messages: readonly ServiceAllocationMessage[] | undefined, now: number): void {
    if (messages)
      this.answer = { content: messages.map(decodeAllocation), receivedAt: now }
  }

  private allocateKnown(now: number): readonly ServiceAllocation[] {
    if (now - this.computed.at < RECOMPUTE_INTERVAL_MS)
      return this.computed.services
    const services = this.knownDemand(now).flatMap(demand => allocateShares(demand) ?? [])
    services.sort((left, right) => right.capacity - left.capacity)
    this.computed = { services, at: now }
    return services
  }

  private knownDemand(now: number): ServiceDemand[] {
    const reports = [this.meter.read(now)]
    for (const [peer, { content, receivedAt }] of this.reports) {
      const ageMs = now - receivedAt
      if (ageMs > MAX_REPORT_AGE_MS)
        this.reports.delete(peer)
      else
        reports.push(content.map(demand => ({ ...demand, quietMs: demand.quietMs + ageMs })))
    }
    return sumDemand(reports)
  }
}

function arrivalsOf({ accounts }: ServiceDemand): number {
  return accounts.reduce((sum, demand) => sum + demand.new + demand.returned, 0)
}

function encodeDemand({ service, served, quietMs, accounts }: ServiceDemand): ServiceDemandMessage {
  const largest = [...accounts].sort((left, right) => right.new + right.returned - left.new - left.returned).slice(0, MAX_ACCOUNTS)
  return {
    service,
    served,
    quietMs: Number.isFinite(quietMs) ? Math.round(quietMs) : undefined,
    accounts: largest.map(({ account, new: fresh, returned }) => ({ account, new: fresh || undefined, returned: returned || undefined })),
  }
}

function decodeDemand({ quietMs = Number.POSITIVE_INFINITY, accounts, ...rest }: ServiceDemandMessage): ServiceDemand {
  return { ...rest, quietMs, accounts: accounts.map(({ account, new: fresh = 0, returned = 0 }) => ({ account, new: fresh, returned })) }
}

function encodeAllocation({ service, capacity, accounts }: ServiceAllocation): ServiceAllocationMessage {
  const limited = accounts.map(({ account, fraction, returnedFraction }) => ({
    account,
    fraction: round(fraction),
    returnedFraction: returnedFraction === undefined ? undefined : round(returnedFraction),
  }))
  return { service, capacity: Math.round(capacity), accounts: limited }
}

function round(fraction: number): number {
  return Number(fraction.toPrecision(FRACTION_DIGITS))
}

function decodeAllocation({ accounts, ...rest }: ServiceAllocationMessage): ServiceAllocation {
  return { ...rest, accounts: accounts.map(({ account, ...fractions }) => ({ account, ...fractions })) }
}
