/**
 * Decides how many bytes this process may hold for clients and backend servers.
 *
 * Answers this load: slow readers beside large bodies and answers, which would
 * fill the memory of the process.
 * Inputs: the limit in the settings, the memory of the process (bytes, both as
 * configured; undefined if not), the limit of its heap (bytes).
 * Rule: the configured limit, or HELD_SHARE of the memory. Where the settings do
 * not tell the memory, that of the heap takes its place.
 * Why: a process that outgrows its memory is killed with all that it holds.
 * Log event: `held-limit`; also metric `eidermast_gateway_held_bytes_limit`.
 */

import { heapLimitBytes } from '@eidermast/common'

/**
 * Part of the memory of a process. On the smallest VMs it is half of what the
 * limit of the heap leaves; connections, Node and the kernel need the other half.
 */
const HELD_SHARE = 1 / 8

/** Inputs of the limit. */
export interface HeldLimitInputs {
  /** 0 for no limit; undefined if the settings leave it to the platform. */
  configuredBytes: number | undefined
  /** Undefined if the settings do not tell. */
  memoryBytes: number | undefined
}

/** Returns the limit in bytes; Infinity for no limit. */
export function decideHeldLimit({ configuredBytes, memoryBytes = heapLimitBytes() }: HeldLimitInputs): number {
  const limitBytes = configuredBytes ?? memoryBytes * HELD_SHARE
  return limitBytes > 0 ? limitBytes : Number.POSITIVE_INFINITY
}
