/**
 * Decides which requests an entry takes in and which it sheds at once, with a
 * time after which to retry.
 *
 * Inputs: this entry's requests in flight, all and of the account, as of now;
 * the account's part of the weights in flight; the deadline (ms); the expected
 * time of the stages and of their waits (ms, from the newest load reports): the
 * means over a stage's candidates, summed over the stages. The mean rather than
 * the best, because other entries choose among the same candidates.
 * Rule (`deadline`): sheds over the limit in flight, without a backend server
 * for a stage, and when the expected time exceeds the deadline. When waits
 * exceed CONGESTED_SHARE of the deadline, an account that has more in flight
 * than its share, with SHARE_SLACK and at least MIN_ACCOUNT_IN_FLIGHT, is shed.
 * Why: a request that will miss its deadline takes time from one that would not.
 * Shares bind only under congestion, so that a single busy account may use what
 * nobody else asks for.
 * Log events: `admit`, `shed`.
 */
import type { RequestError } from '@eidermast/common'
import type { RequestPlan } from './plan.js'
import type { LinkedBackends } from './stages/linked-backends.js'
import { createError, ErrorKind } from '@eidermast/common'
import { predictWaitMs } from './stages/choice.js'

/** What admission looks at. */
export interface AdmissionView {
  /** Requests in flight at this entry, of this kind of work. */
  inFlight: number
  /** Requests that may be in flight. */
  inFlightLimit: number
  /** Requests in flight of the same client account. */
  accountInFlight: number
  /** The account's part of the weights of accounts that have requests in flight, itself included. */
  accountShare: number
  /** Milliseconds from arrival. */
  deadlineMs: number
  /** Expected milliseconds of all stages, waits included; undefined where a stage has no backend server. */
  expectedMs: number | undefined
  /** Expected milliseconds of waits in queues. */
  expectedWaitMs: number
}

/** Estimates a plan with the load reports of now; the wait counts up to the first stage without a backend server. */
export function estimatePlan(plan: RequestPlan, backends: LinkedBackends): Pick<AdmissionView, 'expectedMs' | 'expectedWaitMs'> {
  let serviceMs = 0
  let waitMs = 0
  for (const stage of plan.stages) {
    const candidates = backends.candidates(stage)
    if (candidates.length === 0)
      return { expectedMs: undefined, expectedWaitMs: waitMs }
    waitMs += meanOf(candidates.map(candidate => predictWaitMs(candidate, plan.priority)))
    serviceMs += meanOf(candidates.map(candidate => candidate.load?.meanServiceMs ?? 0))
  }
  return { expectedMs: serviceMs + waitMs, expectedWaitMs: waitMs }
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

/** A way to admit requests. */
export interface AdmissionPolicy {
  /** Returns why a request is shed, or undefined where it is taken in. */
  decide: (view: AdmissionView) => RequestError | undefined
}

function refuseOverLimit(view: AdmissionView): RequestError | undefined {
  if (view.inFlight < view.inFlightLimit)
    return undefined
  const message = 'This entry has no room for another request; come back after the given time.'
  return createError(ErrorKind.Overloaded, message, { retryAfterMs: view.expectedWaitMs })
}

/** The baseline, for the setting `admission = all`: whatever fits into memory. */
export class AdmitAll implements AdmissionPolicy {
  decide(view: AdmissionView): RequestError | undefined {
    return refuseOverLimit(view)
  }
}

/** Share of the deadline that waits may take. Half binds shares before anybody is late, twice only after many are. */
const CONGESTED_SHARE = 0.3
/** Times its share that an account may have. Half sheds accounts within their share, twice lets one take all. */
const SHARE_SLACK = 1.25
/** Requests. Half sheds small accounts for two requests at once, twice favours many small accounts. */
const MIN_ACCOUNT_IN_FLIGHT = 4

/** Sheds what cannot meet its deadline and, when waits grow, what exceeds an account's share. */
export class DeadlineAdmission implements AdmissionPolicy {
  decide(view: AdmissionView): RequestError | undefined {
    const overLimit = refuseOverLimit(view)
    if (overLimit)
      return overLimit
    if (view.expectedMs === undefined)
      return createError(ErrorKind.NoBackend, 'No backend server takes work for one of the stages; come back after the given time.')
    if (view.expectedMs > view.deadlineMs) {
      const message = 'The deadline cannot be met with the work at hand; come back after the given time or set a longer deadline.'
      return createError(ErrorKind.DeadlineUnreachable, message, { retryAfterMs: Math.max(view.expectedMs - view.deadlineMs, 1) })
    }
    if (!exceedsShare(view))
      return undefined
    const message = 'The client account has more requests in flight than its share; come back after the given time.'
    return createError(ErrorKind.AccountOverShare, message, { retryAfterMs: view.expectedWaitMs })
  }
}

function exceedsShare(view: AdmissionView): boolean {
  const congested = view.expectedWaitMs > view.deadlineMs * CONGESTED_SHARE
  const fairInFlight = Math.max(MIN_ACCOUNT_IN_FLIGHT, (view.inFlight + 1) * view.accountShare * SHARE_SLACK)
  return congested && view.accountInFlight + 1 > fairInFlight
}
