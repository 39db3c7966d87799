/**
 * Limits the requests that are sent once more, for each service. All
 * gateways share one allowance without a message: each takes its part of the
 * fixed one, and its own requests' share.
 */

/** The allowance of all gateways together. */
export interface RetryBudgetSettings {
  /** Repeats allowed for each request. */
  ratio: number
  /** Repeats allowed in a window beside those. */
  extra: number
  windowMs: number
}

const BUCKETS = 20
/** Part of the allowance that is used; the rest covers gateways not known yet. */
const USED_SHARE = 0.8

interface Bucket {
  index: number
  requests: number
  repeats: number
}

/** Counts requests and repeats of services over a sliding window. */
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

  /** Takes one repeat from the allowance, or says that there is none. */
  takeRepeat(service: string): boolean {
    const buckets = this.recent(service)
    const requests = buckets.reduce((sum, bucket) => sum + bucket.requests, 0)
    const repeats = buckets.reduce((sum, bucket) => sum + bucket.repeats, 0)
    const allowed = USED_SHARE * (this.settings.ratio * requests + this.settings.extra / Math.max(1, this.gatewayCount()))
    if (repeats + 1 > allowed)
      return false
    this.bucket(service).repeats++
    return true
  }

  private bucket(service: string): Bucket {
    const index = Math.floor(this.now() / this.bucketMs)
    const buckets = this.recent(service)
    const last = buckets.at(-1)
    if (last?.index === index)
      return last
    const created = { index, requests: 0, repeats: 0 }
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
