/**
 * Decides how long one request is expected to take at a backend server, once it
 * runs there.
 *
 * Load: backend servers of one service differ several times in speed, for good
 * or for some hundred ms.
 * Inputs: time of each own call (ms) and the requests expected there at its
 * start, as of its end; the slowness that the server reported (as old as its
 * latest response); the median time at all servers of the service (ms).
 * Rule: a moving average of what calls took less the wait that load at their
 * start explains, divided by the slowness then and multiplied by the slowness
 * now. A call counts the more, the longer nothing was known and the less the
 * times of requests differ at the same server (Kalman filter of the logarithm). A
 * reported slowness is valid at once and approaches its mean within
 * SLOWNESS_LIFETIME_MS. An abandoned call counts only if it shows that the server
 * is slower, and a refusal that it is no faster than the median. Without an own
 * sample: the service's median. It also applies, whatever slowness was reported,
 * to an idle server whose sample is older than the recheck time, so that one
 * request goes there again.
 * Why: with fixed weights, a server that just had a long request looks slow.
 * Reports alone say nothing of the usual time; calls alone follow changes of some
 * hundred ms too late; rechecks by health probes are paid and use a slot.
 * Log event: `route` (`serviceMs`, `slowness`).
 */
import type { CallSample } from './load-estimator.js'
import { DurationWindow } from '@eidermast/common'

/** Variance of the logarithm of a time at a server that nothing is known of: speeds differ several times. */
const UNKNOWN_VARIANCE = 1
/** By how much that variance grows in a second without a call: speeds drift by about a third; what changes more shows by its deviation. */
const VARIANCE_PER_SECOND = 0.1
const MILLISECONDS_PER_SECOND = 1000
/** Weight of the newest report in the mean slowness. */
const SLOWNESS_WEIGHT = 0.1
/** Slowness changes within some hundred ms. */
const SLOWNESS_LIFETIME_MS = 300
/** In this time without a report, half of a slowness is forgotten where nothing else rechecks it. */
const SLOWNESS_HALF_LIFE_MS = 3000
/** A recovery is to be found within 3 s, by one call and the choices that follow. */
const RECHECK_MS = 1500
/** An abandoned call may have waited for requests that were not known, so it does not raise the time at will. */
const MAX_ABANDONED_FACTOR = 2
/** Keeps ratios of times finite. */
const MIN_USUAL_MS = 1
/** Of a queue in front of a call, the request that runs is half done on average. */
const MEAN_PROGRESS = 0.5

/** Weight of the newest call in what is known of a service; about thirty count. */
const SERVICE_WEIGHT = 0.03
/** Variance of the logarithms of times of equal requests, at least: what is measured is never exact. */
const MIN_VARIANCE = 0.02
/** Until it is known: times within a third. */
const INITIAL_VARIANCE = 0.5
/** Bound of the logarithm of a deviation: a single call, very short or long, says at most that a server is four times as fast or slow. */
const MAX_DEVIATION = Math.log(4)

/** How long requests of one service take at usual speed, and by how much this differs between requests. */
export class ServiceTimes {
  /** Variance of the logarithms of times of different requests at the same server. */
  variance = INITIAL_VARIANCE
  /** Mean over median time of different requests at the same server. */
  meanFactor = 1
  private readonly window = new DurationWindow()

  /** Median in milliseconds; undefined without a sample. */
  get medianMs(): number | undefined {
    return this.window.count === 0 ? undefined : this.window.median()
  }

  /** Mean at a typical server, in milliseconds; undefined without a sample. */
  get typicalMs(): number | undefined {
    return this.window.count === 0 ? undefined : this.window.median() * this.meanFactor
  }

  /** Records a time, its deviation from what was expected (logarithm), and the weight with which this moved the expectation. */
  record(measuredMs: number, deviation: number, weight: number): void {
    this.window.add(measuredMs)
    this.variance = Math.max(MIN_VARIANCE, this.variance + (deviation ** 2 * (1 - weight) - this.variance) * SERVICE_WEIGHT)
    this.meanFactor += (Math.exp(deviation * (1 - weight)) - this.meanFactor) * SERVICE_WEIGHT
  }
}

/** The speed of one backend server. */
export class BackendSpeed {
  /** Logarithm of the time of one request at usual speed; undefined without a sample. */
  private logMs: number | undefined
  private variance = UNKNOWN_VARIANCE
  private sampledAt = Number.NEGATIVE_INFINITY
  private meanSlowness: number | undefined
  private latestSlowness: number | undefined
  private slownessAt = Number.NEGATIVE_INFINITY

