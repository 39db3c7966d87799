/**
 * What the end of one stage call over a link proves. The rules on retries and
 * answers rest on these facts.
 */
import type { LinkResult } from '../../connection/link-call.js'
import { LinkOutcome } from '../../connection/link-call.js'
import { FailureReason, RefusalReason, StageReplyKind } from '../../connection/messages.js'

/** Whether a call has provably not started: it was never sent, or its side refused it. */
export function isProvablyNotRun(result: LinkResult): boolean {
  if (result.outcome === LinkOutcome.NotSent)
    return true
  return result.outcome === LinkOutcome.Replied && result.reply.kind === StageReplyKind.Refused
}

/** Whether another process life answered than the call was meant for. */
export function isOtherIncarnation(result: LinkResult): boolean {
  if (result.outcome !== LinkOutcome.Replied || result.reply.kind !== StageReplyKind.Refused)
    return false
  return result.reply.reason === RefusalReason.OtherIncarnation
}

/** Why a call gave no result, for logs, metrics and error messages. */
export function describeCause(result: LinkResult): string {
  if (result.outcome !== LinkOutcome.Replied)
    return result.outcome
  return result.reply.kind === StageReplyKind.Done ? FailureReason.Truncated : result.reply.reason
}
