/**
 * How far the work on a request has come; written by the request path and read
 * where requests are ended before their answers.
 */

/** Progress of one request. */
export interface RequestProgress {
  /** When it has to be answered, on the monotonic clock in milliseconds; Infinity while not known. */
  deadlineAt: number
  /** Whether its stage work has begun, or it may have been sent to a backend server. */
  hasWorkBegun: boolean
}
