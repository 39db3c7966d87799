/**
 * One stage of a request at the entry that runs it, and what the entry knows
 * about work that has run. Both exist for the lifetime of the request.
 */
import type { StageReport } from '../../connection/answer.js'
import type { LinkTokenListener } from '../../connection/link-call.js'
import type { DoneReply } from '../../connection/messages.js'
import type { Priority } from '../../version/objects.js'
import type { PlannedStage } from '../plan.js'
import { Ran } from '@eidermast/common'

/** What the entry knows about the work of a request that has run. */
export interface RequestProgress {
  /** A stage has definitely started. */
  started: boolean
  /** A call that ended without a reply may have started. */
  inDoubt: boolean
  /** A call is in progress. */
  pending: boolean
}

/** Returns what an answer may claim about work that ran. */
export function describeProgress(progress: RequestProgress): Ran {
  if (progress.started)
    return Ran.Part
  return progress.inDoubt || progress.pending ? Ran.Unknown : Ran.None
}

/** One stage of a request. */
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
  /** Returns the milliseconds left for this stage. */
  budgetMs: () => number
  /** Aborted when the request ends for any reason. */
  signal: AbortSignal
  /** Set if the tokens of the stage are streamed to the caller. */
  onToken?: LinkTokenListener
}

/** Whether the request has ended or the stage has no time left, so that it must not be called again. */
export function hasEnded(task: StageTask): boolean {
  return task.signal.aborted || task.budgetMs() <= 0
}

/** Result of a successful stage. */
export interface StageSuccess {
  reply: DoneReply
  report: StageReport
}
