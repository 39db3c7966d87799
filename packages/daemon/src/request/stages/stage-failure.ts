/**
 * Decides whether a failed stage call is retried or the request fails, and with
 * which error.
 *
 * Inputs: the result of the call; whether the request is unrepeatable, whether
 * its tokens are streamed to the caller and whether it has ended or run out of
 * time; what is known about work that ran; the number of calls made for this
 * stage. Retry limits are defined in `retry.ts`.
 *
 * A call that definitely did not run can be retried. A call that may have run is
 * not retried if the request is unrepeatable or its tokens are streamed. Retries
 * also require time left and the approval of the retry policy.
 *
 * Running an unrepeatable stage twice would apply its side effects twice, and a
 * second stream would not continue the first. All other failures are cheaper to
 * retry here, where the results of the earlier stages are available, than by the
 * caller.
 *
 * Log events: `failed` (cause of each call), then `choose` (retry) or `answer`
 * (error).
 */
import type { RequestError } from '@eidermast/common'
import type { LinkResult } from '../../connection/link-call.js'
import type { RefusedReply } from '../../connection/messages.js'
import type { RetryPolicy } from './retry.js'
import { createError, ErrorKind, Ran } from '@eidermast/common'
import { LinkOutcome } from '../../connection/link-call.js'
import { RefusalReason, StageReplyKind } from '../../connection/messages.js'
import { describeCause, isProvablyNotRun } from './call-result.js'

/** A failed stage call. */
export interface FailedCall {
  stageName: string
  /** Attempt number, starting at 1. */
  attempt: number
  result: LinkResult
  unrepeatable: boolean
  /** Whether the tokens of the stage are streamed to the caller. */
  streamed: boolean
  /** Whether the request has ended or has no time left. */
  ended: boolean
  /** What is known about work that ran, including this call. */
  ran: Ran
}

/** Next step after a failed call. */
export enum FailureStep {
  Retry = 'call-again',
  Fail = 'fail',
}

/** Next step after a failed call, with the error if the request fails. */
export type FailureDecision = { step: FailureStep.Retry } | { step: FailureStep.Fail, error: RequestError }

/** Decides the next step after a failed call. Consults the retry policy last, because `tryAcquire` consumes a retry. */
export function decideOnFailure(failed: FailedCall, retry: RetryPolicy): FailureDecision {
  const mayHaveRun = !isProvablyNotRun(failed.result)
  if (mayHaveRun && failed.unrepeatable)
    return fail(createUnrepeatableError(failed))
  if (mayHaveRun && failed.streamed) {
    const message = `Stage ${failed.stageName} failed during streaming; send the request again.`
    return fail(createError(ErrorKind.StageFailed, message, { ran: failed.ran }))
  }
  if (failed.ended)
    return fail(createDeadlineError(failed.ran))
  if (!retry.tryAcquire(failed.attempt))
    return fail(createRetriesExhaustedError(failed))
  return { step: FailureStep.Retry }
}

/** Creates the error of a request that ran out of time. */
export function createDeadlineError(ran: Ran): RequestError {
  return createError(ErrorKind.DeadlineExceeded, 'The deadline has passed; send the request again with a longer deadline.', { ran })
}

/** Refusals caused by a lack of capacity rather than by a backend server that is leaving. */
const CAPACITY_REFUSALS = new Set([RefusalReason.Full, RefusalReason.Late])

/** Creates the error for a stage with no backend server left to call. The latest refusal shows whether they were full or leaving. */
export function createNoBackendError(stageName: string, refusal: RefusedReply | undefined, ran: Ran): RequestError {
  const details = { ran, retryAfterMs: refusal?.retryAfterMs }
  if (refusal && CAPACITY_REFUSALS.has(refusal.reason)) {
    const message = `Stage ${stageName} cannot finish within the deadline; retry after the indicated delay or set a longer deadline.`
    return createError(ErrorKind.DeadlineUnreachable, message, details)
  }
  return createError(ErrorKind.NoBackend, `No backend server is available for stage ${stageName}; retry after the indicated delay.`, details)
}

function fail(error: RequestError): FailureDecision {
  return { step: FailureStep.Fail, error }
}

function createUnrepeatableError({ stageName, result, ran }: FailedCall): RequestError {
  const advice = 'the request is unrepeatable; check its effects before sending another.'
  if (result.outcome === LinkOutcome.Replied && ran === Ran.Part)
    return createError(ErrorKind.StageFailed, `Stage ${stageName} failed, and ${advice}`, { ran })
  return createError(ErrorKind.OutcomeUnknown, `The reply from stage ${stageName} was lost, and ${advice}`, { ran: Ran.Unknown })
}

function createRetriesExhaustedError({ stageName, result, ran }: FailedCall): RequestError {
  if (result.outcome === LinkOutcome.Replied && result.reply.kind === StageReplyKind.Refused)
    return createNoBackendError(stageName, result.reply, ran)
  return createError(ErrorKind.StageFailed, `Stage ${stageName} failed (${describeCause(result)}); send the request again.`, { ran })
}
