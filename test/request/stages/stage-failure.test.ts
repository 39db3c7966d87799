import type { FailedCall, FailureDecision, LinkResult, RetryPolicy } from '@eidermast/daemon'
import { ErrorKind, Ran } from '@eidermast/common'
import {
  decideOnFailure,
  FailureReason,
  FailureStep,
  FixedRetry,
  LinkOutcome,
  NO_OFFSET,
  RefusalReason,
  StageReplyKind,
} from '@eidermast/daemon'
import { describe, expect, test } from 'vitest'
import { createLoad, createStageCall } from '../../support/fixtures.js'

const REPLY = { identity: createStageCall().identity, offset: NO_OFFSET, load: createLoad() }
const NOT_SENT: LinkResult = { outcome: LinkOutcome.NotSent, message: 'not sent' }
const LOST: LinkResult = { outcome: LinkOutcome.Lost, message: 'lost' }
const FAILED: LinkResult = {
  outcome: LinkOutcome.Replied,
  reply: { ...REPLY, kind: StageReplyKind.Failed, reason: FailureReason.BackendFailed, message: 'failed', serviceMs: 1 },
}

function refused(reason: RefusalReason): LinkResult {
  return { outcome: LinkOutcome.Replied, reply: { ...REPLY, kind: StageReplyKind.Refused, reason, retryAfterMs: 70 } }
}

/** Number of the last attempt that the fixed retry policy allows. */
const LAST_ATTEMPT = 3
const LAST_REFUSED_AS_FULL = { attempt: LAST_ATTEMPT, result: refused(RefusalReason.Full) }
const LAST_REFUSED_AS_LEAVING = { attempt: LAST_ATTEMPT, result: refused(RefusalReason.Draining) }

function decide(change: Partial<FailedCall>, retry: RetryPolicy = new FixedRetry()): FailureDecision {
  const failed: FailedCall = {
    stageName: 'encode',
    attempt: 1,
    result: LOST,
    unrepeatable: false,
    streamed: false,
    ended: false,
    ran: Ran.None,
    ...change,
  }
  return decideOnFailure(failed, retry)
}

describe('a failed stage call', () => {
  test.each<[string, Partial<FailedCall>]>([
    ['that was never sent', { result: NOT_SENT }],
    ['that was never sent, of an unrepeatable request', { result: NOT_SENT, unrepeatable: true }],
    ['that was refused, of an unrepeatable request', { result: refused(RefusalReason.Draining), unrepeatable: true }],
    ['that was refused, of a streamed stage', { result: refused(RefusalReason.Full), streamed: true }],
    ['whose reply was lost, of a repeatable request', { result: LOST }],
    ['that failed, of a repeatable request', { result: FAILED, ran: Ran.Part }],
  ])('is retried: one %s', (_name, change) => {
    expect(decide(change)).toEqual({ step: FailureStep.Retry })
  })

  test.each<[string, Partial<FailedCall>, ErrorKind, Ran]>([
    ['an unrepeatable one whose reply was lost', { unrepeatable: true, ran: Ran.Unknown }, ErrorKind.OutcomeUnknown, Ran.Unknown],
    ['an unrepeatable one that failed', { result: FAILED, unrepeatable: true, ran: Ran.Part }, ErrorKind.StageFailed, Ran.Part],
    ['a streamed one whose reply was lost', { streamed: true, ran: Ran.Unknown }, ErrorKind.StageFailed, Ran.Unknown],
    ['one without time left', { ended: true, ran: Ran.Unknown }, ErrorKind.DeadlineExceeded, Ran.Unknown],
    ['the last one allowed', { attempt: LAST_ATTEMPT, result: FAILED, ran: Ran.Part }, ErrorKind.StageFailed, Ran.Part],
    ['the last one allowed, refused as full', LAST_REFUSED_AS_FULL, ErrorKind.DeadlineUnreachable, Ran.None],
    ['the last one allowed, refused by a leaving server', LAST_REFUSED_AS_LEAVING, ErrorKind.NoBackend, Ran.None],
  ])('fails the request: %s', (_name, change, kind, ran) => {
    expect(decide(change)).toMatchObject({ step: FailureStep.Fail, error: { kind, ran } })
  })

  test('does not consult the retry policy if the call must not be retried anyway', () => {
    const acquired: number[] = []
    const retry = { recordFirstCall: () => {}, tryAcquire: (attempt: number) => acquired.push(attempt) > 0 }
    decide({ unrepeatable: true, ran: Ran.Unknown }, retry)
    decide({ result: NOT_SENT, ended: true }, retry)
    expect(acquired).toEqual([])
  })
})
