/**
 * One backend server of a stage service as its pool accounts for it: calls
 * under way, pauses, measured speed and result memory. Owns this state while
 * the backend server takes work; nothing is kept when the process dies.
 */
import type { Backend } from '../../../connection/backends/backend.js'
import type { IntakeGate } from '../../../connection/backends/intake-gate.js'
import type { StageLimits } from '../../../version/configuration.js'
import { failurePauseMs, MEMORY_PAUSE_MS } from './backend-pause.js'
import { ResultMemory } from './result-memory.js'

/**
 * Weight of the newest call in the measured speed. Half of it notices a slowed
 * backend server late, twice as much follows single calls.
 */
const SPEED_EWMA_WEIGHT = 0.4
/** Bounds of a measured time over the configured one. They keep one odd call from deciding for long. */
const MAX_SLOWDOWN = 20
/** See MAX_SLOWNESS. */
const MIN_SLOWDOWN = 0.5

const MILLISECONDS_PER_SECOND = 1000

/** Accounts for one backend server; times are on the process clock, in milliseconds. */
export class StageBackend {
  readonly memory: ResultMemory
  private callsUnderWay = 0
  /** When the call under way should end. */
  private busyUntil = 0
  private pausedUntil = 0
  private failures = 0
  private slowdown = 1

  constructor(
    readonly backend: Backend,
    private limits: StageLimits,
    private readonly intake: Pick<IntakeGate, 'waitMs'>,
  ) {
    this.memory = new ResultMemory(backend, limits)
  }

  get failureDomain(): string {
    return this.backend.failureDomain
  }

  /**
   * Time between full calls over the configured time of one: as measured, or as
   * its limit of calls a second allows; infinite while it rests for longer than
   * a call.
   */
  slowdownFactor(now: number): number {
    const { intake } = this.backend
    const { limitPerSecond } = intake
    const fullCallMs = this.limits.callMs + this.limits.itemMs * this.limits.batch
    if (intake.restMs(now) > fullCallMs)
      return Number.POSITIVE_INFINITY
    if (limitPerSecond === undefined)
      return this.slowdown
    return Math.max(this.slowdown, MILLISECONDS_PER_SECOND / limitPerSecond / fullCallMs)
  }

  setLimits(limits: StageLimits): void {
    this.limits = limits
    this.memory.setLimits(limits)
  }

  /** Whether a call may be sent now. */
  isIdle(now: number): boolean {
    return this.callsUnderWay < this.limits.concurrency && now >= this.pausedUntil && this.intake.waitMs(this.backend) === 0
  }

  /** Whether it gets work at all now, or after the call under way. */
  isUsable(now: number): boolean {
    return now >= this.pausedUntil
  }

  /** Milliseconds until it could start another call. */
  msUntilNextCall(now: number): number {
    const busy = this.callsUnderWay >= this.limits.concurrency ? Math.max(1, this.busyUntil - now) : 0
    return Math.max(busy, this.pausedUntil - now, this.intake.waitMs(this.backend))
  }

  /** Expected time of a call, in milliseconds. */
  expectedCallMs(items: number): number {
    return (this.limits.callMs + this.limits.itemMs * items) * this.slowdown
  }

  /** A call starts; its results may use some bytes. */
  startCall(items: number, bytes: number, now: number): void {
    this.callsUnderWay++
    this.memory.reserve(bytes)
    this.busyUntil = now + this.expectedCallMs(items)
  }

  /** A call was answered; its time counts as a measurement where every item has a result. */
  succeed(items: number, tookMs: number, hasAllResults: boolean): void {
    this.callsUnderWay--
    this.failures = 0
    if (!hasAllResults)
      return
    const measured = tookMs / (this.limits.callMs + this.limits.itemMs * items)
    const bounded = Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, measured))
    this.slowdown += (bounded - this.slowdown) * SPEED_EWMA_WEIGHT
  }

  /** A call failed as a whole; returns the pause that follows, in milliseconds. */
  fail(now: number): number {
    this.callsUnderWay--
    const pauseMs = failurePauseMs(this.failures)
    this.failures++
    this.pausedUntil = now + pauseMs
    return pauseMs
  }

  /** An item found no memory, against this account. */
  pauseForMemory(now: number): void {
    this.pausedUntil = now + MEMORY_PAUSE_MS
    this.memory.markExhausted(now)
  }
}
