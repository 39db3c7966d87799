/**
 * Decides which reply a side sends for each result of a call to its backend server.
 *
 * Inputs: the result reported by the connection; whether the call was cancelled.
 *
 * Only a result that proves that the backend server did not start the call is
 * reported as a refusal. A lost connection, a failure and a truncated stream count
 * as started, because after a refusal an entry can call another backend server
 * even for an unrepeatable request.
 *
 * Log events at the entry: `done`, `failed` (field `cause`).
 */
import type { BackendResult } from '../../connection/backend-client.js'
import type { StageReply } from '../../connection/messages.js'
import { BackendOutcome } from '../../connection/backend-client.js'
import { FailureReason, RefusalReason, StageReplyKind } from '../../connection/messages.js'

/** Fields common to all replies of a side. */
export type ReplyBase = Pick<StageReply, 'identity' | 'offset' | 'load'>

/** A finished call to the backend server. */
export interface FinishedCall {
  result: BackendResult
  cancelled: boolean
  /** Time in the queue. */
  queueMs: number
  /** Time at the backend server. */
  serviceMs: number
  /** Delay before an entry should retry, used if the reply is a refusal. */
  retryAfterMs: number
}

/** Creates the reply for a finished call. */
export function createBackendReply(base: ReplyBase, call: FinishedCall): StageReply {
  const { result, queueMs, serviceMs, retryAfterMs } = call
  if (result.outcome === BackendOutcome.Done) {
    const { output, status, contentType, tokens } = result
    return { ...base, kind: StageReplyKind.Done, output, status, contentType, tokens, queueMs, serviceMs }
  }
  if (result.outcome === BackendOutcome.Refused)
    return { ...base, kind: StageReplyKind.Refused, reason: RefusalReason.BackendRefused, retryAfterMs }
  const reason = failureReason(result.outcome, call.cancelled)
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
