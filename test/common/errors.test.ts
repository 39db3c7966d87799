import { createError, ERROR_ANSWERS, ErrorKind, Ran } from '@eidermast/common'
import { describe, expect, test } from 'vitest'

const KINDS = Object.values(ErrorKind)

describe('the table of error kinds', () => {
  test('has one row for each kind', () => {
    expect(Object.keys(ERROR_ANSWERS).sort()).toEqual([...KINDS].sort())
  })

  test.each(KINDS)('answers %s with an error status and at least one word on what ran', (kind) => {
    const answer = ERROR_ANSWERS[kind]
    expect(answer.status).toBeGreaterThanOrEqual(400)
    expect(answer.status).toBeLessThan(600)
    expect(answer.ran.length).toBeGreaterThan(0)
  })

  const pairs = KINDS.flatMap(kind => Object.values(Ran).map(ran => [kind, ran] as const))
  test.each(pairs)('never lets %s say more than its row when asked to say %s', (kind, ran) => {
    const error = createError(kind, 'message', { ran })
    const permitted = ERROR_ANSWERS[kind].ran.includes(ran)
    expect(error.ran).toBe(permitted ? ran : Ran.Unknown)
  })

  test.each(KINDS)('gives %s a time to come back exactly where its row says so', (kind) => {
    const error = createError(kind, 'message', { retryAfterMs: 5 })
    expect(error.retryAfterMs).toBe(ERROR_ANSWERS[kind].retryAfter ? 5 : undefined)
  })
})
