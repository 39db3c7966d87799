/**
 * Errors of calls to the platform, which state whether a call may have taken
 * effect. Defined in the lowest layer because both the log interface and the HTTP
 * calls in `connection/` use them.
 */

/** Whether a failed call may have taken effect at the remote end. */
export enum CallFailure {
  /** The call provably had no effect: a retry is safe. */
  NotTaken = 'not-taken',
  /** The call may have taken effect: verify before a retry. */
  InDoubt = 'in-doubt',
}

/** A failed call. */
export interface CallError {
  failure: CallFailure
  /** Cause of the failure in one line. */
  message: string
  /** HTTP status, if a response was received. */
  status?: number
}
