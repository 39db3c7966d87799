/**
 * Decides, for the caller of a request, whether a stage whose call gave no
 * result is called again or the request fails, and with which error.
 *
 * Inputs: the end of the call (just received); whether the request is
 * unrepeatable, whether its tokens were being streamed, whether its time is
 * over; what is known of work that ran; calls made for this stage so far.
 * Rule: a call that provably did not run may be made again. One that may have
 * run is not, if the request is unrepeatable or its caller has seen tokens. What
 * may be made again still needs time left and the retry policy's permission.
 * Why: an unrepeatable stage that runs twice does its harm twice, and a second
 * stream would not continue the first. Every other failure is cheaper to retry
 * here, with the earlier stages' results at hand, than by the caller.
 * Constants: none here; the limits on retries stand in `retry.ts`.
 * Log event: `failed` (cause of each call), then `choose` (called again) or
 * `answer` (the error).
 */
import type { RequestError } from '@eidermast/common'
import type { LinkResult } from '../../connection/link-call.js'
import type { RefusedReply } from '../../connection/messages.js'
import type { RetryPolicy } from './retry.js'
import { createError, ErrorKind, Ran } from '@eidermast/common'
import { LinkOutcome } from '../../connection/link-call.js'
import { RefusalReason, StageReplyKind } from '../../connection/messages.js'
import { describeCause, isProvablyNotRun } from './call-end.js'

/** A stage call that gave no result. */
export interface FailedCall {
  stageName: string
  /** Number of the call, from 1. */
  attempt: number
  result: LinkResult
  unrepeatable: boolean
  /** Whether the stage's tokens go to the caller as they come. */
  streamed: boolean
  /** Whether the request has ended or its time is used up. */
  over: boolean
  /** What is known of work that ran, this call included. */
  ran: Ran
}

/** What follows a failed call. */
export enum FailureStep {
  CallAgain = 'call-again',
  Fail = 'fail',
}

/** The decision on a failed call. */
export type FailureDecision = { step: FailureStep.CallAgain } | { step: FailureStep.Fail, error: RequestError }

/** Decides what follows a failed call; asks the retry policy only where all else permits a retry. */
export function decideOnFailure(failed: FailedCall, retry: RetryPolicy): FailureDecision {
  const mayHaveRun = !isProvablyNotRun(failed.result)
  if (mayHaveRun && failed.unrepeatable)
    return fail(createUnrepeatableError(failed))
  if (mayHaveRun && failed.streamed) {
    const message = `Stage ${failed.stageName} failed while it was streamed; send the request again.`
    return fail(createError(ErrorKind.StageFailed, message, { ran: failed.ran }))
  }
  if (failed.over)
    return fail(createDeadlineError(failed.ran))
  if (!retry.take(failed.attempt))
    return fail(createRetriesUsedError(failed))
  return { step: FailureStep.CallAgain }
}

/** The error of a request whose time is used up. */
export function createDeadlineError(ran: Ran): RequestError {
  return createError(ErrorKind.DeadlineExceeded, 'The deadline has passed; send the request again with a longer one.', { ran })
}

/** Refusals that say that the pool is short of capacity, not that this backend server is leaving. */
const CAPACITY_REFUSALS = new Set([RefusalReason.Full, RefusalReason.Late])

/** The error where no backend server is left to call; the newest refusal says whether they were full or leaving. */
export function createNoBackendError(stageName: string, refusal: RefusedReply | undefined, ran: Ran): RequestError {
  const details = { ran, retryAfterMs: refusal?.retryAfterMs }
  if (refusal && CAPACITY_REFUSALS.has(refusal.reason)) {
    const message = `Stage ${stageName} cannot finish within the deadline; come back after the given time or set a longer deadline.`
    return createError(ErrorKind.DeadlineUnreachable, message, details)
  }
  return createError(ErrorKind.NoBackend, `No backend server takes work for stage ${stageName}; come back after the given time.`, details)
}

function fail(error: RequestError): FailureDecision {
  return { step: FailureStep.Fail, error }
}

function createUnrepeatableError({ stageName, result, ran }: FailedCall): RequestError {
  const advice = 'the request may not be repeated; look at what it did before you send another.'
  if (result.outcome === LinkOutcome.Replied && ran === Ran.Part)
    return createError(ErrorKind.StageFailed, `Stage ${stageName} failed, and ${advice}`, { ran })
  return createError(ErrorKind.OutcomeUnknown, `The reply of stage ${stageName} was lost, and ${advice}`, { ran: Ran.Unknown })
}

function createRetriesUsedError({ stageName, result, ran }: FailedCall): RequestError {
  if (result.outcome === LinkOutcome.Replied && result.reply.kind === StageReplyKind.Refused)
    return createNoBackendError(stageName, result.reply, ran)
  return createError(ErrorKind.StageFailed, `Stage ${stageName} failed (${describeCause(result)}); send the request again.`, { ran })
}
