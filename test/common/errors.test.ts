import { createError, ERROR_RESPONSES, ErrorKind, Ran } from '@eidermast/common'
import { describe, expect, test } from 'vitest'

const KINDS = Object.values(ErrorKind)

describe('error kinds', () => {
  test('the table has one row for each kind', () => {
    expect(Object.keys(ERROR_RESPONSES).sort()).toEqual([...KINDS].sort())
  })

  test.each(KINDS)('%s has an error status and at least one allowed execution state', (kind) => {
    const response = ERROR_RESPONSES[kind]
    expect(response.status).toBeGreaterThanOrEqual(400)
    expect(response.status).toBeLessThan(600)
    expect(response.ran.length).toBeGreaterThan(0)
  })

  const pairs = KINDS.flatMap(kind => Object.values(Ran).map(ran => [kind, ran] as const))
  test.each(pairs)('%s created with execution state %s is limited to what its row allows', (kind, ran) => {
    const error = createError(kind, 'message', { ran })
    const permitted = ERROR_RESPONSES[kind].ran.includes(ran)
    expect(error.ran).toBe(permitted ? ran : Ran.Unknown)
  })

  test.each(KINDS)('%s includes a retry delay only if its row says so', (kind) => {
    const error = createError(kind, 'message', { retryAfterMs: 5 })
    expect(error.retryAfterMs).toBe(ERROR_RESPONSES[kind].retryAfter ? 5 : undefined)
  })
})
