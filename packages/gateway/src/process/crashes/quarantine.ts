/**
 * Decides whether a request is refused because requests with the same fingerprint
 * crashed the backend servers that ran them.
 *
 * Inputs: the crashes during such requests and the latest answer to one, as
 * reported by all gateways (epoch ms; at most a second old if the platform's
 * store answers), and the current time (epoch ms).
 * Rule: refused from MIN_QUARANTINE_CRASHES crashes on, of distinct incarnations
 * of backend servers, each within the last CRASH_RETENTION_MS. A crash does not
 * count if such a request was answered later, or less than ANSWER_CLEARS_MS
 * before.
 * Why: all requests that were running on a backend server when it crashed look
 * alike. The one that causes crashes is present in each of them; an unrelated
 * request is present at one crash, or at two by chance, and is answered in
 * between. Many requests may share a fingerprint (queries without a body): when a
 * failure domain with its backend servers goes down, several of them are in
 * flight there at once, and others like them were answered elsewhere just before.
 * Log events: `quarantine`, `quarantine-ended`, `request-ended` (`outcome`,
 * `reason`).
 */
import type { CrashReport } from './crash-report.js'

/**
 * Crashes for a quarantine. A request may be present at two crashes by chance,
 * and its client's retry must not be refused; each crash costs a backend server,
 * with all its requests, for some seconds.
 */
const MIN_QUARANTINE_CRASHES = 3
/**
 * Time for which a crash counts. A request that is retried forever costs three
 * backend servers an hour; after a fix of the backend server, the request is
 * accepted again within an hour.
 */
export const CRASH_RETENTION_MS = 3_600_000
/**
 * Longer than the duration of requests that may share a fingerprint, and than the
 * clock skew between VMs; shorter than an update of the backend servers, after
 * which a request that used to be answered may crash them.
 */
const ANSWER_CLEARS_MS = 10_000

/** What is known about requests with one fingerprint. */
export interface FingerprintHistory {
  /** One crash for each incarnation of a backend server. */
  crashes: readonly CrashReport[]
  /** When one was last answered, in epoch milliseconds; absent if none was. */
  answeredAt?: number
}

/** Whether an answer at the given time (epoch milliseconds) shows that such requests did not cause a crash. */
export function isClearedByAnswer({ at }: CrashReport, answeredAt: number | undefined): boolean {
  return answeredAt !== undefined && at <= answeredAt + ANSWER_CLEARS_MS
}

/** The crashes that count towards a quarantine. */
export function countedCrashes({ crashes, answeredAt }: FingerprintHistory, now: number): CrashReport[] {
  return crashes.filter(crash => !isClearedByAnswer(crash, answeredAt) && now - crash.at < CRASH_RETENTION_MS)
}

/** Whether such a request is refused. */
export function isQuarantined(history: FingerprintHistory, now: number): boolean {
  return countedCrashes(history, now).length >= MIN_QUARANTINE_CRASHES
}
