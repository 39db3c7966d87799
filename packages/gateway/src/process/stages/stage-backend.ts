/**
 * One backend server that makes stage results, as the scheduler accounts for it:
 * whether it is at work, how fast it is, and what room its results take.
 */
import type { Backend } from '../../connection/backend.js'
import type { ResultHolder } from '../../request/stages/stage-task.js'
import type { StageLimits } from '../../version/configuration.js'

/** First pause after a failed call, in milliseconds; it doubles with each further one. */
const FIRST_PAUSE_MS = 100
/** Pause after a backend server had no room, in milliseconds. */
const ROOM_PAUSE_MS = 60
/** Room that a backend server turned out not to have is reckoned with again after this time, in milliseconds. */
const ROOM_DISTRUST_MS = 400
const MAX_PAUSE_MS = 5000
/** Part of the room that is planned with: sizes of results are told roughly. */
const USABLE_ROOM_SHARE = 0.97
const SPEED_WEIGHT = 0.4
const SLOWEST_FACTOR = 20
const FASTEST_FACTOR = 0.5

/** Stands for all results that this process did not ask for. */
const RESULTS_OF_OTHERS = 'results of others'
/** Stands for what takes room that the backend server was thought to have. */
const RESULTS_UNKNOWN = 'results unknown'

/** Results this near to their end are not sent to a reader any more, in milliseconds. */
const EXPIRY_MARGIN_MS = 100

interface HeldResult {
  bytes: number
  expiresAt: number
  /** Given up; its room is free when the backend server has said so. */
  freeing: boolean
}

/** Accounts for one backend server; times are on the process clock, in milliseconds. */
export class StageBackend implements ResultHolder {
  callsUnderWay = 0
  /** When the call under way should end. */
  busyUntil = 0
  private usedBytes = 0
  private failures = 0
  private pausedUntil = 0
  private slowness = 1
  private readonly held = new Map<string, HeldResult>()
  private lostCalls = 0

  constructor(readonly backend: Backend, public limits: StageLimits) {}

  /** Measured time of calls over the configured one. */
  get slownessFactor(): number {
    return this.slowness
  }

  get failureDomain(): string {
    return this.backend.failureDomain
  }

  /** Whether a call may be sent now. */
  isIdle(now: number): boolean {
    return this.callsUnderWay < this.limits.concurrency && now >= this.pausedUntil
  }

  /** Whether it gets work at all now, or after the call under way. */
  isUsable(now: number): boolean {
    return now >= this.pausedUntil
  }

  /** Milliseconds until it could begin another call. */
  startsIn(now: number): number {
    const busy = this.callsUnderWay >= this.limits.concurrency ? Math.max(1, this.busyUntil - now) : 0
    return Math.max(busy, this.pausedUntil - now, 0)
  }

  freeBytes(): number {
    return this.limits.resultMemoryBytes * USABLE_ROOM_SHARE - this.usedBytes
  }

  /** Expected time of a call, in milliseconds. */
  callTime(items: number): number {
    return (this.limits.callMs + this.limits.itemMs * items) * this.slowness
  }

  begin(items: number, bytes: number, now: number): void {
    this.callsUnderWay++
    this.usedBytes += bytes
    this.busyUntil = now + this.callTime(items)
  }

  /** A call ended with an answer; one that made every item tells the backend server's speed. */
  succeed(items: number, tookMs: number, madeAll: boolean): void {
    this.callsUnderWay--
    this.failures = 0
    if (!madeAll)
      return
    const measured = tookMs / (this.limits.callMs + this.limits.itemMs * items)
    const bounded = Math.min(SLOWEST_FACTOR, Math.max(FASTEST_FACTOR, measured))
    this.slowness += (bounded - this.slowness) * SPEED_WEIGHT
  }

  /** A call brought nothing; the backend server is left alone for a while. */
  fail(now: number): number {
    this.callsUnderWay--
    const pause = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** this.failures)
    this.failures++
    this.pausedUntil = now + pause
    return pause
  }

  /** The backend server has no room that it was thought to have: it gets no more than what is freed, for a while. */
  pauseForMemory(now: number): void {
    this.pausedUntil = now + ROOM_PAUSE_MS
    this.drop(RESULTS_UNKNOWN)
    const bytes = Math.max(0, this.freeBytes())
    this.usedBytes += bytes
    this.held.set(RESULTS_UNKNOWN, { bytes, expiresAt: now + ROOM_DISTRUST_MS, freeing: false })
  }

  /** Room reserved for a item that was not made. */
  releaseBytes(bytes: number): void {
    this.usedBytes = Math.max(0, this.usedBytes - bytes)
  }

  /** A result now takes its reserved room until it is freed or ends by itself. */
  hold(handle: string, bytes: number, now: number): void {
    this.held.set(handle, { bytes, expiresAt: now + this.limits.resultLifetimeMs, freeing: false })
  }

  /** What a call that broke off may have made keeps its room until it ends by itself. */
  holdLostCall(bytes: number, now: number): void {
    this.hold(`lost call ${this.lostCalls++}`, bytes, now)
  }

  /** Gives a result up; false where that was done before. Its room is taken until it is dropped. */
  markFreeing(handle: string): boolean {
    const result = this.held.get(handle)
    if (!result || result.freeing)
      return false
    result.freeing = true
    return true
  }

  /** The result's room is free again. */
  drop(handle: string): void {
    const result = this.held.get(handle)
    if (!result)
      return
    this.held.delete(handle)
    this.releaseBytes(result.bytes)
  }

  /** Whether a reader can still fetch a result. */
  isReadable(handle: string, now: number): boolean {
    const result = this.held.get(handle)
    return result !== undefined && !result.freeing && now < result.expiresAt - EXPIRY_MARGIN_MS
  }

  /** Forgets results that ended by themselves. */
  expire(now: number): void {
    for (const [handle, result] of this.held) {
      if (result.expiresAt <= now)
        this.drop(handle)
    }
  }

  /** A result of an earlier coordinator is this one's now. */
  adopt(handle: string, bytes: number, remainingMs: number, now: number): void {
    const others = this.held.get(RESULTS_OF_OTHERS)
    const known = Math.min(bytes, others?.bytes ?? 0)
    if (others)
      others.bytes -= known
    this.usedBytes += bytes - known
    this.held.set(handle, { bytes, expiresAt: now + remainingMs, freeing: false })
  }

  /** Milliseconds until a result ends by itself. */
  remainingLifetimeMs(handle: string, now: number): number {
    return Math.max(0, (this.held.get(handle)?.expiresAt ?? now) - now)
  }

  /** Room that results of others take there, as the backend server told it; it is free again when they end by themselves. */
  readFreeMemoryOf(freeBytes: number, now: number): void {
    this.drop(RESULTS_OF_OTHERS)
    const bytes = this.limits.resultMemoryBytes - freeBytes - this.usedBytes
    if (bytes <= 0)
      return
    this.usedBytes += bytes
    this.hold(RESULTS_OF_OTHERS, bytes, now)
  }
}
