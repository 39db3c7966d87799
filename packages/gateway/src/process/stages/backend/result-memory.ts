/**
 * Accounts for the result memory of one backend server: bytes reserved for
 * items in calls, and results until they are deleted or expire. Owns these
 * records while the backend server accepts work or one of its results is
 * referenced. Relies on the configured memory size and result lifetime, and on
 * the responses to deletion calls. Nothing is persisted: the next coordinator
 * starts from the free memory that the backend servers report.
 */
import type { Backend } from '../../../connection/backends/backend.js'
import type { ResultHolder } from '../../../request/stages/stage-task.js'
import type { StageLimits } from '../../../version/configuration.js'
import { MEMORY_EXHAUSTED_MS } from './backend-pause.js'

/**
 * Share of the result memory that may be reserved; result sizes are estimates.
 * At 0.93, calls of one service had memory for only 8 of 12 items.
 */
const USABLE_MEMORY_SHARE = 0.97
/**
 * Results that expire within this time are not passed to a reader, so that inputs
 * of a call do not expire in transit. Their items run again, although some of the
 * results could still be read.
 */
const EXPIRY_MARGIN_MS = 100

/** Key of the entry for all results that this process did not request. */
const FOREIGN_RESULTS = 'foreign results'
/** Key of the entry for bytes that were counted as free but were not available. */
const UNACCOUNTED_BYTES = 'unaccounted bytes'

interface HeldResult {
  bytes: number
  expiresAt: number
  /** Its deletion is scheduled or in progress; the bytes stay counted until the backend server confirms it. */
  isMarkedForDeletion: boolean
}

/** Result memory of one backend server; times are in milliseconds on the monotonic clock. */
export class ResultMemory implements ResultHolder {
  private usedBytes = 0
  private brokenCalls = 0
  private readonly held = new Map<string, HeldResult>()

  constructor(readonly backend: Backend, private limits: StageLimits) {}

  get failureDomain(): string {
    return this.backend.failureDomain
  }

  setLimits(limits: StageLimits): void {
    this.limits = limits
  }

  /** Bytes that may be reserved; negative if other coordinators use more than the usable share leaves. */
  freeBytes(): number {
    return this.limits.resultMemoryBytes * USABLE_MEMORY_SHARE - this.usedBytes
  }

  /** Reserves memory for the results of a call. */
  reserve(bytes: number): void {
    this.usedBytes += bytes
  }

  /** Returns reserved memory for which no result was produced. */
  release(bytes: number): void {
    this.usedBytes = Math.max(0, this.usedBytes - bytes)
  }

  /** Records a result; its reserved bytes stay in use until it is deleted or expires. */
  hold(handle: string, bytes: number, now: number, lifetimeMs = this.limits.resultLifetimeMs): void {
    this.held.set(handle, { bytes, expiresAt: now + lifetimeMs, isMarkedForDeletion: false })
  }

  /** Keeps the reserved bytes of a broken call until its results, if there are any, have expired. */
  holdBrokenCall(bytes: number, now: number): void {
    this.hold(`broken call ${this.brokenCalls++}`, bytes, now)
  }

  /** Takes over a result of an earlier coordinator, which may already be counted in FOREIGN_RESULTS. */
  adopt(handle: string, bytes: number, remainingMs: number, now: number): void {
    const foreign = this.held.get(FOREIGN_RESULTS)
    const alreadyCounted = Math.min(bytes, foreign?.bytes ?? 0)
    if (foreign)
      foreign.bytes -= alreadyCounted
    this.usedBytes += bytes - alreadyCounted
    this.hold(handle, bytes, now, remainingMs)
  }

  /** Counts bytes that the backend server reports as used and that this process does not account for, until they expire. */
  recordReportedFree(freeBytes: number, now: number): void {
    this.drop(FOREIGN_RESULTS)
    const bytes = this.limits.resultMemoryBytes - freeBytes - this.usedBytes
    if (bytes <= 0)
      return
    this.usedBytes += bytes
    this.hold(FOREIGN_RESULTS, bytes, now)
  }

  /** An item found no memory: counts all free memory as used for MEMORY_EXHAUSTED_MS. */
  markExhausted(now: number): void {
    this.drop(UNACCOUNTED_BYTES)
    const bytes = Math.max(0, this.freeBytes())
    this.usedBytes += bytes
    this.hold(UNACCOUNTED_BYTES, bytes, now, MEMORY_EXHAUSTED_MS)
  }

  isReadable(handle: string, now: number): boolean {
    const result = this.held.get(handle)
    return result !== undefined && !result.isMarkedForDeletion && now < result.expiresAt - EXPIRY_MARGIN_MS
  }

  remainingLifetimeMs(handle: string, now: number): number {
    return Math.max(0, (this.held.get(handle)?.expiresAt ?? now) - now)
  }

  markForDeletion(handle: string): boolean {
    const result = this.held.get(handle)
    if (!result || result.isMarkedForDeletion)
      return false
    result.isMarkedForDeletion = true
    return true
  }

  drop(handle: string): void {
    const result = this.held.get(handle)
    if (!result)
      return
    this.held.delete(handle)
    this.release(result.bytes)
  }

  /** Removes expired results. */
  expire(now: number): void {
    for (const [handle, result] of this.held) {
      if (result.expiresAt <= now)
        this.drop(handle)
    }
  }
}
