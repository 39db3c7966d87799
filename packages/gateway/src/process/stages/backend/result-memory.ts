/**
 * Accounts for the result memory of one backend server: bytes reserved for
 * items in calls, and results until they are deleted or expire. Owns these
 * records while the backend server takes work or a result of it is referenced.
 * Relies on the configured memory and lifetime, and on the deletion calls'
 * answers. Nothing is kept when the process dies: the next coordinator starts
 * from what the backend servers report as free.
 */
import type { Backend } from '../../../connection/backends/backend.js'
import type { ResultHolder } from '../../../request/stages/stage-task.js'
import type { StageLimits } from '../../../version/configuration.js'
import { MEMORY_DISTRUST_MS } from './backend-pause.js'

/**
 * Share of the result memory that is planned with, since sizes of results are
 * estimates. Commit 1e05cb6: at 0.93, calls of one service held 8 of 12 items.
 */
const USABLE_MEMORY_SHARE = 0.97
/**
 * Results this near to their expiry are not sent to a reader, in milliseconds.
 * Half of it risks calls whose inputs expire on the way, twice
 * as much runs items again that could still be read.
 */
const EXPIRY_MARGIN_MS = 100

/** Entry for all results that this process did not ask for. */
const RESULTS_OF_OTHERS = 'results of others'
/** Entry for bytes that were counted as free and turned out not to be. */
const RESULTS_UNKNOWN = 'results unknown'

interface HeldResult {
  bytes: number
  expiresAt: number
  /** Its deletion is under way; its bytes are free when the backend server has confirmed it. */
  freeing: boolean
}

/** The result memory of one backend server; times are on the process clock, in milliseconds. */
export class ResultMemory implements ResultHolder {
  private usedBytes = 0
  private lostCalls = 0
  private readonly held = new Map<string, HeldResult>()

  constructor(readonly backend: Backend, private limits: StageLimits) {}

  get failureDomain(): string {
    return this.backend.failureDomain
  }

  setLimits(limits: StageLimits): void {
    this.limits = limits
  }

  /** Bytes that may be reserved; negative where others use more than is planned with. */
  freeBytes(): number {
    return this.limits.resultMemoryBytes * USABLE_MEMORY_SHARE - this.usedBytes
  }

  /** Reserves memory for the results of a call. */
  reserve(bytes: number): void {
    this.usedBytes += bytes
  }

  /** Returns reserved memory that no result uses. */
  release(bytes: number): void {
    this.usedBytes = Math.max(0, this.usedBytes - bytes)
  }

  /** A result uses its reserved bytes until it is deleted or expires. */
  hold(handle: string, bytes: number, now: number, lifetimeMs = this.limits.resultLifetimeMs): void {
    this.held.set(handle, { bytes, expiresAt: now + lifetimeMs, freeing: false })
  }

  /** A call broke off: what it may have made uses its reserved bytes until it expires. */
  holdLostCall(bytes: number, now: number): void {
    this.hold(`lost call ${this.lostCalls++}`, bytes, now)
  }

  /** Counts a result of an earlier coordinator as this one's. */
  adopt(handle: string, bytes: number, remainingMs: number, now: number): void {
    const others = this.held.get(RESULTS_OF_OTHERS)
    const known = Math.min(bytes, others?.bytes ?? 0)
    if (others)
      others.bytes -= known
    this.usedBytes += bytes - known
    this.hold(handle, bytes, now, remainingMs)
  }

  /** Counts what the backend server reports as used beyond this process's own, until it expires. */
  recordReportedFree(freeBytes: number, now: number): void {
    this.drop(RESULTS_OF_OTHERS)
    const bytes = this.limits.resultMemoryBytes - freeBytes - this.usedBytes
    if (bytes <= 0)
      return
    this.usedBytes += bytes
    this.hold(RESULTS_OF_OTHERS, bytes, now)
  }

  /** An item found no memory: all that was counted as free counts as used for a while. */
  distrustFree(now: number): void {
    this.drop(RESULTS_UNKNOWN)
    const bytes = Math.max(0, this.freeBytes())
    this.usedBytes += bytes
    this.hold(RESULTS_UNKNOWN, bytes, now, MEMORY_DISTRUST_MS)
  }

  isReadable(handle: string, now: number): boolean {
    const result = this.held.get(handle)
    return result !== undefined && !result.freeing && now < result.expiresAt - EXPIRY_MARGIN_MS
  }

  remainingLifetimeMs(handle: string, now: number): number {
    return Math.max(0, (this.held.get(handle)?.expiresAt ?? now) - now)
  }

  markForDeletion(handle: string): boolean {
    const result = this.held.get(handle)
    if (!result || result.freeing)
      return false
    result.freeing = true
    return true
  }

  drop(handle: string): void {
    const result = this.held.get(handle)
    if (!result)
      return
    this.held.delete(handle)
    this.release(result.bytes)
  }

  /** Forgets expired results. */
  expire(now: number): void {
    for (const [handle, result] of this.held) {
      if (result.expiresAt <= now)
        this.drop(handle)
    }
  }
}
