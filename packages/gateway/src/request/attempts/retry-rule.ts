/**
 * Decides whether a request that a backend server didn't answer is sent to
 * another one.
 *
 * Inputs: how the attempts so far ended, the route's flags and its limit of
 * runs, time left (ms, read at the decision), whether a backend server is left
 * that wasn't tried.
 * Rule: a request that provably did not run is sent again. One that ran, or may
 * have, is sent again only where the route allows that, and to no more backend
 * servers than the route says. Both need time for an answer and, if the call
 * reached a backend server or was abandoned while it waited for one, a retry
 * from the budget (retry-budget.ts).
 * Why: a request that runs twice without leave is a wrong answer, which is worse
 * than none. A call that reached nobody costs the pool nothing, so it is free;
 * every other retry adds load where calls fail already.
 * Log events: `call-failed` for each attempt, `request-ended` (`retry`) for the
 * decision that ended the attempts.
 */
import type { CallFailure } from '../../connection/backends/backend-client.js'
import type { Route } from '../../version/configuration.js'
import { CallFailureKind } from '../../connection/backends/backend-client.js'

/**
 * Milliseconds; the least time worth an attempt. Half would send calls that
 * can't be answered in time, twice would refuse some that can.
 */
const MIN_USEFUL_MS = 30
/**
 * Attempts of one request, those included that did not run. Half would end
 * requests while a pool is being replaced, twice would queue for long in a full
 * pool.
 */
const MAX_ATTEMPTS = 6

/** Failures of calls that reached no backend server. */
const FREE_TO_RETRY: ReadonlySet<CallFailureKind> = new Set([CallFailureKind.NotSent, CallFailureKind.Leaving, CallFailureKind.Withheld])

/** How one attempt ended. */
export enum AttemptEnd {
  Answered = 'answered',
  /** It provably did not run there. */
  NotRun = 'not-run',
  /** It was sent, and nothing shows whether it ran. */
  MayHaveRun = 'may-have-run',
  /** The backend server ran it and answered with a failure of its own. */
  ServerError = 'server-error',
}

/** The attempts of a request so far. */
export interface AttemptHistory {
  attempts: number
  /** Attempts that ran, or may have. */
  runs: number
  /** How the last one ended; absent before the first. */
  lastEnd?: AttemptEnd
  /** Whether a byte of the last one reached a backend server. */
  reachedBackend: boolean
}

/** Whether there is another attempt, and if not, why. */
export enum RetryDecision {
  Proceed = 'proceed',
  /** It ran or may have, and the route doesn't allow a second run. */
  NotRepeatable = 'not-repeatable',
  /** It ran, or may have, as often as the route allows. */
  RunsUsed = 'runs-used',
  AttemptsUsed = 'attempts-used',
  /** The client left. */
  Cancelled = 'cancelled',
  NoBackend = 'no-backend',
  NoTime = 'no-time',
  /** The service's retries are used up. */
  BudgetUsed = 'budget-used',
  /** Requests like it end the backend servers that run them. */
  Quarantined = 'quarantined',
  /** Its stage results are gone and couldn't be made again. */
  InputsGone = 'inputs-gone',
}

/** How an attempt ended that brought no answer. */
export function endOfFailure(failure: CallFailure): AttemptEnd {
  const mayHaveRun = failure.kind === CallFailureKind.Broken || failure.kind === CallFailureKind.Aborted
  return mayHaveRun ? AttemptEnd.MayHaveRun : AttemptEnd.NotRun
}

/** Whether a call cost its backend server nothing, so that another one needs no retry from the budget. */
export function isFreeToRetry(failure: CallFailure): boolean {
  return FREE_TO_RETRY.has(failure.kind)
}

/** Whether the request may run once more if the attempt that begins now brings no answer. */
export function mayRunAfterNext(history: AttemptHistory, route: Route): boolean {
  return !route.streaming && route.repeatable && history.runs + 1 < route.maxAttempts
}

/** Decides after an attempt without an answer whether another one is safe. */
export function decideAfterAttempt(history: AttemptHistory, route: Route, cancelled: boolean): RetryDecision {
  if (cancelled)
    return RetryDecision.Cancelled
  const repeatable = route.streaming ? route.resumable : route.repeatable
  if (history.lastEnd !== AttemptEnd.NotRun && !repeatable)
    return RetryDecision.NotRepeatable
  if (history.lastEnd !== AttemptEnd.NotRun && history.runs >= route.maxAttempts)
    return RetryDecision.RunsUsed
  return history.attempts >= MAX_ATTEMPTS ? RetryDecision.AttemptsUsed : RetryDecision.Proceed
}

/** What the decision before an attempt follows from. */
export interface NextAttemptInputs {
  history: AttemptHistory
  /** Whether a backend server is left that wasn't tried. */
  hasBackend: boolean
  /** Milliseconds until the request's deadline. */
  remainingMs: number
}

/** Decides before an attempt whether it can bring an answer; the first one is always made. */
export function decideBeforeAttempt({ history, hasBackend, remainingMs }: NextAttemptInputs): RetryDecision {
  if (!hasBackend)
    return RetryDecision.NoBackend
  if (history.attempts > 0 && remainingMs < MIN_USEFUL_MS)
    return RetryDecision.NoTime
  return RetryDecision.Proceed
}

/** Whether the next attempt is a retry that the budget counts. */
export function needsBudget(history: AttemptHistory): boolean {
  return history.attempts > 0 && history.reachedBackend
}
