/**
 * Decides in two steps whether a side orders its backend server to apply a
 * placement: whether an order is due, and whether it may be sent.
 *
 * Inputs: whether the latest configuration is known; the fencing tokens
 * ("fences") of the placement (its configuration offset) and of the latest
 * applied order; the response of the weight store; the log's confirmation that
 * nothing newer exists, with its age in milliseconds.
 * Rule: an order is due if its fence is above that of the latest applied order
 * and no other order is in progress. It is sent if the weights exist and, for a
 * backend server that does not check fences itself, if the log has confirmed
 * within MAX_CONFIRMATION_AGE_MS that this configuration is the latest.
 * Why not a lease for the side: it can expire while its holder is paused, and
 * the side would send an outdated order when it resumes. Why entries are not
 * queried: their response may have been waiting in the socket of the paused side.
 * Log event: `order` (fence, model, version, adapters, result).
 */
import { WeightState } from './weight-store.js'

/** Result of an order. */
export enum OrderResult {
  Applied = 'applied',
  /** The backend server did not acknowledge it. */
  Failed = 'failed',
  WeightsAbsent = 'weights-absent',
  WeightsUnknown = 'weights-unknown',
  /** The latest placement has already been applied. */
  Current = 'current',
  /** The latest configuration is not known yet, another order is in progress, or a newer placement exists. */
  NotYet = 'not-yet',
  /** The log did not confirm in time that no newer order exists. */
  NotConfirmed = 'not-confirmed',
}

/**
 * Validity of the log's confirmation; a pause of this process makes it appear
 * older. Bounds the pause after which an order can still be sent, and leaves time
 * for a slow log.
 */
const MAX_CONFIRMATION_AGE_MS = 1000

/** Inputs of the decision whether an order is due. */
export interface OrderDueInputs {
  configurationKnown: boolean
  /** Fence of the placement; undefined if the backend server is not configured. */
  fence: number | undefined
  /** Fence of the latest applied order. */
  appliedFence: number
  /** Whether another order is in progress: concurrent orders could arrive out of order. */
  orderInProgress: boolean
}

/** Returns why no order is due; undefined if one is. */
export function findNotDueReason(inputs: OrderDueInputs): OrderResult.NotYet | OrderResult.Current | undefined {
  if (!inputs.configurationKnown)
    return OrderResult.NotYet
  if (inputs.fence === undefined || inputs.fence <= inputs.appliedFence)
    return OrderResult.Current
  return inputs.orderInProgress ? OrderResult.NotYet : undefined
}

/** Returns why an order must not be sent because of its weights; undefined if they exist. */
export function findWeightsRefusal(weights: WeightState): OrderResult.WeightsAbsent | OrderResult.WeightsUnknown | undefined {
  switch (weights) {
    case WeightState.Present:
      return undefined
    case WeightState.Absent:
      return OrderResult.WeightsAbsent
    case WeightState.Unknown:
      return OrderResult.WeightsUnknown
  }
}

/** Inputs of the decision whether an order may be sent. */
export interface OrderSendInputs {
  /** Whether the backend server rejects old fences itself, so that no confirmation is needed. */
  checksOrders: boolean
  /** Whether the log has just confirmed that the configuration is the latest. */
  confirmed: boolean
  /** Time since the confirmation was requested. */
  confirmationAgeMs: number
  fence: number
  /** Fence of the placement in the current configuration. */
  latestFence: number | undefined
}

/** Returns why an order must not be sent; undefined if it may. */
export function findSendRefusal(inputs: OrderSendInputs): OrderResult.NotConfirmed | OrderResult.NotYet | undefined {
  if (!inputs.checksOrders && !inputs.confirmed)
    return OrderResult.NotConfirmed
  if (inputs.confirmationAgeMs > MAX_CONFIRMATION_AGE_MS)
    return OrderResult.NotConfirmed
  return inputs.latestFence !== undefined && inputs.latestFence > inputs.fence ? OrderResult.NotYet : undefined
}
