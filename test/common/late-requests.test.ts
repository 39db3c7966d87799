import { ErrorKind, LateRequests } from '@eidermast/common'
import { beforeEach, describe, expect, test } from 'vitest'

const ALLOWED_MS = 1000

let now: number
let requests: LateRequests

beforeEach(() => {
  now = 10_000
  requests = new LateRequests(() => now)
})

/** Checks a request that waited; returns whether it is accepted. */
function accepts(waitedMs: number, { account = 'large', lateForMs = 1000, weight = 1 } = {}): boolean {
  return requests.check({ account, weight, allowedMs: ALLOWED_MS, lateness: { waitedMs, lateForMs } }) === undefined
}

describe('a request that was read late', () => {
  test('is accepted after a short pause of the gateway, however long it waited', () => {
    expect(accepts(900, { lateForMs: 999 })).toBe(true)
  })

  test.each([
    { waitedMs: 500, isAccepted: true },
    { waitedMs: 501, isAccepted: false },
  ])('is accepted if it has half of its time left, while all are read late: $waitedMs ms of 1000', ({ waitedMs, isAccepted }) => {
    expect(accepts(waitedMs)).toBe(isAccepted)
  })

  test('is told to try another process at once', () => {
    expect(requests.check({ account: 'large', allowedMs: ALLOWED_MS, lateness: { waitedMs: 600, lateForMs: 3000 } })).toMatchObject({ kind: ErrorKind.Overloaded, ran: 'none', retryAfterMs: 100, message: expect.stringContaining('read 600 ms after its arrival, of 1000 ms that it may take; requests have been read late for 3000 ms') })
  })

  test.each([
    { waitedMs: 750, isAccepted: true },
    { waitedMs: 751, isAccepted: false },
  ])('may wait longer if fewer of its account were accepted: $waitedMs ms of 1000', ({ waitedMs, isAccepted }) => {
    for (let index = 0; index < 10; index++)
      accepts(100)
    expect(accepts(600)).toBe(false)
    expect(accepts(waitedMs, { account: 'small' })).toBe(isAccepted)
  })

  test('may wait longer if fewer of its account were accepted than its weight stands for', () => {
    for (let index = 0; index < 10; index++)
      accepts(100, { account: index < 4 ? 'light' : 'heavy', weight: index < 4 ? 1 : 2 })
    expect(accepts(600, { account: 'heavy', weight: 2 })).toBe(true)
    expect(accepts(600, { account: 'light' })).toBe(false)
  })

  test('is compared with what was accepted within the last two seconds', () => {
    for (let index = 0; index < 10; index++)
      accepts(100)
    now += 2000
    expect(accepts(600, { account: 'small' })).toBe(false)
  })
})

test('a request that was read in time is accepted', () => {
  expect(requests.check({ account: undefined, allowedMs: 1, lateness: undefined })).toBeUndefined()
})
