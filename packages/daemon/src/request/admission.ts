/**
 * Admission at the entry: what is taken in and what is shed, early and with a
 * time to come back.
 */
import type { RequestError } from '@eidermast/common'
import { createError, ErrorKind } from '@eidermast/common'

/** What admission looks at. */
export interface AdmissionView {
  /** Requests in flight at this entry. */
  inFlight: number
  inFlightLimit: number
  /** Requests in flight of the same client account. */
  accountInFlight: number
  /** The account's part of the weights of accounts that have requests in flight, itself included. */
  accountShare: number
  deadlineMs: number
  /** Expected time of all stages, waits included; undefined where a stage has no backend server. */
  expectedMs: number | undefined
  /** Expected wait in queues. */
  expectedWaitMs: number
}

/** A way to admit requests. */
export interface AdmissionPolicy {
  /** Returns why a request is shed, or undefined where it is taken in. */
  decide: (view: AdmissionView) => RequestError | undefined
}

function refuseOverLimit(view: AdmissionView): RequestError | undefined {
  if (view.inFlight < view.inFlightLimit)
    return undefined
  return createError(ErrorKind.Overloaded, 'This entry has no room for another request; come back after the given time.', { retryAfterMs: view.expectedWaitMs })
}

/** The baseline: whatever fits into memory. */
export class AdmitAll implements AdmissionPolicy {
  decide(view: AdmissionView): RequestError | undefined {
    return refuseOverLimit(view)
  }
}

/** Part of the deadline that waits may take before accounts are held to their shares. */
const CONGESTED_PART = 0.3
/** An account may exceed its share by this factor before it is shed. */
const SHARE_SLACK = 1.25
/** Requests that an account may always have in flight. */
const SHARE_FLOOR = 4

/** Sheds what cannot meet its deadline and, when waits grow, what exceeds an account's share. */
export class DeadlineAdmission implements AdmissionPolicy {
  decide(view: AdmissionView): RequestError | undefined {
    const overLimit = refuseOverLimit(view)
    if (overLimit)
      return overLimit
    if (view.expectedMs === undefined)
      return createError(ErrorKind.NoBackend, 'No backend server takes work for one of the stages; come back after the given time.')
    if (view.expectedMs > view.deadlineMs) {
      return createError(ErrorKind.DeadlineUnreachable, 'The deadline cannot be met with the work at hand; come back after the given time or set a longer deadline.', { retryAfterMs: Math.max(view.expectedMs - view.deadlineMs, 1) })
    }
    if (this.exceedsShare(view))
      return createError(ErrorKind.AccountOverShare, 'The client account has more requests in flight than its share; come back after the given time.', { retryAfterMs: view.expectedWaitMs })
    return undefined
  }

  private exceedsShare(view: AdmissionView): boolean {
    const congested = view.expectedWaitMs > view.deadlineMs * CONGESTED_PART
    const fairPart = Math.max(SHARE_FLOOR, (view.inFlight + 1) * view.accountShare * SHARE_SLACK)
    return congested && view.accountInFlight + 1 > fairPart
  }
}
