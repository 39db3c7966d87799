/**
 * Reports that gateways exchange about requests and backend server crashes. Times
 * are epoch milliseconds, because reports outlive processes, and a monotonic
 * clock is neither comparable between VMs nor counts time in suspension. The
 * clock skew between VMs is small compared with the time spans involved
 * (minutes).
 */

/** A backend server crashed while running a request. */
export interface CrashReport {
  fingerprint: string
  /** The incarnation of the backend server that crashed (`Backend.incarnation`). */
  backend: string
  at: number
  /** Name of the gateway that observed the crash. */
  gateway: string
}

/** A request was answered by a backend server, after others had crashed while running it. */
export interface AnswerReport {
  fingerprint: string
  at: number
}

/** Reports in no particular order. */
export interface CrashReports {
  crashes: readonly CrashReport[]
  answers: readonly AnswerReport[]
}

export const NO_REPORTS: CrashReports = { crashes: [], answers: [] }

export function isEmptyReport({ crashes, answers }: CrashReports): boolean {
  return crashes.length === 0 && answers.length === 0
}
