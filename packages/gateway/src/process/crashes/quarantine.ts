/**
 * Decides whether a request is refused because requests with the same
 * fingerprint ended the backend servers that ran them.
 *
 * Inputs: the ends of backend servers under such requests and the newest answer
 * to one, as all gateways reported them (epoch ms; at most a second old where
 * the platform's store answers), and the time now (epoch ms).
 * Rule: refused from MAX_CRASHES ends on, of different lives of backend
 * servers, each at most REMEMBER_MS ago. An end does not count if such a request
 * was answered later, or less than ANSWER_COVERS_MS before.
 * Why: everything that ran on a backend server when it ended looks alike. The
 * cause is on every one that ends; a request beside it meets one such end, two
 * by bad luck, and is answered in between. Many requests may share a fingerprint
 * (look-ups without a body): when a failure domain ends with its backend
 * servers, several of them are under way there at once, and others like them
 * have just been answered elsewhere.
 * Log events: `quarantine`, `quarantine-ended`, `request-ended` (`outcome`, `reason`).
 */
import type { CrashReport } from './crash-report.js'

/**
 * Ends of backend servers. One less would refuse a client's retry of a request
 * that was beside a crash twice; each one more costs a backend server for some
 * seconds, with all that runs there.
 */
const MAX_CRASHES = 3
/**
 * Milliseconds for which an end counts. A request that is sent for ever costs
 * three backend servers an hour; a backend server that was mended takes it
 * again after an hour at the latest.
 */
export const REMEMBER_MS = 3_600_000
/**
 * Milliseconds. Longer than requests run that may share a fingerprint, and than
 * clocks of VMs differ; shorter than an update of backend servers takes, by
 * which an answered request may become one that ends them.
 */
const ANSWER_COVERS_MS = 10_000

/** What is known of requests with one fingerprint. */
export interface CrashFacts {
  /** Ends of backend servers, one for each life. */
  crashes: readonly CrashReport[]
  /** When one was answered last, in epoch milliseconds; absent where none was. */
  answeredAt?: number
}

/** Whether an answer, at some epoch milliseconds, shows that such requests did not cause an end. */
export function isCovered({ at }: CrashReport, answeredAt: number | undefined): boolean {
  return answeredAt !== undefined && at <= answeredAt + ANSWER_COVERS_MS
}

/** The ends that count. */
export function countedCrashes({ crashes, answeredAt }: CrashFacts, now: number): CrashReport[] {
  return crashes.filter(crash => !isCovered(crash, answeredAt) && now - crash.at < REMEMBER_MS)
}

/** Whether such a request is refused. */
export function isQuarantined(facts: CrashFacts, now: number): boolean {
  return countedCrashes(facts, now).length >= MAX_CRASHES
}
