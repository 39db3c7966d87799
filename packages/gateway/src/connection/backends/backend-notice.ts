/**
 * What a backend server says in its answers of the requests that it takes.
 * Decoded by the platform's codec.
 */

/** What one answer says. */
export interface BackendNotice {
  /** Requests a second that it takes from all gateways together; absent where it names no limit. */
  limitPerSecond?: number
  /** It leaves, and takes no new work. */
  isLeaving?: boolean
  /** Milliseconds for which it wants nothing from this process; absent where it asks for no rest. */
  restMs?: number
}

/** Headers of an answer, with names in lower case. */
export type AnswerHeaders = Record<string, string | string[] | undefined>

/** Reads what the head of an answer says. */
export type ReadNotice = (status: number, headers: AnswerHeaders) => BackendNotice

/** The head of an answer, and the call that it answers. */
export interface AnswerHead {
  status: number
  headers: AnswerHeaders
  /** The call brought work: its answer says all that there is to say. */
  isWork: boolean
  /** Milliseconds of the process clock. */
  calledAt: number
}
