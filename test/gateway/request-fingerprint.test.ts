import type { FingerprintInputs } from '@eidermast/gateway'
import { Buffer } from 'node:buffer'
import { fingerprintOf } from '@eidermast/gateway'
import { describe, expect, test } from 'vitest'

const REQUEST: FingerprintInputs = { method: 'POST', host: 'host.example', path: '/a/b?c=d', account: 'account-a', body: Buffer.from('body') }

describe('the fingerprint of a request', () => {
  test('is identical for repetitions of the request', () => {
    expect(fingerprintOf({ ...REQUEST, body: Buffer.from('body') })).toBe(fingerprintOf(REQUEST))
  })

  test.each<[string, Partial<FingerprintInputs>]>([
    ['method', { method: 'PUT' }],
    ['host', { host: 'other.example' }],
    ['query', { path: '/a/b?c=e' }],
    ['client account', { account: 'account-b' }],
    ['body', { body: Buffer.from('bodY') }],
  ])('differs if the %s differs', (_part, other) => {
    expect(fingerprintOf({ ...REQUEST, ...other })).not.toBe(fingerprintOf(REQUEST))
  })

  test('keeps the end of one field apart from the start of the next', () => {
    const one = fingerprintOf({ ...REQUEST, account: 'a', body: Buffer.from('bc') })
    expect(fingerprintOf({ ...REQUEST, account: 'ab', body: Buffer.from('c') })).not.toBe(one)
  })
})
