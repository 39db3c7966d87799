/**
 * Flow-control notices that backend servers send in the headers of their
 * responses. Decoded by the platform's codec.
 */

/** The notice in one response. */
export interface BackendNotice {
  /** Rate limit in requests per second for all gateways together; undefined if the response names none. */
  limitPerSecond?: number
  /** The backend server is leaving and accepts no new work. */
  isLeaving?: boolean
  /** Time in milliseconds during which this process should send no requests; undefined if no backoff is requested. */
  backoffMs?: number
}

/** Response headers, with names in lower case. */
export type ResponseHeaders = Record<string, string | string[] | undefined>

/** Reads the notice from the head of a response. */
export type ReadNotice = (status: number, headers: ResponseHeaders) => BackendNotice

/** The head of a response, and the call that it belongs to. */
export interface ResponseHead {
  status: number
  headers: ResponseHeaders
  /** Whether the call was a request or a stage call, whose response states all limits in force; a probe's may omit them. */
  isWork: boolean
  /** When the call was made, in milliseconds of the monotonic clock. */
  calledAt: number
}
