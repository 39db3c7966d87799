/**
 * Decides which requests an entry admits and which it sheds immediately, with a
 * delay after which to retry.
 *
 * Inputs: the number of requests in flight at this entry, in total and of the
 * account; the account's fraction of the weights of active accounts; the time
 * left (ms); the expected service and queueing time (ms, from the latest load reports),
 * which is averaged over the candidates of each stage and summed over the stages.
 * The mean is used rather than the minimum because other entries send calls to the
 * same candidates.
 *
 * The `deadline` policy sheds a request if the limit on requests in flight is
 * reached, if a stage has no backend server, or if the expected time exceeds the
 * deadline: a request that will miss its deadline takes capacity from one that
 * would not. If the expected queueing time exceeds CONGESTION_THRESHOLD of the
 * deadline, it also sheds requests of accounts that exceed their fair share, which
 * is scaled by SHARE_TOLERANCE and at least MIN_ACCOUNT_IN_FLIGHT. Shares are only
 * enforced under congestion, so that a single busy account can use otherwise idle
 * capacity.
 *
 * Log events: `admit`, `shed`.
 */
import type { RequestError } from '@eidermast/common'
import type { RequestPlan } from './plan.js'
import type { LinkedBackends } from './stages/linked-backends.js'
import { createError, ErrorKind } from '@eidermast/common'
import { predictWaitMs } from './stages/choice.js'

/** Inputs of an admission decision. */
export interface AdmissionInput {
  /** Requests in flight at this entry for this kind of work. */
  inFlight: number
  /** Maximum number of requests in flight. */
  inFlightLimit: number
  /** Requests in flight of the same client account. */
  accountInFlight: number
  /** The account's fraction of the total weight of active accounts, including itself. */
  accountShare: number
  /** Milliseconds left; negative for a request that was read after its deadline. */
  deadlineMs: number
  /** Expected duration of all stages including queueing; undefined if a stage has no backend server. */
  expectedMs: number | undefined
  /** Expected queueing time of all stages. */
  expectedWaitMs: number
}

/** Estimates the duration of a plan from the latest load reports. The queueing time covers the stages before the first one without a backend server. */
export function estimateDuration(plan: RequestPlan, backends: LinkedBackends): Pick<AdmissionInput, 'expectedMs' | 'expectedWaitMs'> {
  let serviceMs = 0
  let waitMs = 0
  for (const stage of plan.stages) {
    const candidates = backends.candidates(stage)
    if (candidates.length === 0)
      return { expectedMs: undefined, expectedWaitMs: waitMs }
    waitMs += mean(candidates.map(candidate => predictWaitMs(candidate, plan.priority)))
    serviceMs += mean(candidates.map(candidate => candidate.load?.meanServiceMs ?? 0))
  }
  return { expectedMs: serviceMs + waitMs, expectedWaitMs: waitMs }
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

/** Admission policy. */
export interface AdmissionPolicy {
  /** Returns the error with which a request is shed, or undefined if it is admitted. */
  decide: (input: AdmissionInput) => RequestError | undefined
}

function checkInFlightLimit(input: AdmissionInput): RequestError | undefined {
  if (input.inFlight < input.inFlightLimit)
    return undefined
  const message = 'This entry has reached its limit of requests in flight; retry after the indicated delay.'
  return createError(ErrorKind.Overloaded, message, { retryAfterMs: input.expectedWaitMs })
}

/** Admits everything up to the limit of requests in flight (setting `admission = all`), a baseline for comparison. */
export class AdmitAll implements AdmissionPolicy {
  decide(input: AdmissionInput): RequestError | undefined {
    return checkInFlightLimit(input)
  }
}

/**
 * Fraction of the deadline spent queueing above which shares are enforced: high enough not to
 * enforce them while all requests finish in time, low enough to act before many are late.
 */
const CONGESTION_THRESHOLD = 0.3
/** Tolerance factor for shares. Must exceed 1 so that accounts within their share are not shed; bounds how far one account can exceed it. */
const SHARE_TOLERANCE = 1.25
/** Lets an account with a small share send a few concurrent requests; many small accounts can together exceed their shares. */
const MIN_ACCOUNT_IN_FLIGHT = 4

/** Sheds requests that cannot meet their deadline and, under congestion, requests of accounts that exceed their share. */
export class DeadlineAdmission implements AdmissionPolicy {
  decide(input: AdmissionInput): RequestError | undefined {
    const overLimit = checkInFlightLimit(input)
    if (overLimit)
      return overLimit
    if (input.expectedMs === undefined)
      return createError(ErrorKind.NoBackend, 'No backend server is available for one of the stages; retry after the indicated delay.')
    if (input.expectedMs > input.deadlineMs) {
      const message = 'The deadline cannot be met at the current load; retry after the indicated delay or set a longer deadline.'
      return createError(ErrorKind.DeadlineUnreachable, message, { retryAfterMs: Math.max(input.expectedMs - input.deadlineMs, 1) })
    }
    if (!exceedsShare(input))
      return undefined
    const message = 'The client account has more requests in flight than its share; retry after the indicated delay.'
    return createError(ErrorKind.AccountOverShare, message, { retryAfterMs: input.expectedWaitMs })
  }
}

function exceedsShare(input: AdmissionInput): boolean {
  const congested = input.expectedWaitMs > input.deadlineMs * CONGESTION_THRESHOLD
  const allowedInFlight = Math.max(MIN_ACCOUNT_IN_FLIGHT, (input.inFlight + 1) * input.accountShare * SHARE_TOLERANCE)
  return congested && input.accountInFlight + 1 > allowedInFlight
}
