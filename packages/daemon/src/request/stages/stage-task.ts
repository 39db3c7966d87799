/**
 * One stage of one request, as the entry that runs the request sees it, and
 * what that entry knows of work that has run. Both live as long as the request.
 */
import type { StageReport } from '../../connection/answer.js'
import type { LinkTokenListener } from '../../connection/link-call.js'
import type { DoneReply } from '../../connection/messages.js'
import type { Priority } from '../../version/objects.js'
import type { PlannedStage } from '../plan.js'
import { Ran } from '@eidermast/common'

/** What of a request has run, as far as its entry knows. */
export interface RequestProgress {
  /** A stage has provably started. */
  started: boolean
  /** A call that ended without a reply may have started. */
  inDoubt: boolean
  /** A call is under way. */
  pending: boolean
}

/** What an answer may say of work that ran. */
export function describeProgress(progress: RequestProgress): Ran {
  if (progress.started)
    return Ran.Part
  return progress.inDoubt || progress.pending ? Ran.Unknown : Ran.None
}

/** One stage of one request. */
export interface StageTask {
  account: string
  requestId: string
  stage: PlannedStage
  input: string
  priority: Priority
  /** Requests with the same key are likely to share a prompt prefix. */
  prefixKey: string
  unrepeatable: boolean
  /** Shared by all stages of the request. */
  progress: RequestProgress
  /** Time left for this stage, in milliseconds, at the moment of the call. */
  budgetMs: () => number
  /** Aborts when the request is over for whatever reason. */
  signal: AbortSignal
  /** Set where the stage's tokens go to the caller as they come. */
  onToken?: LinkTokenListener
}

/** Whether a stage must not be called again: its request has ended or its time is used up. */
export function isOver(task: StageTask): boolean {
  return task.signal.aborted || task.budgetMs() <= 0
}

/** The result of a stage. */
export interface StageSuccess {
  reply: DoneReply
  report: StageReport
}
