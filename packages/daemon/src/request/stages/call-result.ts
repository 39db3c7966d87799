/**
 * Interprets the result of one stage call over a link. Retry decisions and
 * request answers depend on this classification.
 */
import type { LinkResult } from '../../connection/link-call.js'
import { LinkOutcome } from '../../connection/link-call.js'
import { FailureReason, RefusalReason, StageReplyKind } from '../../connection/messages.js'

/** Whether a call definitely did not start: it was never sent, or the side refused it. */
export function isProvablyNotRun(result: LinkResult): boolean {
  return result.outcome === LinkOutcome.NotSent || isRefused(result)
}

/** Whether the side refused the call. */
export function isRefused(result: LinkResult): boolean {
  return result.outcome === LinkOutcome.Replied && result.reply.kind === StageReplyKind.Refused
}

/** Whether the side refused the call because it was addressed to another process incarnation. */
export function isOtherIncarnation(result: LinkResult): boolean {
  if (result.outcome !== LinkOutcome.Replied || result.reply.kind !== StageReplyKind.Refused)
    return false
  return result.reply.reason === RefusalReason.OtherIncarnation
}

/** Returns why a call failed, for logs, metrics and error messages. */
export function describeCause(result: LinkResult): string {
  if (result.outcome !== LinkOutcome.Replied)
    return result.outcome
  return result.reply.kind === StageReplyKind.Done ? FailureReason.Truncated : result.reply.reason
}
