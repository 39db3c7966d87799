/**
 * Decides, for each caller of a pool, which of its backend servers get no work
 * for a while, because they fail or are far slower than the pool.
 *
 * Inputs: the end of each of this process's own calls (success with its time
 * in ms, failure, or abandoned after a time in ms); the calls under way at a
 * candidate, as of now. Nothing is exchanged with other processes.
 * Rule: a backend server is ejected after MAX_CONSECUTIVE_FAILURES failures in
 * a row, when the moving share of its failures reaches MAX_FAILURE_SHARE, or
 * when its median time exceeds the pool's median by SLOW_FACTOR and
 * SLOW_MARGIN_MS. Each ejection in a row lasts twice as long, up to
 * MAX_EJECTION_MS; after it one call at a time probes, and one success readmits.
 * At most MAX_EJECTED_SHARE of the candidates are ejected at once.
 * Why: health checks alone miss a server that answers them and fails or delays
 * its calls. Slow and abandoned calls are compared with the pool's median
 * instead of a fixed time, because pools differ by orders of magnitude and a
 * caller's short deadline says nothing about the server.
 * Log events: `eject`, `readmit` (namespace `eidermast:placement`).
 *
 * State: one record a backend server name, in memory for the life of the
 * process; a restarted process starts with nobody ejected.
 */

import { createLogger } from './logger.js'
import { RecentTimes, RecentTimesByKey } from './recent-times.js'

const log = createLogger('placement')

/** A candidate, as far as ejection looks at it. */
export interface EjectionSubject {
  readonly backendName: string
  /** Calls of this process under way there. */
  readonly outstanding: number
}

/** A way to eject bad backend servers. */
export interface EjectionPolicy {
  /** The candidates that should get work; never empty unless the candidates are. */
  filter: <Subject extends EjectionSubject>(candidates: readonly Subject[]) => Subject[]
  /** A call ended well; its time is compared with those of its pool. */
  recordSuccess: (backendName: string, pool: string, milliseconds: number) => void
  /** A call failed through the backend server's fault. */
  recordFailure: (backendName: string) => void
  /** A call was abandoned by its caller after a time, in milliseconds, without an end. */
  recordAbandoned: (backendName: string, pool: string, milliseconds: number) => void
}

/** The baseline, for the setting `ejection = none`: nobody is ejected. */
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
  /** Moving share of calls that failed, between 0 and 1. */
  failureShare: number
  /** Ejections since the backend server was last readmitted. */
  ejections: number
  /** Milliseconds of the process clock; 0 while not ejected. */
  ejectedUntil: number
  /** Whether its ejection is over and the next call decides. */
  probing: boolean
  /** Times of its newest successful calls since its last ejection. */
  times: RecentTimes
}

enum EjectionReason {
  Slow = 'slow',
  Failing = 'failing',
}

/** Share of a pool. Half protects the rest less from the sick, twice loads the rest threefold. */
const MAX_EJECTED_SHARE = 1 / 3
/** Calls. Half ejects for a single lost connection, twice costs three more failed calls. */
const MAX_CONSECUTIVE_FAILURES = 3
/** Share of calls. Half ejects for a fifth of calls failing, twice leaves only the rule of failures in a row. */
const MAX_FAILURE_SHARE = 0.4
/** Weight of the newest call in the moving share. Half looks back over twice the calls, and finds a fault later. */
const FAILURE_WEIGHT = 0.1
/** Milliseconds. Half probes a sick server twice as often, twice leaves a recovered one idle for longer. */
const FIRST_EJECTION_MS = 1000
/** Milliseconds. Bounds how long a recovered server stays without work; half doubles the probes of a dead one. */
const MAX_EJECTION_MS = 30_000
/** Each ejection in a row lasts this many times as long as the one before. With 1 a dead server would be probed each second. */
const EJECTION_GROWTH = 2
/** Times the pool's median. Half ejects for ordinary spread between models, twice tolerates an 8 times slower server. */
const SLOW_FACTOR = 4
/** Milliseconds on top, so that pools of very short calls are not ejected for jitter. */
const SLOW_MARGIN_MS = 20
/** Successful calls of one backend server. Half is misled by one long call, twice finds a slow server later. */
const SLOW_WINDOW = 8
/** Calls before a median counts. Half judges by two calls, twice needs more than the window holds. */
const MIN_CALLS_FOR_MEDIAN = 5

/** Ejects on failures in a row, a high share of failures, or times far above the pool's median. */
export class OutlierEjection implements EjectionPolicy {
  private readonly backends = new Map<string, BackendHealth>()
  private readonly poolTimes = new RecentTimesByKey()

  constructor(private readonly now: () => number = () => performance.now()) {}

  filter<Subject extends EjectionSubject>(candidates: readonly Subject[]): Subject[] {
    const maxEjected = Math.floor(candidates.length * MAX_EJECTED_SHARE)
    const kept: Subject[] = []
    let ejected = 0
    for (const candidate of candidates) {
      if (ejected < maxEjected && this.isEjected(candidate))
        ejected++
      else
        kept.push(candidate)
    }
    return kept
  }

  recordSuccess(backendName: string, pool: string, milliseconds: number): void {
    const health = this.healthOf(backendName)
    const poolTimes = this.poolTimes.of(pool)
    health.consecutiveFailures = 0
    health.failureShare *= 1 - FAILURE_WEIGHT
    poolTimes.add(milliseconds)
    health.times.add(milliseconds)
    if (isSlow(health.times, poolTimes))
      this.eject(backendName, health, EjectionReason.Slow)
    else if (health.probing)
      this.readmit(backendName, health)
  }

  recordFailure(backendName: string): void {
    const health = this.healthOf(backendName)
    health.consecutiveFailures++
    health.failureShare = health.failureShare * (1 - FAILURE_WEIGHT) + FAILURE_WEIGHT
    const failing = health.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES || health.failureShare >= MAX_FAILURE_SHARE
    if (health.probing || failing)
      this.eject(backendName, health, EjectionReason.Failing)
  }

  /** A call that ran far longer than its pool's calls do counts as failed, whoever abandoned it. */
  recordAbandoned(backendName: string, pool: string, milliseconds: number): void {
    const poolTimes = this.poolTimes.of(pool)
    if (poolTimes.count >= MIN_CALLS_FOR_MEDIAN && milliseconds > slowLimitMs(poolTimes))
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

  private eject(backendName: string, health: BackendHealth, reason: EjectionReason): void {
    if (health.ejectedUntil > this.now())
      return
    const milliseconds = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * EJECTION_GROWTH ** health.ejections)
    health.ejections++
    health.ejectedUntil = this.now() + milliseconds
    health.probing = false
    health.consecutiveFailures = 0
    health.failureShare = 0
    // Old times would eject it again whatever the probe shows.
    health.times = new RecentTimes(SLOW_WINDOW)
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
      failureShare: 0,
      ejections: 0,
      ejectedUntil: 0,
      probing: false,
      times: new RecentTimes(SLOW_WINDOW),
    }
    this.backends.set(backendName, created)
    return created
  }
}

function isSlow(times: RecentTimes, poolTimes: RecentTimes): boolean {
  return times.count >= MIN_CALLS_FOR_MEDIAN && times.median() > slowLimitMs(poolTimes)
}

/** Time above which a call is far slower than its pool's, in milliseconds. */
function slowLimitMs(poolTimes: RecentTimes): number {
  return poolTimes.median() * SLOW_FACTOR + SLOW_MARGIN_MS
}
