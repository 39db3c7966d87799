/**
 * Decides whether the items of a request share calls with those of other
 * requests, and whether they are sent at all.
 *
 * Inputs: crashes of backend servers attributed to requests with the same
 * fingerprint, and whether such requests, or those with the same prompt parts, are
 * quarantined (`process/crashes/crash-cause.ts`), current.
 * Rule: after ISOLATION_CRASH_COUNT crashes the items get a call of their own;
 * items of a quarantined request are not sent.
 * Why: an item that crashes its backend server takes the whole call with it. The
 * items of all requests in the call are sent again and would meet in the next
 * one. Two crashes with the same request are rarely a coincidence, and a call of
 * its own costs other requests the fixed time of a call; isolating after a
 * single crash would charge that to every request of the crashed call.
 * Log event: `stage-call` (`requests`), `stages-ended`.
 */
import type { StageTask } from '../../../request/stages/stage-task.js'
import type { StageCrashMonitor } from './pool-dependencies.js'

/** Crashes after which items are isolated; one less than the number that leads to quarantine. */
const ISOLATION_CRASH_COUNT = 2

/** Whether the items of a task must not share a call with other requests. */
export function isIsolated({ fingerprint }: StageTask, crashes: StageCrashMonitor): boolean {
  return fingerprint !== undefined && crashes.crashCount(fingerprint) >= ISOLATION_CRASH_COUNT
}

/** Whether the items of a task must not be sent. */
export function isQuarantined({ fingerprint, partFingerprints }: StageTask, crashes: StageCrashMonitor): boolean {
  return fingerprint !== undefined && crashes.refusal([fingerprint, ...partFingerprints]) !== undefined
}
