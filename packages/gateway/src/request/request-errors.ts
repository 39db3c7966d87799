/**
 * Decides which error answers a request that no backend server answered, or
 * whose stages brought no results.
 *
 * Inputs: how often the request ran or may have, the last failure, whether its
 * client left, when the first backend server takes a request (ms); for stages the kind of their failure and the time after which a
 * retry is worth while (ms).
 * Rule: "did not run" is said only where it is proved, since clients send such a
 * request again. A request that may have run ends as of unknown outcome; one
 * that every backend server refused, as an overload with a short wait, and one
 * that none takes by its own word, as an overload until the first of them does.
 * Why: a wrong "did not run" makes a client run the request twice.
 * Log event: `request-ended` (`outcome`, `ran`, `reason`, `retryAfterMs`).
 */
import type { RequestError } from '@eidermast/common'
import type { CallFailure } from '../connection/backends/backend-client.js'
import type { PreparationFailure } from '../connection/peers/preparation.js'
import { createError, ErrorKind, Ran } from '@eidermast/common'
import { CallFailureKind } from '../connection/backends/backend-client.js'
import { PreparationFailureKind } from '../connection/peers/preparation.js'

/**
 * Milliseconds until a client retries after every backend server refused. Half
 * brings retries into a pool that is still full, twice wastes free slots.
 */
const REFUSED_RETRY_MS = 200

/** A request without an answer. */
export interface UnansweredRequest {
  service: string
  /** Its client left. */
  cancelled: boolean
  /** Attempts that ran, or may have. */
  runs: number
  /** Why such requests are sent to no backend server; absent where they are. */
  refusal: string | undefined
  /** Milliseconds until some backend server of the service takes a request; 0 where one does now, Infinity where none takes work. */
  waitMs: number
  /** Of the last attempt; absent where there was none or it answered with a failure of its own. */
  lastFailure: CallFailure | undefined
}

/** Decides the error of a request that no backend server answered. */
export function errorOfUnanswered({ service, cancelled, runs, refusal, lastFailure, waitMs }: UnansweredRequest): RequestError {
  if (cancelled)
    return createError(ErrorKind.Cancelled, 'the client left', { ran: runs > 0 ? Ran.Unknown : Ran.None })
  if (runs > 0)
    return createError(ErrorKind.OutcomeUnknown, lastFailure?.message ?? 'no answer came', { ran: Ran.Unknown })
  if (refusal !== undefined)
    return createError(ErrorKind.Quarantined, refusal)
  if (waitMs > 0 && Number.isFinite(waitMs))
    return errorOfWithheld(service, waitMs)
  if (lastFailure && lastFailure.kind !== CallFailureKind.Leaving)
    return createError(ErrorKind.Overloaded, `no backend server took it: ${lastFailure.message}`, { retryAfterMs: REFUSED_RETRY_MS })
  return createError(ErrorKind.NoBackend, `no backend server of ${service} can be used`, { ran: Ran.None })
}

/** The error of a request that no backend server takes now, by their own word; takes the time until one does, in milliseconds. */
export function errorOfWithheld(service: string, waitMs: number): RequestError {
  const message = `no backend server of ${service} takes a request before ${Math.ceil(waitMs)} ms have passed`
  return createError(ErrorKind.Overloaded, message, { retryAfterMs: waitMs })
}

/** Decides the error of a request whose stages brought no results. */
export function errorOfPreparation({ kind, message, retryAfterMs }: PreparationFailure): RequestError {
  return createError(errorKindOf(kind), message, { ran: Ran.None, retryAfterMs })
}

function errorKindOf(kind: PreparationFailureKind): ErrorKind {
  switch (kind) {
    case PreparationFailureKind.Overloaded:
      return ErrorKind.Overloaded
    case PreparationFailureKind.TooLate:
    case PreparationFailureKind.Cancelled:
      return ErrorKind.DeadlineUnreachable
    case PreparationFailureKind.NoBackend:
    case PreparationFailureKind.HandedOver:
    case PreparationFailureKind.Failed:
      return ErrorKind.NoBackend
  }
}
