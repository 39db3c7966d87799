/**
 * Decides whether a call of a service may be retried, so that retries do not
 * multiply the load on a failing pool.
 *
 * Inputs: requests and retries of the service at this gateway over a sliding
 * window (its length in ms), the retry allowance of all gateways together
 * (settings `[retry]`), the part of its fixed allowance that this gateway may use
 * (0 to 1, current).
 * Rule: retries in the window, and those that are decided but not sent yet, are
 * limited to a share of the requests in the window, plus this gateway's part of a
 * fixed allowance. A retry is in the window of the time at which it is sent.
 * Why: each gateway counts its own requests and uses its part of the fixed
 * allowance, so that the total holds without messages between gateways; a shared
 * counter would be unavailable exactly when it is needed.
 * Log events: `retry-refused`, `request-ended` (`retry` is `budget-used`).
 *
 * State: the counts of the current window, which end with the process.
 */
import { RetryReservation } from './retry-reservation.js'

/** The retry allowance of all gateways together. */
export interface RetryBudgetSettings {
  /** Retries allowed per request, from 0 to 1. */
  ratio: number
  /** Additional retries allowed per window. */
  extra: number
  windowMs: number
}

/** Resolution of the sliding window: counts expire in steps of one bucket. */
const BUCKETS = 20
/**
 * Share of the allowance that is used. The rest covers retries that arrive in a
 * later window than they were sent in, and gateways that this one does not know yet.
 */
const USABLE_SHARE = 0.8

/** Counts of one bucket of the window. */
interface Bucket {
  index: number
  requests: number
  retries: number
}

/** Whether the budget counted an attempt after the first one. */
export enum RetryCost {
  /** The attempt before it reached no backend server. */
  Free = 'free',
  Budgeted = 'budgeted',
}

/** The counts of a service in the current window, and the limit that applies to them. */
export interface RetryUsage {
  requests: number
  /** Sent, or reserved to be sent. */
  retries: number
  /** Part of the fixed allowance that this gateway may use, from 0 to 1. */
  part: number
  /** Retries allowed in the window. */
  allowed: number
}

/** Counts retries for the metrics. */
export interface RetryCounter {
  /** Counts an attempt after the first one of its request. */
  countRetry: (service: string, cost: RetryCost) => void
}

/** Counts requests and retries per service over a sliding window. */
export class RetryBudget {
  private readonly services = new Map<string, Bucket[]>()
  /** Retries that are decided but not sent yet, by service. */
  private readonly reserved = new Map<string, number>()
  private readonly bucketMs: number

  constructor(
    private readonly settings: RetryBudgetSettings,
    /** Part of the fixed allowance that this gateway may use, from 0 to 1. */
    private readonly part: () => number,
    private readonly now: () => number = () => performance.now(),
  ) {
    this.bucketMs = settings.windowMs / BUCKETS
  }

  countRequest(service: string): void {
    this.currentBucket(service).requests++
  }

  /** What is used of the allowance. */
  usage(service: string): RetryUsage {
    const buckets = this.recentBuckets(service)
    const requests = buckets.reduce((sum, bucket) => sum + bucket.requests, 0)
    const sent = buckets.reduce((sum, bucket) => sum + bucket.retries, 0)
    const retries = sent + (this.reserved.get(service) ?? 0)
    const part = this.part()
    return { requests, retries, part, allowed: this.allowedRetries(requests, part) }
  }

  /** Whether the allowance has a retry left. */
  hasRetry(service: string): boolean {
    const { retries, allowed } = this.usage(service)
    return retries + 1 <= allowed
  }

  /** Takes one retry that is sent now; returns false if the allowance is used up. */
  takeRetry(service: string): boolean {
    const reservation = this.reserveRetry(service)
    reservation?.spend()
    return reservation !== undefined
  }

  /** Reserves one retry, to be spent when it is sent; returns undefined if the allowance is used up. */
  reserveRetry(service: string): RetryReservation | undefined {
    if (!this.hasRetry(service))
      return undefined
    this.changeReserved(service, 1)
    const countSent = (): void => {
      this.changeReserved(service, -1)
      this.currentBucket(service).retries++
    }
    return new RetryReservation(countSent, () => this.changeReserved(service, -1))
  }

  private changeReserved(service: string, difference: 1 | -1): void {
    this.reserved.set(service, (this.reserved.get(service) ?? 0) + difference)
  }

  private allowedRetries(requests: number, part: number): number {
    return USABLE_SHARE * (this.settings.ratio * requests + this.settings.extra * part)
  }

  private currentBucket(service: string): Bucket {
    const index = Math.floor(this.now() / this.bucketMs)
    const buckets = this.recentBuckets(service)
    const last = buckets.at(-1)
    if (last?.index === index)
      return last
    const created = { index, requests: 0, retries: 0 }
    buckets.push(created)
    return created
  }

  private recentBuckets(service: string): Bucket[] {
    const oldest = Math.floor(this.now() / this.bucketMs) - BUCKETS
    const buckets = (this.services.get(service) ?? []).filter(bucket => bucket.index >= oldest)
    this.services.set(service, buckets)
    return buckets
  }
}
