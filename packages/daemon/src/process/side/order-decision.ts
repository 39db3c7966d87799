/**
 * Decides whether a side orders its backend server to hold a placement, in two
 * steps: whether an order is due, and whether it may still be sent.
 *
 * Inputs: whether the newest configuration is known; the fence of the
 * placement (its configuration offset) and of the newest order that took
 * effect; the weight store's answer; the log's answer to whether nothing newer
 * exists, with its age in milliseconds.
 * Rule: an order is due when the fence is above the newest that took effect and
 * none is under way. It is sent when the weights exist, and, for a backend
 * server that does not check fences itself, when the log has confirmed within
 * MAX_CONFIRMATION_AGE_MS that this configuration is the newest. Why not a
 * lease for the side: it lapses while its holder is paused, and the paused side
 * would send an old order when it resumes. Why not ask the entries: their
 * answer may have waited in the paused side's socket.
 * Log event: `order` (fence, model, version, adapters, result).
 */
import { WeightState } from './weight-store.js'

/** What came of an order. */
export enum OrderResult {
  Applied = 'applied',
  /** The backend server did not acknowledge it. */
  Failed = 'failed',
  WeightsAbsent = 'weights-absent',
  WeightsUnknown = 'weights-unknown',
  /** The newest placement is in force. */
  Current = 'current',
  /** The newest configuration is not known yet, or another order is under way. */
  NotYet = 'not-yet',
  /** The log could not confirm that no newer order exists. */
  NotConfirmed = 'not-confirmed',
}

/**
 * Milliseconds for which the log's confirmation holds; a pause of this process
 * shows as a longer one. Half would refuse orders while the log answers slowly,
 * twice would let an order out after a pause of up to 2 s.
 */
const MAX_CONFIRMATION_AGE_MS = 1000

/** What is known when an order may be due. */
export interface DueSigns {
  configurationKnown: boolean
  /** Fence of the placement; undefined where the backend server is not configured. */
  fence: number | undefined
  /** Fence of the newest order that took effect. */
  appliedFence: number
  /** Whether another order is under way: two could arrive in the wrong order. */
  ordering: boolean
}

/** Why no order is due; undefined where one is. */
export function findNotDue(signs: DueSigns): OrderResult.NotYet | OrderResult.Current | undefined {
  if (!signs.configurationKnown)
    return OrderResult.NotYet
  if (signs.fence === undefined || signs.fence <= signs.appliedFence)
    return OrderResult.Current
  return signs.ordering ? OrderResult.NotYet : undefined
}

/** Why the weights forbid an order; undefined where they exist. */
export function findWeightsHindrance(weights: WeightState): OrderResult.WeightsAbsent | OrderResult.WeightsUnknown | undefined {
  switch (weights) {
    case WeightState.Present:
      return undefined
    case WeightState.Absent:
      return OrderResult.WeightsAbsent
    case WeightState.Unknown:
      return OrderResult.WeightsUnknown
  }
}

/** What is known just before an order is sent. */
export interface SendSigns {
  /** Whether the backend server refuses old fences itself, so that no confirmation is needed. */
  checksOrders: boolean
  /** Whether the log has just confirmed that the configuration is the newest. */
  confirmed: boolean
  /** Milliseconds since the log was asked. */
  confirmationAgeMs: number
  fence: number
  /** Fence of the placement in the configuration as of now. */
  newestFence: number | undefined
}

/** Why an order must not be sent; undefined where it may. */
export function findSendHindrance(signs: SendSigns): OrderResult.NotConfirmed | OrderResult.NotYet | undefined {
  if (!signs.checksOrders && !signs.confirmed)
    return OrderResult.NotConfirmed
  if (signs.confirmationAgeMs > MAX_CONFIRMATION_AGE_MS)
    return OrderResult.NotConfirmed
  return signs.newestFence !== undefined && signs.newestFence > signs.fence ? OrderResult.NotYet : undefined
}
