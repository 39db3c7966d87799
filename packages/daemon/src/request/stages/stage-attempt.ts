/**
 * Performs one call of a stage on one backend server: sends it, cancels it when
 * the request ends, and verifies that the reply belongs to this call.
 *
 * If the reply to an unrepeatable call is lost, the call is resent while the
 * link still refers to the same process incarnation of the side and the request
 * has time left. Resending is safe because that incarnation deduplicates calls
 * by identity and returns the original reply; another incarnation would run the
 * call a second time.
 *
 * State: none beyond the call. If this process dies, the side finishes the call
 * and keeps the result, which can be looked up by request id.
 */
import type { LinkResult } from '../../connection/link-call.js'
import type { StageCall } from '../../connection/messages.js'
import type { LinkedBackend } from './linked-backends.js'
import type { StageTask } from './stage-task.js'
import { wait } from '@eidermast/common'
import { LinkOutcome } from '../../connection/link-call.js'
import { matchesCall } from '../../connection/messages.js'
import { isOtherIncarnation } from './call-result.js'
import { hasEnded } from './stage-task.js'

/** One call of a stage. */
export interface StageAttempt {
  backend: LinkedBackend
  call: StageCall
  /** Attempt number within the stage, starting at 1. */
  number: number
  /** Monotonic time in milliseconds. */
  startedAt: number
}

/**
 * Delay before a call whose reply was lost is sent again. Limits the calls to a side that is
 * restarting, at the cost of up to 50 ms for a call that recovers.
 */
const RESEND_DELAY_MS = 50

/** Sends a call and records in the request's progress what may have run. */
export async function sendAttempt(task: StageTask, attempt: StageAttempt): Promise<LinkResult> {
  task.progress.pending = true
  const result = task.unrepeatable ? await sendWithResend(task, attempt) : await sendOnce(task, attempt)
  task.progress.pending = false
  if (result.outcome === LinkOutcome.Lost)
    task.progress.inDoubt = true
  return result
}

/** Sends a call and resends it to the same process incarnation while its reply is lost. */
async function sendWithResend(task: StageTask, attempt: StageAttempt): Promise<LinkResult> {
  let result = await sendOnce(task, attempt)
  if (result.outcome !== LinkOutcome.Lost)
    return result
  for (;;) {
    await wait(RESEND_DELAY_MS, task.signal)
    const { incarnation } = attempt.backend.link
    if (hasEnded(task) || incarnation !== attempt.call.identity.sideIncarnation)
      return createLostResult('the reply was lost and the call cannot be sent again')
    attempt.call.budgetMs = task.budgetMs()
    result = await sendOnce(task, attempt)
    if (result.outcome === LinkOutcome.Replied)
      return isOtherIncarnation(result) ? createLostResult('the call reached another process incarnation of the side') : result
  }
}

/** Sends a call once and cancels it when the request ends. */
async function sendOnce(task: StageTask, attempt: StageAttempt): Promise<LinkResult> {
  const { link } = attempt.backend
  let onAbort!: () => void
  const cancelled = new Promise<LinkResult>((resolve) => {
    onAbort = () => {
      void link.cancel(attempt.call)
      resolve(createLostResult('the request ended before the reply arrived'))
    }
  })
  task.signal.addEventListener('abort', onAbort)
  const result = await Promise.race([link.call(attempt.call, task.onToken), cancelled])
  task.signal.removeEventListener('abort', onAbort)
  return isReplyToOtherCall(attempt.call, result) ? createLostResult('the reply belongs to another call') : result
}

function isReplyToOtherCall(call: StageCall, result: LinkResult): boolean {
  if (result.outcome !== LinkOutcome.Replied || isOtherIncarnation(result))
    return false
  return !matchesCall(call.identity, result.reply.identity)
}

function createLostResult(message: string): LinkResult {
  return { outcome: LinkOutcome.Lost, message }
}
