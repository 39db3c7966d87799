/**
 * Carries out one call of a stage on one backend server: sends it, stops it
 * when the request is over, and checks that the reply is for this very call.
 *
 * Also decides how long a lost reply of an unrepeatable call is asked for
 * again: while the same process life of the side may still be there and the
 * request has time. Asking again is safe because that process life joins or
 * replays the call by its identity; another one would run it a second time.
 *
 * State: none beyond the call. When this process dies, the side finishes the
 * call and keeps its result for whoever asks by the request's id.
 */
import type { LinkResult } from '../../connection/link-call.js'
import type { StageCall } from '../../connection/messages.js'
import type { LinkedBackend } from './linked-backends.js'
import type { StageTask } from './stage-task.js'
import { wait } from '@eidermast/common'
import { LinkOutcome } from '../../connection/link-call.js'
import { answersCall } from '../../connection/messages.js'
import { isOtherIncarnation } from './call-end.js'
import { isOver } from './stage-task.js'

/** One call of a stage. */
export interface StageAttempt {
  backend: LinkedBackend
  call: StageCall
  /** Number of the call within its stage, from 1. */
  number: number
  /** Milliseconds of the process clock. */
  startedAt: number
}

/**
 * Milliseconds before a lost reply is asked for again. Half asks a restarting
 * side twice as often, twice adds up to 50 ms to a mended call.
 */
const ASK_AGAIN_MS = 50

/** Sends a call and keeps account of what may have run. */
export async function sendAttempt(task: StageTask, attempt: StageAttempt): Promise<LinkResult> {
  task.progress.pending = true
  const result = task.unrepeatable ? await sendUntilKnown(task, attempt) : await sendOnce(task, attempt)
  task.progress.pending = false
  if (result.outcome === LinkOutcome.Lost)
    task.progress.inDoubt = true
  return result
}

/** After a lost reply, asks the same process life again. */
async function sendUntilKnown(task: StageTask, attempt: StageAttempt): Promise<LinkResult> {
  let result = await sendOnce(task, attempt)
  if (result.outcome !== LinkOutcome.Lost)
    return result
  for (;;) {
    await wait(ASK_AGAIN_MS, task.signal)
    const { incarnation } = attempt.backend.link
    if (isOver(task) || incarnation !== attempt.call.identity.sideIncarnation)
      return lost('the reply was lost')
    attempt.call.budgetMs = task.budgetMs()
    result = await sendOnce(task, attempt)
    if (result.outcome === LinkOutcome.Replied)
      return isOtherIncarnation(result) ? lost('the side is another process life') : result
  }
}

/** Sends one call and stops it when the request is over. */
async function sendOnce(task: StageTask, attempt: StageAttempt): Promise<LinkResult> {
  const { link } = attempt.backend
  let onAbort!: () => void
  const cancelled = new Promise<LinkResult>((resolve) => {
    onAbort = () => {
      void link.cancel(attempt.call)
      resolve(lost('the request is over'))
    }
  })
  task.signal.addEventListener('abort', onAbort)
  const result = await Promise.race([link.call(attempt.call, task.onToken), cancelled])
  task.signal.removeEventListener('abort', onAbort)
  return answersAnother(attempt.call, result) ? lost('the reply was for another call') : result
}

function answersAnother(call: StageCall, result: LinkResult): boolean {
  if (result.outcome !== LinkOutcome.Replied || isOtherIncarnation(result))
    return false
  return !answersCall(call.identity, result.reply.identity)
}

function lost(message: string): LinkResult {
  return { outcome: LinkOutcome.Lost, message }
}
