/**
 * Decides whether the items of a request share their call with those of other
 * requests, and whether they are sent at all.
 *
 * Inputs: ends of backend servers that count against requests like it, and
 * whether such requests are refused (`process/crashes/quarantine.ts`), as of now.
 * Rule: after two ends the items travel alone; where the request is refused
 * they are not sent.
 * Why: an item that ends its backend server takes the whole call with it. The
 * items of all its requests are sent again, and would meet in the next call. Two
 * ends under the same request are seldom chance, and a call for the items of
 * one request costs the others its fixed time; after one end alone, which comes
 * with any crash, all requests of a call would pay that.
 * Log event: `stage-call` (`requests`), `stages-ended`.
 */
import type { StageTask } from '../../../request/stages/stage-task.js'
import type { StageCrashWatch } from './pool-dependencies.js'

/** Ends of backend servers after which items travel alone; one less than lead to a refusal. */
const ISOLATION_CRASH_COUNT = 2

/** Whether no other request may be in the call of a task. */
export function isIsolated({ fingerprint }: StageTask, crashes: StageCrashWatch): boolean {
  return fingerprint !== undefined && crashes.crashCount(fingerprint) >= ISOLATION_CRASH_COUNT
}

/** Whether a task is not sent. */
export function isQuarantined({ fingerprint }: StageTask, crashes: StageCrashWatch): boolean {
  return fingerprint !== undefined && crashes.refusal(fingerprint) !== undefined
}
