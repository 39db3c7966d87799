/**
 * Decides, for each caller of a pool, which backend servers are temporarily
 * ejected from load balancing because they fail or are much slower than the
 * rest of the pool (outlier ejection).
 *
 * Inputs: the outcome of each of this process's own calls (success with its
 * duration in ms, failure, or cancellation after a duration in ms); the current
 * number of calls in flight to each candidate. Nothing is exchanged with
 * other processes.
 * Rule: a backend server is ejected after MAX_CONSECUTIVE_FAILURES consecutive
 * failures, when the moving average of its failure rate reaches
 * MAX_FAILURE_RATE, or when its median duration exceeds SLOW_FACTOR times the
 * pool's median plus SLOW_MARGIN_MS. Each consecutive ejection lasts twice as
 * long as the one before, up to MAX_EJECTION_MS. After that, one call at a time
 * probes the server, and one success readmits it. At most MAX_EJECTED_FRACTION
 * of the candidates are ejected at a time.
 * Why: health checks alone miss a server that answers them but fails or delays
 * its calls. Slow and cancelled calls are compared with the pool's median
 * instead of a fixed limit, because pools differ by orders of magnitude and a
 * caller's short deadline says nothing about the server.
 * Log events: `eject`, `readmit` (namespace `eidermast:placement`).
 *
 * State: one record for each backend server name, in memory for the lifetime of
 * the process; after a restart no server is ejected.
 */

import { DurationWindow, DurationWindowsByKey } from './duration-window.js'
import { createLogger } from './logger.js'

const log = createLogger('placement')

/** The properties of a candidate that ejection reads. */
export interface EjectionCandidate {
  readonly backendName: string
  /** Calls from this process in flight to this backend server. */
  readonly outstanding: number
}

/** Strategy that ejects unhealthy backend servers. */
export interface EjectionPolicy {
  /** Returns the candidates that may get calls; empty only if there are no candidates. */
  filter: <Candidate extends EjectionCandidate>(candidates: readonly Candidate[]) => Candidate[]
  /** Records a successful call and its duration, which is compared with the pool's. */
  recordSuccess: (backendName: string, pool: string, durationMs: number) => void
  /** Records a call that failed because of the backend server. */
  recordFailure: (backendName: string) => void
  /** Records a call that its caller cancelled after the given time, before it had completed. */
  recordCancelled: (backendName: string, pool: string, durationMs: number) => void
}

/** Ejects no backend server; selected by the setting `ejection = none`. */
export class NoEjection implements EjectionPolicy {
  filter<Candidate extends EjectionCandidate>(candidates: readonly Candidate[]): Candidate[] {
    return [...candidates]
  }

  recordSuccess(): void {}

  recordFailure(): void {}

  recordCancelled(): void {}
}

interface BackendHealth {
  consecutiveFailures: number
  /** Exponential moving average of the failure rate, between 0 and 1. */
  failureRate: number
  /** Number of ejections since the backend server was last readmitted. */
  ejections: number
  /** Monotonic time in milliseconds; 0 while not ejected. */
  ejectedUntil: number
  /** Whether the ejection time is over and the result of the next call decides on readmission. */
  probing: boolean
  /** Durations of the most recent successful calls since the last ejection. */
  durations: DurationWindow
}

enum EjectionReason {
  Slow = 'slow',
  Failing = 'failing',
}

/** Fraction of a pool. Limits the load on the remaining servers to 1.5 times the usual one, at the cost of keeping further unhealthy servers in use. */
const MAX_EJECTED_FRACTION = 1 / 3
/** Prevents a single lost connection from causing an ejection, at the cost of three failed calls for each ejection. */
const MAX_CONSECUTIVE_FAILURES = 3
/** Well above a failure rate of 20%, which is not meant to cause an ejection; low enough to detect frequent failures that are not consecutive. */
const MAX_FAILURE_RATE = 0.4
/** Weight of the most recent call in the moving average, which thus covers about ten calls and detects a rising failure rate early. */
const FAILURE_WEIGHT = 0.1
/** Limits how often an unhealthy server is probed, at the cost of leaving a recovered one idle for up to a second. */
const FIRST_EJECTION_MS = 1000
/** Limits how long a recovered server gets no calls, at the cost of probing a dead server every 30 s. */
const MAX_EJECTION_MS = 30_000
/** Factor by which each consecutive ejection is longer than the one before, so that a dead server is not probed every second. */
const EJECTION_GROWTH = 2
/** Multiple of the pool's median. Tolerates the normal variance between models, at the cost of tolerating servers that are up to 4 times slower. */
const SLOW_FACTOR = 4
/** Added to the limit so that jitter does not cause ejections in pools with very short calls. */
const SLOW_MARGIN_MS = 20
/** Number of successful calls of a backend server; enough that a single long call does not distort the median, and few enough to detect a slow server early. */
const SLOW_WINDOW = 8
/** Number of calls needed for a median, so that two calls do not decide; at most SLOW_WINDOW, since the window holds no more. */
const MIN_CALLS_FOR_MEDIAN = 5

