import type { AttemptEvidence, UnansweredRequest } from '@eidermast/gateway'
import { ErrorKind, Ran } from '@eidermast/common'
import { AttemptEnd, BackendHealthSign, CallFailureKind, decideHealthSign, errorOfUnanswered } from '@eidermast/gateway'
import { describe, expect, test } from 'vitest'

describe('what an attempt says of its backend server', () => {
  const FAILED: AttemptEvidence = { end: AttemptEnd.MayHaveRun, failureKind: undefined, streaming: false, abandonedHere: false }

  test.each<[string, Partial<AttemptEvidence>, BackendHealthSign]>([
    ['a whole answer', { end: AttemptEnd.Answered }, BackendHealthSign.Success],
    ['a whole stream', { end: AttemptEnd.Answered, streaming: true }, BackendHealthSign.None],
    ['a broken answer', { failureKind: CallFailureKind.Broken }, BackendHealthSign.Failure],
    ['a failed connection', { end: AttemptEnd.NotRun, failureKind: CallFailureKind.NotSent }, BackendHealthSign.Failure],
    ['a refusal', { end: AttemptEnd.NotRun, failureKind: CallFailureKind.Refused }, BackendHealthSign.None],
    ['a call that this gateway abandoned', { failureKind: CallFailureKind.Aborted, abandonedHere: true }, BackendHealthSign.Abandoned],
    ['a call that this gateway abandoned while it waited for a connection', { end: AttemptEnd.NotRun, failureKind: CallFailureKind.AbandonedUnsent, abandonedHere: true }, BackendHealthSign.Abandoned],
    ['a call whose client left while it waited for a connection', { end: AttemptEnd.NotRun, failureKind: CallFailureKind.AbandonedUnsent }, BackendHealthSign.None],
    ['a call that was turned away since its backend server is leaving', { end: AttemptEnd.NotRun, failureKind: CallFailureKind.Leaving }, BackendHealthSign.None],
    ['a call whose client left', { failureKind: CallFailureKind.Aborted }, BackendHealthSign.None],
    ['a failure of its own', { end: AttemptEnd.ServerError }, BackendHealthSign.None],
  ])('%s', (_name, evidence, sign) => {
    expect(decideHealthSign({ ...FAILED, ...evidence })).toBe(sign)
  })
})

describe('a request without an answer', () => {
  const REFUSED: UnansweredRequest = {
    service: 'plain',
    cancelled: false,
    runs: 0,
    refusal: undefined,
    waitMs: 0,
    lastFailure: { kind: CallFailureKind.Refused, message: 'full' },
  }

  test.each<[string, Partial<UnansweredRequest>, ErrorKind, Ran]>([
    ['did not run where everybody refused', {}, ErrorKind.Overloaded, Ran.None],
    ['did not run where no backend server was found', { lastFailure: undefined }, ErrorKind.NoBackend, Ran.None],
    ['may have run where an attempt may have', { runs: 1 }, ErrorKind.OutcomeUnknown, Ran.Unknown],
    ['did not run where requests like it end backend servers', { refusal: 'ended 3' }, ErrorKind.Quarantined, Ran.None],
    ['may have run where it was one of those that ended them', { refusal: 'ended 3', runs: 1 }, ErrorKind.OutcomeUnknown, Ran.Unknown],
    ['did not run where its client left before', { cancelled: true }, ErrorKind.Cancelled, Ran.None],
    ['may have run where its client left during an attempt', { cancelled: true, runs: 1 }, ErrorKind.Cancelled, Ran.Unknown],
  ])('%s', (_name, request, kind, ran) => {
    expect(errorOfUnanswered({ ...REFUSED, ...request })).toMatchObject({ kind, ran })
  })
})
