/**
 * Decides how a failed request is answered: its HTTP status, what the response
 * may state about executed work, and whether it includes a retry delay.
 *
 * Inputs: the error kind; what the code that raises the error knows about
 * executed work; the delay in ms after which a retry is worthwhile, if that
 * code has an estimate.
 * Rule: one table row for each kind. A statement about executed work that the
 * row does not allow becomes `unknown`; a kind without `retryAfter` includes no
 * delay.
 * Why: `none` allows a caller to resend an unrepeatable request, so a kind that
 * is raised after work may have started must not be able to state it by mistake.
 * Log events: the kind and `ran` are fields of `answer` (daemon) and of the
 * gateway's log line for each answered request.
 */

/** How much of a request was executed. `None` guarantees that nothing was. */
export enum Ran {
  None = 'none',
  Part = 'part',
  Unknown = 'unknown',
}

/** Every error kind that a caller can receive. */
export enum ErrorKind {
  InvalidRequest = 'invalid-request',
  HeadersTooLarge = 'headers-too-large',
  BodyTooLarge = 'body-too-large',
  BodyStalled = 'body-stalled',
  Unauthenticated = 'unauthenticated',
  UnknownAccount = 'unknown-account',
  UnknownPipeline = 'unknown-pipeline',
  UnknownService = 'unknown-service',
  UnknownPath = 'unknown-path',
  MethodNotAllowed = 'method-not-allowed',
  UnknownRequest = 'unknown-request',
  RequestIdReused = 'request-id-reused',
  RequestIdExpired = 'request-id-expired',
  TicketInvalid = 'ticket-invalid',
  Overloaded = 'overloaded',
  AccountOverShare = 'account-over-share',
  DeadlineUnreachable = 'deadline-unreachable',
  NoBackend = 'no-backend',
  /** Requests with the same fingerprint crashed the backend servers that ran them. */
  Quarantined = 'quarantined',
  /** Several software versions serve, and it is not known yet at which one the stream began. */
  StreamVersionUnknown = 'stream-version-unknown',
  /** Several software versions serve, and it will not be known at which one the stream began. */
  StreamVersionLost = 'stream-version-lost',
  /** No backend server of the software version is left at which the stream began. */
  StreamVersionGone = 'stream-version-gone',
  NotReady = 'not-ready',
  Stopping = 'stopping',
  LogUnavailable = 'log-unavailable',
  DeadlineExceeded = 'deadline-exceeded',
  StageFailed = 'stage-failed',
  OutcomeUnknown = 'outcome-unknown',
  Cancelled = 'cancelled',
  Internal = 'internal',
}

/** Response to requests that fail with an error kind. */
export interface ErrorResponse {
  status: number
  /** What the response may state about executed work; the first value is the default. */
  ran: readonly Ran[]
  /** Whether the response includes a retry delay. */
  retryAfter: boolean
}

const NONE = [Ran.None] as const
const STARTED = [Ran.Part, Ran.Unknown] as const
const ANY = [Ran.None, Ran.Part, Ran.Unknown] as const

/** Maps each error kind to its response. */
export const ERROR_RESPONSES: Readonly<Record<ErrorKind, ErrorResponse>> = {
  [ErrorKind.InvalidRequest]: { status: 400, ran: NONE, retryAfter: false },
  [ErrorKind.HeadersTooLarge]: { status: 431, ran: NONE, retryAfter: false },
  [ErrorKind.BodyTooLarge]: { status: 413, ran: NONE, retryAfter: false },
  [ErrorKind.BodyStalled]: { status: 408, ran: NONE, retryAfter: false },
  [ErrorKind.Unauthenticated]: { status: 401, ran: NONE, retryAfter: false },
  [ErrorKind.UnknownAccount]: { status: 403, ran: NONE, retryAfter: false },
  [ErrorKind.UnknownPipeline]: { status: 404, ran: NONE, retryAfter: false },
  [ErrorKind.UnknownService]: { status: 404, ran: NONE, retryAfter: false },
  [ErrorKind.UnknownPath]: { status: 404, ran: NONE, retryAfter: false },
  [ErrorKind.MethodNotAllowed]: { status: 405, ran: NONE, retryAfter: false },
  [ErrorKind.UnknownRequest]: { status: 404, ran: [Ran.Unknown], retryAfter: false },
  [ErrorKind.RequestIdReused]: { status: 409, ran: [Ran.Unknown], retryAfter: false },
  [ErrorKind.RequestIdExpired]: { status: 410, ran: [Ran.Unknown], retryAfter: false },
  [ErrorKind.TicketInvalid]: { status: 400, ran: NONE, retryAfter: false },
  [ErrorKind.Overloaded]: { status: 429, ran: NONE, retryAfter: true },
  [ErrorKind.AccountOverShare]: { status: 429, ran: NONE, retryAfter: true },
  [ErrorKind.DeadlineUnreachable]: { status: 503, ran: ANY, retryAfter: true },
  [ErrorKind.NoBackend]: { status: 503, ran: ANY, retryAfter: true },
  // A retry would crash another backend server, so no retry delay is included.
  [ErrorKind.Quarantined]: { status: 503, ran: NONE, retryAfter: false },
  [ErrorKind.StreamVersionUnknown]: { status: 503, ran: NONE, retryAfter: true },
  // Waiting does not help, so no retry delay is included.
  [ErrorKind.StreamVersionLost]: { status: 503, ran: NONE, retryAfter: false },
  [ErrorKind.StreamVersionGone]: { status: 503, ran: NONE, retryAfter: false },
  [ErrorKind.NotReady]: { status: 503, ran: NONE, retryAfter: true },
  [ErrorKind.Stopping]: { status: 503, ran: NONE, retryAfter: true },
  [ErrorKind.LogUnavailable]: { status: 503, ran: [Ran.None, Ran.Unknown], retryAfter: true },
  [ErrorKind.DeadlineExceeded]: { status: 504, ran: ANY, retryAfter: false },
  [ErrorKind.StageFailed]: { status: 502, ran: STARTED, retryAfter: false },
  [ErrorKind.OutcomeUnknown]: { status: 502, ran: [Ran.Unknown], retryAfter: false },
  [ErrorKind.Cancelled]: { status: 499, ran: ANY, retryAfter: false },
  [ErrorKind.Internal]: { status: 500, ran: ANY, retryAfter: false },
}

/** An error as the caller receives it. */
export interface RequestError {
  kind: ErrorKind
  /** A sentence that tells the caller what to do. */
  message: string
  ran: Ran
  /** Milliseconds after which to retry; absent for kinds without a retry delay. */
  retryAfterMs?: number
}

/** Used if there is no estimate. Limits the rate of retries at a full entry, at the cost of delaying requests that would be admitted. */
const DEFAULT_RETRY_AFTER_MS = 1000

/** Properties of an error that its kind does not determine. */
export interface ErrorDetails {
  ran?: Ran
  retryAfterMs?: number
}

/** Creates an error; its statement about executed work is limited to what the kind's row allows. */
export function createError(kind: ErrorKind, message: string, details: ErrorDetails = {}): RequestError {
  const response = ERROR_RESPONSES[kind]
  const requested = details.ran ?? response.ran[0]
  // An execution state that the kind does not allow becomes `unknown`, which guarantees nothing.
  const ran = response.ran.includes(requested) ? requested : Ran.Unknown
  if (!response.retryAfter)
    return { kind, message, ran }
  return { kind, message, ran, retryAfterMs: Math.max(1, Math.round(details.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS)) }
}
