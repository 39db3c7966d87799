/**
 * State of one stage backend server in its pool: calls in progress, pauses,
 * measured speed and result memory. Owns this state while the backend server
 * accepts work; nothing is persisted.
 */
import type { Backend } from '../../../connection/backends/backend.js'
import type { IntakeGate } from '../../../connection/backends/intake-gate.js'
import type { BackendSlowdowns } from '../../../request/load/load-estimator.js'
import type { StageLimits } from '../../../version/configuration.js'
import { NO_SLOWDOWNS } from '../../../request/load/load-estimator.js'
import { failurePauseMs, MEMORY_PAUSE_MS } from './backend-pause.js'
import { ResultMemory } from './result-memory.js'

/**
 * Weight of the newest call in the moving average of the measured speed. Detects a
 * slowed backend server soon, without following single calls.
 */
const SPEED_EWMA_WEIGHT = 0.4
/** Bounds of measured over configured time, so that neither an outlier nor a false report makes the timeout of a call useless. */
const MAX_SLOWDOWN = 20
/** See MAX_SLOWDOWN. */
const MIN_SLOWDOWN = 0.5

const MILLISECONDS_PER_SECOND = 1000

/** State of one backend server; times are in milliseconds on the monotonic clock. */
export class StageBackend {
  readonly memory: ResultMemory
  private callsInFlight = 0
  /** Expected end of the call in progress. */
  private busyUntil = 0
  private pausedUntil = 0
  private failures = 0
  /** Measured time over that configured and reported. */
  private slowdown = 1

  constructor(
    readonly backend: Backend,
    private limits: StageLimits,
    private readonly intake: Pick<IntakeGate, 'waitMs'>,
    private readonly slowdowns: Pick<BackendSlowdowns, 'reportedSlowdown'> = NO_SLOWDOWNS,
  ) {
    this.memory = new ResultMemory(backend, limits)
  }

  get failureDomain(): string {
    return this.backend.failureDomain
  }

  /**
   * Time between full calls over the configured time of one, as measured and
   * reported or as imposed by the rate limit of the backend server; infinite while it asks for
   * no calls for longer than a full call takes.
   */
  slowdownFactor(now: number): number {
    return this.backend.intake.backoffMs(now) > this.fullCallMs ? Number.POSITIVE_INFINITY : this.limitedSlowdown(this.currentSlowdown(now))
  }

  /** As `slowdownFactor`, without what may pass within some hundred ms: a backoff and the reported slowness. */
  lastingSlowdownFactor(): number {
    return this.limitedSlowdown(this.slowdown)
  }

  private get fullCallMs(): number {
    return this.limits.callMs + this.limits.itemMs * this.limits.batch
  }

  private limitedSlowdown(slowdown: number): number {
    const { limitPerSecond } = this.backend.intake
    return limitPerSecond === undefined ? slowdown : Math.max(slowdown, MILLISECONDS_PER_SECOND / limitPerSecond / this.fullCallMs)
  }

  setLimits(limits: StageLimits): void {
    this.limits = limits
    this.memory.setLimits(limits)
  }

  /** Whether a call may be sent now. */
  isIdle(now: number): boolean {
    return this.callsInFlight < this.limits.concurrency && now >= this.pausedUntil && this.intake.waitMs(this.backend) === 0
  }

  /** Whether it gets calls now, or as soon as the call in progress ends. */
  isUsable(now: number): boolean {
    return now >= this.pausedUntil
  }

  /** Milliseconds until another call can start. */
  msUntilNextCall(now: number): number {
    const busy = this.callsInFlight >= this.limits.concurrency ? Math.max(1, this.busyUntil - now) : 0
    return Math.max(busy, this.pausedUntil - now, this.intake.waitMs(this.backend))
  }

  /** Expected duration of a call with some items, in milliseconds. */
  expectedCallMs(items: number): number {
    return (this.limits.callMs + this.limits.itemMs * items) * this.currentSlowdown(performance.now())
  }

  /** Records the start of a call and reserves memory for its results. */
  startCall(items: number, bytes: number, now: number): void {
    this.callsInFlight++
    this.memory.reserve(bytes)
    this.busyUntil = now + this.expectedCallMs(items)
  }

  /** Records an answered call. Its duration is a valid sample only if every item has a result. */
  succeed(items: number, tookMs: number, hasAllResults: boolean, now: number): void {
    this.callsInFlight--
    this.failures = 0
    if (!hasAllResults)
      return
    const measured = tookMs / (this.limits.callMs + this.limits.itemMs * items) / this.slowdowns.reportedSlowdown(this.backend, now)
    const bounded = Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, measured))
    this.slowdown += (bounded - this.slowdown) * SPEED_EWMA_WEIGHT
  }

  private currentSlowdown(now: number): number {
    const slowdown = this.slowdown * this.slowdowns.reportedSlowdown(this.backend, now)
    return Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, slowdown))
  }

  /** Records a failed call and returns the pause that follows, in milliseconds. */
  fail(now: number): number {
    this.callsInFlight--
    const pauseMs = failurePauseMs(this.failures)
    this.failures++
    this.pausedUntil = now + pauseMs
    return pauseMs
  }

  /** An item found no memory although this process had reserved it. */
  pauseForMemory(now: number): void {
    this.pausedUntil = now + MEMORY_PAUSE_MS
    this.memory.markExhausted(now)
  }
}
