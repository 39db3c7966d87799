import type { CrashReport } from '@eidermast/gateway'
import { CrashHistory } from '@eidermast/gateway'
import * as fc from 'fast-check'
import { describe, expect, test } from 'vitest'

const NOW = 10_000_000_000
const HOUR = 3_600_000
/** More fingerprints than a history keeps. */
const MANY = 5000

function crash(fingerprint: string, backend: string, at = NOW): CrashReport {
  return { fingerprint, backend, at, gateway: 'gateway-a' }
}

const crashes = fc.array(fc.record({
  fingerprint: fc.constantFrom('f', 'g', 'h'),
  backend: fc.constantFrom('plain-a', 'plain-b', 'plain-c'),
}).map(({ fingerprint, backend }) => crash(fingerprint, backend)))
const answers = fc.array(fc.record({ fingerprint: fc.constantFrom('f', 'g', 'h'), at: fc.integer({ min: NOW - 1000, max: NOW }) }))

describe('the crash history', () => {
  test('is independent of the order and repetition of reports', () => {
    fc.assert(fc.property(crashes, answers, (first, second) => {
      const one = new CrashHistory(() => NOW)
      const other = new CrashHistory(() => NOW)
      one.merge({ crashes: first, answers: second })
      other.merge({ crashes: [], answers: second.toReversed() })
      other.merge({ crashes: first.toReversed(), answers: second })
      other.merge({ crashes: first, answers: [] })
      for (const fingerprint of ['f', 'g', 'h']) {
        expect(other.historyOf(fingerprint).answeredAt).toBe(one.historyOf(fingerprint).answeredAt)
        expect(new Set(other.historyOf(fingerprint).crashes)).toEqual(new Set(one.historyOf(fingerprint).crashes))
      }
      expect(one.selectNew(other.all)).toEqual({ crashes: [], answers: [] })
    }))
  })

  test('counts a crash once, regardless of how many gateways saw it', () => {
    const history = new CrashHistory(() => NOW)
    history.merge({ crashes: [crash('f', 'plain-a'), { ...crash('f', 'plain-a', NOW - 5), gateway: 'gateway-b' }], answers: [] })
    expect(history.historyOf('f').crashes).toHaveLength(1)
  })

  test('keeps an answer that was reported before the crash', () => {
    const history = new CrashHistory(() => NOW)
    history.merge({ crashes: [], answers: [{ fingerprint: 'f', at: NOW }] })
    history.merge({ crashes: [crash('f', 'plain-a')], answers: [] })
    expect(history.historyOf('f').answeredAt).toBe(NOW)
  })

  test('evicts reports older than an hour, and does not accept them again', () => {
    let now = NOW
    const history = new CrashHistory(() => now)
    history.merge({ crashes: [crash('f', 'plain-a')], answers: [] })
    now += HOUR
    history.merge({ crashes: [crash('g', 'plain-b', now)], answers: [] })
    expect(history.has('f')).toBe(false)
    expect(history.selectNew({ crashes: [crash('f', 'plain-a')], answers: [] }).crashes).toEqual([])
  })

  test('is bounded if the requests are all different, and keeps those with the most crashes', () => {
    const history = new CrashHistory(() => NOW)
    const culprit = ['plain-a', 'plain-b', 'plain-c'].map(backend => crash('culprit', backend, NOW - 1000))
    history.merge({ crashes: culprit, answers: [] })
    for (let number = 0; number < MANY; number++)
      history.merge({ crashes: [crash(`unrelated-${number}`, 'plain-a')], answers: [] })
    expect(history.fingerprints.length).toBeLessThanOrEqual(4096)
    expect(history.historyOf('culprit').crashes).toHaveLength(3)
    expect(history.has(`unrelated-${MANY - 1}`)).toBe(true)
  })
})
