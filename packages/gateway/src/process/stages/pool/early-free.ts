/**
 * Decides when the inputs of a call count as fetched, so that they may be freed
 * before the call ends.
 *
 * Inputs: bytes of the inputs; configured speed of the link (Mbit/s); whether
 * another coordinator's call may run first at the backend server.
 * Rule: after FETCH_FACTOR times the plain transfer time and FETCH_MARGIN_MS.
 * Inputs count as fetched only at the call's end where another coordinator may
 * be at work, where the speed is unknown, or where there are no bytes.
 * Why: backend servers fetch all inputs before they compute, and result memory
 * is the scarce resource. A call that waits behind another coordinator's
 * fetches late, and finds them gone.
 * Log event: `stage-call` (failures `input-gone` where it was too early).
 */

/**
 * Milliseconds after a change of coordinator in which calls of the one before
 * may run first. While it lasts, results use memory for longer.
 */
export const COORDINATOR_OVERLAP_MS = 1500
/**
 * Time of a fetch over the plain transfer time, for both links and a busy
 * backend server. Half of it risks lost inputs, twice as much holds memory.
 */
const FETCH_TIME_FACTOR = 3
/** Milliseconds. Connection and queueing of a fetch, with the same costs as FETCH_FACTOR. */
const FETCH_MARGIN_MS = 80
/** Bits in a byte, for a speed in megabits. */
const BITS_PER_BYTE = 8
/** Bits in a millisecond at one megabit a second. */
const BITS_PER_MS_AT_ONE_MBPS = 1000

/** What the inputs of a call need to be fetched. */
export interface FetchInput {
  inputBytes: number
  /** 0 or less where it is unknown. */
  bandwidthMbps: number
  /** Another coordinator may be at work at the same backend servers. */
  mayQueueBehindOther: boolean
}

/** Milliseconds after the start of a call at which its inputs count as fetched; undefined for its end. */
export function inputsFetchedAfterMs({ inputBytes, bandwidthMbps, mayQueueBehindOther: mayWaitForOther }: FetchInput): number | undefined {
  if (mayWaitForOther || inputBytes === 0 || bandwidthMbps <= 0)
    return undefined
  const transferMs = inputBytes * BITS_PER_BYTE / (bandwidthMbps * BITS_PER_MS_AT_ONE_MBPS)
  return transferMs * FETCH_TIME_FACTOR + FETCH_MARGIN_MS
}
