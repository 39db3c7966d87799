/**
 * Decides when the inputs of a call count as fetched, so that they may be freed
 * before the call ends.
 *
 * Inputs: bytes of the inputs; configured bandwidth of the link (Mbit/s); whether
 * another coordinator's call may run first at the backend server.
 * Rule: after FETCH_TIME_FACTOR times the nominal transfer time plus
 * FETCH_MARGIN_MS. Only at the end of the call if another coordinator may be
 * active, if the bandwidth is unknown, or if there are no bytes.
 * Why: backend servers fetch all inputs before they compute, and result memory
 * is the scarce resource. A call that queues behind another coordinator's
 * fetches late and would no longer find its inputs.
 * Log event: `stage-call` (failures `input-gone` where it was too early).
 */

/**
 * Time after a change of coordinator during which calls of the previous one may
 * run first. Results stay in memory longer during it.
 */
export const COORDINATOR_OVERLAP_MS = 1500
/**
 * Expected fetch time over the nominal transfer time; allows for both links and
 * a busy backend server. Protects against freeing inputs before they are fetched,
 * at the cost of memory that stays in use longer.
 */
const FETCH_TIME_FACTOR = 3
/** Connection set-up and queueing of a fetch; the same trade-off as FETCH_TIME_FACTOR. */
const FETCH_MARGIN_MS = 80
const BITS_PER_BYTE = 8
/** Bits transferred in a millisecond at 1 Mbit/s. */
const BITS_PER_MS_AT_ONE_MBPS = 1000

/** Inputs of a call and the conditions under which they are fetched. */
export interface FetchInput {
  inputBytes: number
  /** 0 or less if unknown. */
  bandwidthMbps: number
  /** Another coordinator may be using the same backend servers. */
  mayQueueBehindOther: boolean
}

/** Milliseconds after the start of a call at which its inputs count as fetched; undefined for the end of the call. */
export function inputsFetchedAfterMs({ inputBytes, bandwidthMbps, mayQueueBehindOther }: FetchInput): number | undefined {
  if (mayQueueBehindOther || inputBytes === 0 || bandwidthMbps <= 0)
    return undefined
  const transferMs = inputBytes * BITS_PER_BYTE / (bandwidthMbps * BITS_PER_MS_AT_ONE_MBPS)
  return transferMs * FETCH_TIME_FACTOR + FETCH_MARGIN_MS
}
