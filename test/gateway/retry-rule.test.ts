import type { AttemptHistory, Route } from '@eidermast/gateway'
import {
  AttemptEnd,
  CallFailureKind,
  decideAfterAttempt,
  decideBeforeAttempt,
  endOfFailure,
  mayRunAfterNext,
  needsBudget,
  RetryDecision,
} from '@eidermast/gateway'
import { describe, expect, test } from 'vitest'
import { createRoute } from './support/fakes.js'

const REPEATABLE = createRoute({ repeatable: true, maxAttempts: 2 })
const ONCE = createRoute({ repeatable: false })
const STREAM = createRoute({ streaming: true, repeatable: true, resumable: false })
const RESUMABLE = createRoute({ streaming: true, repeatable: false, resumable: true })
const MAY_HAVE_RUN: Partial<AttemptHistory> = { runs: 1, lastEnd: AttemptEnd.MayHaveRun }

function createHistory(overrides: Partial<AttemptHistory> = {}): AttemptHistory {
  return { attempts: 1, runs: 0, lastEnd: AttemptEnd.NotRun, reachedBackend: true, ...overrides }
}

describe('a failed call', () => {
  test.each([
    [CallFailureKind.NotSent, AttemptEnd.NotRun],
    [CallFailureKind.Refused, AttemptEnd.NotRun],
    [CallFailureKind.Misdirected, AttemptEnd.NotRun],
    [CallFailureKind.InputGone, AttemptEnd.NotRun],
    [CallFailureKind.Broken, AttemptEnd.MayHaveRun],
    [CallFailureKind.Aborted, AttemptEnd.MayHaveRun],
  ])('of kind %s ends as %s', (kind, end) => {
    expect(endOfFailure({ kind, message: '' })).toBe(end)
  })
})

describe('another attempt', () => {
  test.each<[string, Route, Partial<AttemptHistory>, RetryDecision]>([
    ['follows one that did not run, on any route', ONCE, {}, RetryDecision.Proceed],
    ['follows one that may have run if the route allows it', REPEATABLE, MAY_HAVE_RUN, RetryDecision.Proceed],
    ['follows a broken stream that may be resumed', RESUMABLE, MAY_HAVE_RUN, RetryDecision.Proceed],
    ['does not follow one that may have run if the route forbids it', ONCE, MAY_HAVE_RUN, RetryDecision.NotRepeatable],
    ['does not follow a broken stream that may not be resumed', STREAM, MAY_HAVE_RUN, RetryDecision.NotRepeatable],
    ['is not made after the last run that the route allows', REPEATABLE, { runs: 2, lastEnd: AttemptEnd.ServerError }, RetryDecision.RunsUsed],
    ['is not made after six attempts that did not run', REPEATABLE, { attempts: 6 }, RetryDecision.AttemptsUsed],
  ])('%s', (_name, route, history, decision) => {
    expect(decideAfterAttempt(createHistory(history), route, false)).toBe(decision)
  })

  test('is not made after the client disconnected', () => {
    expect(decideAfterAttempt(createHistory(), REPEATABLE, true)).toBe(RetryDecision.Cancelled)
  })

  test('needs a backend server that was not tried and enough time for a response', () => {
    const inputs = { history: createHistory(), hasBackend: true, remainingMs: 30 }
    expect(decideBeforeAttempt(inputs)).toBe(RetryDecision.Proceed)
    expect(decideBeforeAttempt({ ...inputs, hasBackend: false })).toBe(RetryDecision.NoBackend)
    expect(decideBeforeAttempt({ ...inputs, remainingMs: 29 })).toBe(RetryDecision.NoTime)
  })

  test('uses the budget only if the last one reached a backend server', () => {
    expect(needsBudget(createHistory())).toBe(true)
    expect(needsBudget(createHistory({ reachedBackend: false }))).toBe(false)
    expect(needsBudget(createHistory({ attempts: 0 }))).toBe(false)
  })

  test('may follow the next one of a non-streaming request while the route allows a further run', () => {
    expect(mayRunAfterNext(createHistory({ runs: 0 }), REPEATABLE)).toBe(true)
    expect(mayRunAfterNext(createHistory({ runs: 1 }), REPEATABLE)).toBe(false)
    expect(mayRunAfterNext(createHistory({ runs: 0 }), RESUMABLE)).toBe(false)
  })
})

test('the first attempt is made regardless of the time left', () => {
  const history = createHistory({ attempts: 0, lastEnd: undefined, reachedBackend: false })
  expect(decideBeforeAttempt({ history, hasBackend: true, remainingMs: -5 })).toBe(RetryDecision.Proceed)
})
