/**
 * What gateways tell each other of requests and the ends of backend servers.
 * Times are milliseconds since the epoch: reports outlive processes, and no
 * steady clock means anything to another VM or counts the time for which a VM
 * was suspended. VMs' clocks differ by less than the spans that are compared
 * with them (minutes).
 */

/** A backend server ended while a request ran there. */
export interface CrashReport {
  fingerprint: string
  /** The one life of the backend server that ended (`Backend.life`). */
  backend: string
  at: number
  /** Name of the gateway that saw it. */
  gateway: string
}

/** A request was answered by a backend server, though some had ended under it. */
export interface AnswerReport {
  fingerprint: string
  at: number
}

/** Reports in no order. */
export interface CrashReports {
  crashes: readonly CrashReport[]
  answers: readonly AnswerReport[]
}

/** Nothing to report. */
export const NO_REPORTS: CrashReports = { crashes: [], answers: [] }

/** Whether there is nothing to report. */
export function isEmptyReport({ crashes, answers }: CrashReports): boolean {
  return crashes.length === 0 && answers.length === 0
}
