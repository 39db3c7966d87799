/**
 * Decides which error to return for a request that no backend server answered,
 * or whose stages produced no results.
 *
 * Inputs: how often the request ran or may have run, the last failure, whether
 * its client disconnected, when the first backend server accepts a request (ms);
 * for stages the kind of their failure and the delay after which a retry is
 * useful (ms).
 * Rule: "did not run" is reported only if it is proven, because clients send such
 * a request again. A request that may have run ends with an unknown outcome. One
 * that every backend server refused ends as overload with a short retry delay;
 * one that no backend server accepts yet, as overload until the first one does.
 * One that is denied by a configuration that may have been replaced is sent
 * elsewhere. One that resumes a stream of whose version no server is left is told so, without
 * a delay.
 * Why: a wrong "did not run" makes a client run the request twice.
 * Log event: `request-ended` (`outcome`, `ran`, `reason`, `retryAfterMs`).
 */
import type { RequestError } from '@eidermast/common'
import type { CallFailure } from '../connection/backends/backend-client.js'
import type { PreparationFailure } from '../connection/peers/preparation.js'
import type { StreamOrigin } from './continuation/stream-origin.js'
import { createError, ErrorKind, Ran } from '@eidermast/common'
import { CallFailureKind } from '../connection/backends/backend-client.js'
import { PreparationFailureKind } from '../connection/peers/preparation.js'

/**
 * Retry delay for clients after every backend server refused. Keeps retries from
 * reaching a pool that is still full, at the cost of slots that become free
 * earlier and stay unused.
 */
const REFUSED_RETRY_AFTER_MS = 200

/** Retry delay for clients that another gateway may serve at once. */
const ELSEWHERE_RETRY_AFTER_MS = 100

/** A request that was not answered. */
export interface UnansweredRequest {
  service: string
  /** Where the stream began that it resumes. @default it resumes none */
  origin?: StreamOrigin
  /** Its client disconnected. */
  cancelled: boolean
  /** Attempts that ran or may have run. */
  runs: number
  /** Why requests like this one are not sent to any backend server; undefined if they are. */
  refusal: string | undefined
  /** Milliseconds until a backend server of the service accepts a request; 0 if one does now, Infinity if none accepts work. */
  waitMs: number
  /** Of the last attempt; undefined if there was none or it ended with a server error. */
  lastFailure: CallFailure | undefined
}

/** Decides the error of a request that no backend server answered. */
export function errorOfUnanswered({ service, origin, cancelled, runs, refusal, lastFailure, waitMs }: UnansweredRequest): RequestError {
  if (cancelled)
    return createError(ErrorKind.Cancelled, 'client disconnected', { ran: runs > 0 ? Ran.Unknown : Ran.None })
  if (runs > 0)
    return createError(ErrorKind.OutcomeUnknown, lastFailure?.message ?? 'backend server sent no response', { ran: Ran.Unknown })
  if (refusal !== undefined)
    return createError(ErrorKind.Quarantined, refusal)
  if (origin !== undefined && waitMs === Number.POSITIVE_INFINITY)
    return errorOfRemovedVersion(service, origin)
  if (waitMs > 0 && Number.isFinite(waitMs))
    return errorOfWithheld(service, waitMs)
  if (lastFailure && lastFailure.kind !== CallFailureKind.Leaving)
    return createError(ErrorKind.Overloaded, `no backend server accepted the request: ${lastFailure.message}`, { retryAfterMs: REFUSED_RETRY_AFTER_MS })
  return createError(ErrorKind.NoBackend, `no backend server of service ${service} is available`, { ran: Ran.None })
}

/** The error of a request whose time was over when it was routed. */
export function errorOfExpired(waitedMs: number): RequestError {
  const message = `the time-out of the route or the client passed before the request was routed, ${Math.round(waitedMs)} ms after its arrival`
  return createError(ErrorKind.DeadlineUnreachable, message, { ran: Ran.None })
}

/** The error of a request that a configuration denies which may have been replaced. */
export function errorOfOutdatedConfiguration(denial: RequestError, version: number): RequestError {
  const message = `configuration ${version} may be outdated, by which: ${denial.message}; retry at another gateway`
  return createError(ErrorKind.NotReady, message, { retryAfterMs: ELSEWHERE_RETRY_AFTER_MS })
}

/** The error of a request that no backend server accepts yet; `waitMs` is the time until one does. */
export function errorOfWithheld(service: string, waitMs: number): RequestError {
  const message = `no backend server of service ${service} accepts a request within the next ${Math.ceil(waitMs)} ms`
  return createError(ErrorKind.Overloaded, message, { retryAfterMs: waitMs })
}

/** The error of a request that resumes a stream while no backend server of its version accepts work. */
export function errorOfRemovedVersion(service: string, { version }: StreamOrigin): RequestError {
  const message = `the stream began at software version ${version ?? '(not named)'} of service ${service}, of which no backend server is left: begin it again`
  return createError(ErrorKind.StreamVersionGone, message)
}

/** Decides the error of a request whose stages produced no results. */
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