  /** Records a reported slowness, valid at a time on the monotonic clock. */
  recordSlowness(slowness: number, at: number): void {
    if (at <= this.slownessAt)
      return
    this.meanSlowness = this.meanSlowness === undefined ? slowness : this.meanSlowness + (slowness - this.meanSlowness) * SLOWNESS_WEIGHT
    this.latestSlowness = slowness
    this.slownessAt = at
  }

  /** The expected slowness now; undefined if it was never reported. */
  slowness(now: number): number | undefined {
    if (this.meanSlowness === undefined || this.latestSlowness === undefined)
      return undefined
    return this.meanSlowness + (this.latestSlowness - this.meanSlowness) * Math.exp(-(now - this.slownessAt) / SLOWNESS_LIFETIME_MS)
  }

  /** The expected slowness now, 1 if it was not reported for long: a server that is avoided reports no recovery. */
  fadingSlowness(now: number): number {
    const slowness = this.slowness(now)
    return slowness === undefined ? 1 : 1 + (slowness - 1) * 0.5 ** ((now - this.slownessAt) / SLOWNESS_HALF_LIFE_MS)
  }

  /** Records an answered call. */
  recordAnswer(sample: CallSample, service: ServiceTimes, now: number): void {
    const measuredMs = this.usualServiceMs(sample, now)
    const { deviation, weight } = this.record(measuredMs, service, now)
    service.record(measuredMs, deviation, weight)
  }

  /** Records an abandoned call. */
  recordAbandoned(sample: CallSample, service: ServiceTimes, now: number): void {
    const atLeastMs = this.usualServiceMs(sample, now)
    const usualMs = this.usualMs(service)
    if (usualMs === undefined || atLeastMs > usualMs)
      this.record(Math.min(atLeastMs, (usualMs ?? atLeastMs) * MAX_ABANDONED_FACTOR), service, now)
  }

  /** A server that was expected to have room and is full is not faster than the others. */
  recordRefusal({ medianMs }: ServiceTimes): void {
    if (this.logMs !== undefined && medianMs !== undefined)
      this.logMs = Math.max(this.logMs, Math.log(medianMs))
  }

  /** Time of one request, in milliseconds; undefined if nothing is known. */
  serviceMs(service: ServiceTimes, now: number): number | undefined {
    const usualMs = this.usualMs(service) ?? service.typicalMs
    return usualMs === undefined ? undefined : usualMs * (this.slowness(now) ?? 1)
  }

  /** Whether it may have recovered unnoticed. Rechecks of all gateways take no more time than it has. */
  isRecheckDue(service: ServiceTimes, { slots, gateways }: { slots: number, gateways: number }, now: number): boolean {
    return this.logMs !== undefined && now - this.sampledAt > Math.max(RECHECK_MS, gateways * (this.serviceMs(service, now) ?? 0) / slots)
  }

  private usualMs(service: ServiceTimes): number | undefined {
    return this.logMs === undefined ? undefined : Math.exp(this.logMs) * service.meanFactor
  }

  /** Moves the estimate towards a measured time, the more the less certain it is (Kalman filter). Returns the deviation and its weight. */
  private record(measuredMs: number, service: ServiceTimes, now: number): { deviation: number, weight: number } {
    const logMs = this.logMs ?? Math.log(service.medianMs ?? measuredMs)
    const variance = Math.min(UNKNOWN_VARIANCE, this.variance + VARIANCE_PER_SECOND * (now - this.sampledAt) / MILLISECONDS_PER_SECOND)
    const weight = variance / (variance + service.variance)
    const deviation = Math.min(MAX_DEVIATION, Math.max(-MAX_DEVIATION, Math.log(measuredMs) - logMs))
    this.logMs = logMs + deviation * weight
    this.variance = variance * (1 - weight)
    this.sampledAt = now
    return { deviation, weight }
  }

  /** What a call took at usual speed and without the wait: the requests ahead of it take as long as the call itself. */
  private usualServiceMs({ tookMs, estimate }: CallSample, now: number): number {
    const ahead = Math.max(0, estimate.requests + 1 - estimate.slots - MEAN_PROGRESS)
    const slownessAtEnd = this.slowness(now) ?? 1
    const slowness = ((estimate.slowness ?? slownessAtEnd) + slownessAtEnd) / 2
    return Math.max(MIN_USUAL_MS, tookMs / (1 + ahead / estimate.slots) / slowness)
  }
}
