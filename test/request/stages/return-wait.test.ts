import type { ReturnWaitInputs } from '@eidermast/daemon'
import { Ran } from '@eidermast/common'
import { MAX_RETURN_WAIT_MS, shouldWaitForReturn } from '@eidermast/daemon'
import { describe, expect, test } from 'vitest'

describe('a stage without a backend server to call', () => {
  const inputs: ReturnWaitInputs = { ran: Ran.Unknown, mayReturn: true, waitedMs: 0, ended: false }

  test.each<[string, Partial<ReturnWaitInputs>, boolean]>([
    ['waits if the request may have run', {}, true],
    ['waits if an earlier stage ran', { ran: Ran.Part }, true],
    ['does not wait if nothing ran, since its caller can send the request elsewhere', { ran: Ran.None }, false],
    ['does not wait if no backend server can return', { mayReturn: false }, false],
    ['does not wait if the request has ended', { ended: true }, false],
    ['waits just below the maximum', { waitedMs: MAX_RETURN_WAIT_MS - 1 }, true],
    ['does not wait longer than the maximum', { waitedMs: MAX_RETURN_WAIT_MS }, false],
  ])('%s', (_name, change, expected) => {
    expect(shouldWaitForReturn({ ...inputs, ...change })).toBe(expected)
  })
})
