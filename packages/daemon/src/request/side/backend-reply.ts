/**
 * Decides what a side replies for each end of a call at its backend server.
 *
 * Inputs: the end that the connection reports; whether the call was cancelled.
 * Rule: only an end at which the backend server provably did not start is a
 * refusal; a lost connection, a failure and a cut stream count as started.
 * Why: an entry may call again elsewhere after a refusal, also for an
 * unrepeatable request.
 * Log events at the entry: `done`, `failed` (field `cause`).
 */
import type { BackendResult } from '../../connection/backend-client.js'
import type { StageReply } from '../../connection/messages.js'
import { BackendOutcome } from '../../connection/backend-client.js'
import { FailureReason, RefusalReason, StageReplyKind } from '../../connection/messages.js'

/** What every reply of a side carries. */
export type ReplyBase = Pick<StageReply, 'identity' | 'offset' | 'load'>

/** A call that the backend server has ended. */
export interface EndedCall {
  result: BackendResult
  cancelled: boolean
  /** Milliseconds in the queue and at the backend server. */
  queueMs: number
  serviceMs: number
  /** Milliseconds after which an entry may call again, where the reply is a refusal. */
  retryAfterMs: number
}

/** The reply for an ended call. */
export function createBackendReply(base: ReplyBase, ended: EndedCall): StageReply {
  const { result, queueMs, serviceMs, retryAfterMs } = ended
  if (result.outcome === BackendOutcome.Done) {
    const { output, status, contentType, tokens } = result
    return { ...base, kind: StageReplyKind.Done, output, status, contentType, tokens, queueMs, serviceMs }
  }
  if (result.outcome === BackendOutcome.Refused)
    return { ...base, kind: StageReplyKind.Refused, reason: RefusalReason.BackendRefused, retryAfterMs }
  const reason = failureReason(result.outcome, ended.cancelled)
  return { ...base, kind: StageReplyKind.Failed, reason, message: result.message, serviceMs }
}

type StartedOutcome = Exclude<BackendOutcome, BackendOutcome.Done | BackendOutcome.Refused>

function failureReason(outcome: StartedOutcome, cancelled: boolean): FailureReason {
  switch (outcome) {
    case BackendOutcome.Failed:
      return FailureReason.BackendFailed
    case BackendOutcome.Lost:
      return FailureReason.BackendLost
    case BackendOutcome.Truncated:
      return FailureReason.Truncated
    case BackendOutcome.Stopped:
      return cancelled ? FailureReason.Cancelled : FailureReason.BudgetExceeded
  }
}
