/**
 * Errors of requests that end because this gateway stops.
 */
import type { RequestError } from '@eidermast/common'
import { createError, ErrorKind, Ran } from '@eidermast/common'

/**
 * Retry delay for clients whose request is rejected by a gateway that is shutting
 * down. Short, since another gateway accepts the request immediately.
 */
const STOPPING_RETRY_MS = 100

/** Reason with which the signal of a request aborts that the end of the process leaves no time for. */
export class GatewayStoppingError extends Error {
  constructor() {
    super('the gateway is shutting down')
    this.name = 'GatewayStoppingError'
  }
}

/** Whether a signal was aborted because this gateway stops. */
export function isStopping(signal: AbortSignal): boolean {
  return signal.reason instanceof GatewayStoppingError
}

/** The error of a request that has not run and will not run here. */
export function errorOfStopping(): RequestError {
  return createError(ErrorKind.Stopping, 'the gateway is shutting down; retry the request', { retryAfterMs: STOPPING_RETRY_MS })
}

/** The error of a request that ends with the process; `ran` says how much of it was executed. */
export function errorOfStopped(ran: Ran): RequestError {
  if (ran === Ran.None)
    return errorOfStopping()
  return createError(ErrorKind.OutcomeUnknown, 'the gateway shut down before a backend server had answered', { ran })
}
