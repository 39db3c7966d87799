/**
 * How a call to the platform fails, for everything that has to know whether
 * the call may have taken effect. It stands on the lowest floor because the
 * interface of the log uses it as well as the HTTP calls in `connection/`.
 */

/** Whether a failed call may have taken effect at the far end. */
export enum CallFailure {
  /** The far end has provably not acted: the call may be made again. */
  NotTaken = 'not-taken',
  /** The far end may have acted: look before the call is made again. */
  InDoubt = 'in-doubt',
}

/** A failed call. */
export interface CallError {
  failure: CallFailure
  /** The cause in one line, with the address that was called. */
  message: string
  /** HTTP status, where one was received. */
  status?: number
}
