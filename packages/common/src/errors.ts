/**
 * Decides how a failed request is answered: its HTTP status, what may be said
 * of work that ran, and whether the answer carries a time after which to retry.
 *
 * Inputs: the error's kind; what its finder knows of work that ran; the time in
 * ms after which a retry is worthwhile, where the finder has an estimate.
 * Rule: one table row a kind. A claim about work that the row does not permit
 * becomes `unknown`; a kind without `retryAfter` carries no time.
 * Why: `none` allows a caller to send an unrepeatable request again, so a kind
 * that is raised after work may have started must not be able to say it by
 * mistake.
 * Log events: the kind and `ran` stand in `answer` (daemon) and in the
 * gateway's line for each answered request.
 */

/** What of a request ran. `None` is a promise. */
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
  /** Requests like it ended the backend servers that ran them. */
  Quarantined = 'quarantined',
  NotReady = 'not-ready',
  Stopping = 'stopping',
  LogUnavailable = 'log-unavailable',
  DeadlineExceeded = 'deadline-exceeded',
  StageFailed = 'stage-failed',
  OutcomeUnknown = 'outcome-unknown',
  Cancelled = 'cancelled',
  Internal = 'internal',
}

/** How an error kind is answered. */
export interface ErrorAnswer {
  status: number
  /** What may be said of work done with this kind. */
  ran: readonly Ran[]
  /** Whether the answer carries a time after which to retry. */
  retryAfter: boolean
}

const NONE = [Ran.None] as const
const STARTED = [Ran.Part, Ran.Unknown] as const
const ANY = [Ran.None, Ran.Part, Ran.Unknown] as const

/** The one table from error kind to answer. */
export const ERROR_ANSWERS: Readonly<Record<ErrorKind, ErrorAnswer>> = {
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
  // It would end the next one too: no time to come back is given.
  [ErrorKind.Quarantined]: { status: 503, ran: NONE, retryAfter: false },
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
  /** A sentence that says what to do. */
  message: string
  ran: Ran
  /** Milliseconds after which to retry; kinds without one carry none. */
  retryAfterMs?: number
}

/** Milliseconds, where no estimate is known. Half doubles the retries at a full entry, twice delays what would fit. */
const DEFAULT_RETRY_AFTER_MS = 1000

/** Parts of an error that its kind does not fix. */
export interface ErrorDetails {
  ran?: Ran
  retryAfterMs?: number
}

/** Creates an error; what it says of work done is held to its kind's row. */
export function createError(kind: ErrorKind, message: string, details: ErrorDetails = {}): RequestError {
  const answer = ERROR_ANSWERS[kind]
  const wanted = details.ran ?? answer.ran[0]
  // A kind that cannot say what was found says what promises nothing.
  const ran = answer.ran.includes(wanted) ? wanted : Ran.Unknown
  if (!answer.retryAfter)
    return { kind, message, ran }
  return { kind, message, ran, retryAfterMs: Math.max(1, Math.round(details.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS)) }
}
