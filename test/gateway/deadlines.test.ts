import { decideAttemptTime, decideDeadlines } from '@eidermast/gateway'
import { describe, expect, test } from 'vitest'
import { createRoute } from './support/fakes.js'

describe('a request', () => {
  const WHOLE = createRoute({ timeoutMs: 8000 })
  const STREAM = createRoute({ streaming: true, timeoutMs: 60_000, targetLatencyMs: 200, targetGapMs: 400 })

  test.each([
    ['its client\'s deadline', 3000, 2980],
    ['the route\'s timeout where that is shorter', 9000, 7980],
    ['the route\'s timeout where its client sent none', undefined, 7980],
  ])('ends shortly before %s', (_name, deadlineMs, deadlineAt) => {
    expect(decideDeadlines(0, deadlineMs, WHOLE)).toEqual({ deadlineAt, firstEventBy: deadlineAt })
  })

  test.each([
    ['eight gaps of the route', STREAM, 3180],
    ['four targets of the route', { ...STREAM, targetLatencyMs: 1000 }, 3980],
    ['two seconds at least', { ...STREAM, targetGapMs: 100 }, 1980],
  ])('for a stream needs its first event shortly before %s', (_name, route, firstEventBy) => {
    expect(decideDeadlines(0, 20_000, route)).toEqual({ deadlineAt: 19_980, firstEventBy })
  })

  test('for a stream needs no event after its deadline', () => {
    expect(decideDeadlines(100, 1000, STREAM)).toEqual({ deadlineAt: 1080, firstEventBy: 1080 })
  })
})

describe('an attempt', () => {
  test.each([
    ['all time that is left where no other may follow', { remainingMs: 900, targetLatencyMs: 300, mayRunAgain: false }, 900],
    ['the route\'s target where another may follow', { remainingMs: 900, targetLatencyMs: 300, mayRunAgain: true }, 300],
    ['at least 150 ms where the target is short', { remainingMs: 900, targetLatencyMs: 10, mayRunAgain: true }, 150],
    ['never more than what is left', { remainingMs: 50, targetLatencyMs: 300, mayRunAgain: true }, 50],
    ['a moment where nothing is left', { remainingMs: -5, targetLatencyMs: 300, mayRunAgain: false }, 1],
  ])('gets %s', (_name, inputs, milliseconds) => {
    expect(decideAttemptTime(inputs)).toBe(milliseconds)
  })
})
