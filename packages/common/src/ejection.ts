/**
 * Leaves out backend servers that fail or are far slower than their pool, for
 * a while and never more than a share of a pool.
 */

import { createLogger } from './logger.js'
import { RecentTimes, RecentTimesByKey } from './recent-times.js'

const log = createLogger('placement')

/** Something that can be left out. */
export interface EjectionSubject {
  readonly backendName: string
  /** Calls under way there. */
  readonly outstanding: number
}

/** A way to leave out bad backend servers. */
export interface EjectionPolicy {
  /** The candidates that should get work. */
  filter: <Subject extends EjectionSubject>(candidates: readonly Subject[]) => Subject[]
  recordSuccess: (backendName: string, pool: string, milliseconds: number) => void
  recordFailure: (backendName: string) => void
  /** A call was abandoned without an end after a time, in milliseconds. */
  recordAbandoned: (backendName: string, pool: string, milliseconds: number) => void
}

/** The baseline: nobody is left out. */
export class NoEjection implements EjectionPolicy {
  filter<Subject extends EjectionSubject>(candidates: readonly Subject[]): Subject[] {
    return [...candidates]
  }

  recordSuccess(): void {}

  recordFailure(): void {}

  recordAbandoned(): void {}
}

interface BackendHealth {
  consecutiveFailures: number
  /** Moving share of calls that failed. */
  failureShare: number
  ejections: number
  /** Milliseconds of the process clock; 0 while not ejected. */
  ejectedUntil: number
  probing: boolean
}

const MAXIMUM_EJECTED_SHARE = 1 / 3
const CONSECUTIVE_FAILURES = 3
const FAILURE_SHARE = 0.4
const FAILURE_WEIGHT = 0.1
const FIRST_EJECTION_MS = 1000
const LONGEST_EJECTION_MS = 30_000
const SLOW_FACTOR = 4
const SLOW_MARGIN_MS = 20
const SLOW_WINDOW = 8
const SLOW_MINIMUM_CALLS = 5

/** Ejects on failures in a row, a high share of failures, or times far above the pool's median. */
export class OutlierEjection implements EjectionPolicy {
  private readonly backends = new Map<string, BackendHealth>()
  private readonly backendTimes = new Map<string, RecentTimes>()
  private readonly poolTimes = new RecentTimesByKey()

  constructor(private readonly now: () => number = () => performance.now()) {}

  filter<Subject extends EjectionSubject>(candidates: readonly Subject[]): Subject[] {
    const mostEjected = Math.floor(candidates.length * MAXIMUM_EJECTED_SHARE)
    const kept: Subject[] = []
    let ejected = 0
    for (const candidate of candidates) {
      if (ejected < mostEjected && this.isEjected(candidate))
        ejected++
      else
        kept.push(candidate)
    }
    return kept
  }

  recordSuccess(backendName: string, pool: string, milliseconds: number): void {
    const health = this.healthOf(backendName)
    health.consecutiveFailures = 0
    health.failureShare *= 1 - FAILURE_WEIGHT
    this.poolTimes.of(pool).add(milliseconds)
    const times = this.timesOf(backendName)
    times.add(milliseconds)
    if (this.isSlow(times, this.poolTimes.of(pool)))
      this.eject(backendName, health, 'slow')
    else if (health.probing)
      this.readmit(backendName, health)
  }

  recordFailure(backendName: string): void {
    const health = this.healthOf(backendName)
    health.consecutiveFailures++
    health.failureShare = health.failureShare * (1 - FAILURE_WEIGHT) + FAILURE_WEIGHT
    if (health.probing || health.consecutiveFailures >= CONSECUTIVE_FAILURES || health.failureShare >= FAILURE_SHARE)
      this.eject(backendName, health, 'failing')
  }

  /** A call that has run far longer than its pool's calls do counts as failed, whoever abandoned it. */
  recordAbandoned(backendName: string, pool: string, milliseconds: number): void {
    const times = this.poolTimes.of(pool)
    if (times.count >= SLOW_MINIMUM_CALLS && milliseconds > times.quantile(0.5) * SLOW_FACTOR + SLOW_MARGIN_MS)
      this.recordFailure(backendName)
  }

  /** An ejected backend server gets one call at a time once its time is over. */
  private isEjected(candidate: EjectionSubject): boolean {
    const health = this.backends.get(candidate.backendName)
    if (!health || health.ejectedUntil === 0)
      return false
    if (this.now() < health.ejectedUntil)
      return true
    health.probing = true
    return candidate.outstanding > 0
  }

  private isSlow(times: RecentTimes, pool: RecentTimes): boolean {
    const median = pool.quantile(0.5)
    return times.count >= SLOW_MINIMUM_CALLS && times.quantile(0.5) > median * SLOW_FACTOR + SLOW_MARGIN_MS
  }

  private eject(backendName: string, health: BackendHealth, reason: string): void {
    if (health.ejectedUntil > this.now())
      return
    const milliseconds = Math.min(LONGEST_EJECTION_MS, FIRST_EJECTION_MS * 2 ** health.ejections)
    health.ejections++
    health.ejectedUntil = this.now() + milliseconds
    health.probing = false
    health.consecutiveFailures = 0
    health.failureShare = 0
    // Old times would eject it again whatever the probe shows.
    this.backendTimes.delete(backendName)
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
    const created: BackendHealth = { consecutiveFailures: 0, failureShare: 0, ejections: 0, ejectedUntil: 0, probing: false }
    this.backends.set(backendName, created)
    return created
  }

  private timesOf(backendName: string): RecentTimes {
    const existing = this.backendTimes.get(backendName)
    if (existing)
      return existing
    const created = new RecentTimes(SLOW_WINDOW)
    this.backendTimes.set(backendName, created)
    return created
  }
}