/** Ejects after consecutive failures, at a high failure rate, or when durations are far above the pool's median. */
export class OutlierEjection implements EjectionPolicy {
  private readonly backends = new Map<string, BackendHealth>()
  private readonly poolDurations = new DurationWindowsByKey()

  /** `ejectsSlow` is false where the choice among the servers already follows their speed; calls that are abandoned as far too slow still count as failed. */
  constructor(private readonly now: () => number = () => performance.now(), private readonly ejectsSlow = true) {}

  filter<Candidate extends EjectionCandidate>(candidates: readonly Candidate[]): Candidate[] {
    const maxEjected = Math.floor(candidates.length * MAX_EJECTED_FRACTION)
    const remaining: Candidate[] = []
    let ejected = 0
    for (const candidate of candidates) {
      if (ejected < maxEjected && this.isEjected(candidate))
        ejected++
      else
        remaining.push(candidate)
    }
    return remaining
  }

  recordSuccess(backendName: string, pool: string, durationMs: number): void {
    const health = this.healthOf(backendName)
    const poolDurations = this.poolDurations.of(pool)
    health.consecutiveFailures = 0
    health.failureRate *= 1 - FAILURE_WEIGHT
    poolDurations.add(durationMs)
    health.durations.add(durationMs)
    if (this.ejectsSlow && isSlow(health.durations, poolDurations))
      this.eject(backendName, health, EjectionReason.Slow)
    else if (health.probing)
      this.readmit(backendName, health)
  }

  recordFailure(backendName: string): void {
    const health = this.healthOf(backendName)
    health.consecutiveFailures++
    health.failureRate = health.failureRate * (1 - FAILURE_WEIGHT) + FAILURE_WEIGHT
    const failing = health.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES || health.failureRate >= MAX_FAILURE_RATE
    if (health.probing || failing)
      this.eject(backendName, health, EjectionReason.Failing)
  }

  /** Counts a cancelled call as failed if it ran far longer than the pool's calls, whatever the reason for the cancellation. */
  recordCancelled(backendName: string, pool: string, durationMs: number): void {
    const poolDurations = this.poolDurations.of(pool)
    if (poolDurations.count >= MIN_CALLS_FOR_MEDIAN && durationMs > slowLimitMs(poolDurations))
      this.recordFailure(backendName)
  }

  /** After its ejection time, a backend server counts as ejected only while a probe is in flight to it. */
  private isEjected(candidate: EjectionCandidate): boolean {
    const health = this.backends.get(candidate.backendName)
    if (!health || health.ejectedUntil === 0)
      return false
    if (this.now() < health.ejectedUntil)
      return true
    health.probing = true
    return candidate.outstanding > 0
  }

  private eject(backendName: string, health: BackendHealth, reason: EjectionReason): void {
    if (health.ejectedUntil > this.now())
      return
    const milliseconds = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * EJECTION_GROWTH ** health.ejections)
    health.ejections++
    health.ejectedUntil = this.now() + milliseconds
    health.probing = false
    health.consecutiveFailures = 0
    health.failureRate = 0
    // Durations from before the ejection would eject it again whatever the result of the probe.
    health.durations = new DurationWindow(SLOW_WINDOW)
    log('eject', { backend: backendName, reason, milliseconds })
  }

  private readmit(backendName: string, health: BackendHealth): void {
    health.probing = false
    health.ejectedUntil = 0
    health.ejections = 0
    log('readmit', { backend: backendName })
  }

  private healthOf(backendName: string): BackendHealth {
    const existing = this.backends.get(backendName)
    if (existing)
      return existing
    const created: BackendHealth = {
      consecutiveFailures: 0,
      failureRate: 0,
      ejections: 0,
      ejectedUntil: 0,
      probing: false,
      durations: new DurationWindow(SLOW_WINDOW),
    }
    this.backends.set(backendName, created)
    return created
  }
}

function isSlow(durations: DurationWindow, poolDurations: DurationWindow): boolean {
  return durations.count >= MIN_CALLS_FOR_MEDIAN && durations.median() > slowLimitMs(poolDurations)
}

/** Duration in milliseconds above which a call counts as slow in its pool. */
function slowLimitMs(poolDurations: DurationWindow): number {
  return poolDurations.median() * SLOW_FACTOR + SLOW_MARGIN_MS
}
