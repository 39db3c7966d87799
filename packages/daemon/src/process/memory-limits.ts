/**
 * Decides how much memory connections and the bodies of requests may take.
 *
 * Answers this load: clients that send very large or very many requests at once.
 * Inputs: the limits in the settings (bytes; undefined if not), the largest body
 * that the settings allow, the limit of the heap (bytes).
 * Rule: what is configured; otherwise parts of the heap, and always enough for
 * single requests of the largest size.
 * Why: a process that outgrows its heap ends with all requests that it holds.
 * Log event: `connections-closed` (`maxSharedBytes`); a body that gets no memory is
 * answered with `overloaded`.
 */
import type { Settings } from './settings.js'
import { heapLimitBytes } from '@eidermast/common'

/** Leaves most of the heap to requests, outcomes and results. */
const SHARED_PART = 1 / 16
const BODIES_PART = 1 / 8
/** Room for single heads of the largest size. */
const MIN_SHARED_BYTES = 8_000_000
/** Bodies of the largest size that there is room for at least. */
const MIN_BODIES = 2

/** Inputs of the limits, in bytes; undefined where the settings do not tell. */
export interface MemoryLimitInputs {
  sharedBytes: number | undefined
  heldBodyBytes: number | undefined
  maxBodyBytes: number
}

/** Limits of a process, in bytes. */
export interface MemoryLimits {
  /** What connections share for large heads and requests sent ahead. */
  sharedBytes: number
  /** Bodies of requests that are not answered. */
  heldBodyBytes: number
}

export function decideMemoryLimits({ sharedBytes, heldBodyBytes, maxBodyBytes }: MemoryLimitInputs, heapBytes = heapLimitBytes()): MemoryLimits {
  return {
    sharedBytes: sharedBytes ?? Math.max(MIN_SHARED_BYTES, heapBytes * SHARED_PART),
    heldBodyBytes: heldBodyBytes ?? Math.max(MIN_BODIES * maxBodyBytes, heapBytes * BODIES_PART),
  }
}

/** The limits of a process with these settings. */
export function memoryLimitsOf({ process, entry }: Settings): MemoryLimits {
  return decideMemoryLimits({ sharedBytes: process['connection-bytes'], heldBodyBytes: entry['held-body-bytes'], maxBodyBytes: entry['max-body-bytes'] })
}
