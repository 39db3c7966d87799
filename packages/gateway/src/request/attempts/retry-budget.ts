/**
 * Decides whether a service's calls may be retried once more, so that retries
 * never multiply the load of a pool that fails.
 *
 * Inputs: requests and retries of the service at this gateway over a sliding
 * window (its length in ms), the number of gateways, the allowance of all of
 * them together (settings `[retry]`).
 * Rule: retries in the window stay within a share of the requests in it, plus
 * this gateway's part of a fixed allowance.
 * Why: each gateway counts its own requests and takes its part of the fixed
 * allowance, so the sum holds without a message between gateways; a shared
 * count would fail when it is needed most.
 * Log event: `request-ended` (`retry` is `budget-used`).
 *
 * State: counts of the last window. A new process begins with none, so a
 * restart grants its fixed part once more.
 */

/** The allowance of all gateways together. */
export interface RetryBudgetSettings {
  /** Retries allowed for each request, from 0 to 1. */
  ratio: number
  /** Retries allowed in a window beside those. */
  extra: number
  windowMs: number
}

/** Parts that the window slides by. Fewer forget retries in larger steps, more cost memory and time. */
const BUCKETS = 20
/**
 * Part of the allowance that is used. The rest covers gateways that this one
 * doesn't know yet; a larger part may exceed the allowance while gateways join.
 */
const USED_SHARE = 0.8

/** Counts of one part of the window. */
interface Bucket {
  index: number
  requests: number
  retries: number
}

/** Counts requests and retries of services over a sliding window. */
export class RetryBudget {
  private readonly services = new Map<string, Bucket[]>()
  private readonly bucketMs: number

  constructor(
    private readonly settings: RetryBudgetSettings,
    /** Gateways that share the allowance. */
    private readonly gatewayCount: () => number,
    private readonly now: () => number = () => performance.now(),
  ) {
    this.bucketMs = settings.windowMs / BUCKETS
  }

  countRequest(service: string): void {
    this.bucket(service).requests++
  }

  /** Takes one retry from the allowance; false where there is none. */
  takeRetry(service: string): boolean {
    const buckets = this.recent(service)
    const requests = buckets.reduce((sum, bucket) => sum + bucket.requests, 0)
    const retries = buckets.reduce((sum, bucket) => sum + bucket.retries, 0)
    if (retries + 1 > this.allowedRetries(requests))
      return false
    this.bucket(service).retries++
    return true
  }

  /** Gives a retry back that was taken and not made. The oldest count is lowered, so that later windows never count too few. */
  returnRetry(service: string): void {
    const taken = this.recent(service).find(bucket => bucket.retries > 0)
    if (taken)
      taken.retries--
  }

  private allowedRetries(requests: number): number {
    const fixedPart = this.settings.extra / Math.max(1, this.gatewayCount())
    return USED_SHARE * (this.settings.ratio * requests + fixedPart)
  }

  private bucket(service: string): Bucket {
    const index = Math.floor(this.now() / this.bucketMs)
    const buckets = this.recent(service)
    const last = buckets.at(-1)
    if (last?.index === index)
      return last
    const created = { index, requests: 0, retries: 0 }
    buckets.push(created)
    return created
  }

  private recent(service: string): Bucket[] {
    const oldest = Math.floor(this.now() / this.bucketMs) - BUCKETS
    const buckets = (this.services.get(service) ?? []).filter(bucket => bucket.index >= oldest)
    this.services.set(service, buckets)
    return buckets
  }
}
