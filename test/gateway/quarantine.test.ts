import type { CrashFacts, CrashReport } from '@eidermast/gateway'
import { countedCrashes, isQuarantined } from '@eidermast/gateway'
import { describe, expect, test } from 'vitest'

const NOW = 10_000_000
const SECOND = 1000
const HOUR = 3600 * SECOND

/** Ends of backend servers, each of another one, so many milliseconds ago. */
function crashes(...ages: number[]): CrashReport[] {
  return ages.map((age, index) => ({ fingerprint: 'f', backend: `plain-${index}`, at: NOW - age, gateway: 'gateway-a' }))
}

describe('a request under which backend servers ended', () => {
  test.each<[string, CrashFacts, boolean]>([
    ['is sent on after none', { crashes: [] }, false],
    ['is sent on after two', { crashes: crashes(0, 0) }, false],
    ['is refused after three', { crashes: crashes(2 * SECOND, SECOND, 0) }, true],
    ['is refused also where they ended together', { crashes: crashes(0, 0, 0) }, true],
    ['is refused for an hour', { crashes: crashes(HOUR - 1, HOUR - 1, HOUR - 1) }, true],
    ['is sent on where one is older than an hour', { crashes: crashes(HOUR, 0, 0) }, false],
    ['is sent on where one was answered since', { crashes: crashes(2 * SECOND, SECOND, SECOND), answeredAt: NOW }, false],
    ['is sent on where one was answered shortly before', { crashes: crashes(0, 0, 0), answeredAt: NOW - 9 * SECOND }, false],
    ['is refused where it was answered long before, by other software', { crashes: crashes(0, 0, 0), answeredAt: NOW - 11 * SECOND }, true],
  ])('%s', (_name, facts, refused) => {
    expect(isQuarantined(facts, NOW)).toBe(refused)
  })

  test('is refused for those ends that no answer speaks against', () => {
    const facts = { crashes: crashes(30 * SECOND, 2 * SECOND, SECOND), answeredAt: NOW - 20 * SECOND }
    expect(countedCrashes(facts, NOW).map(({ backend }) => backend)).toEqual(['plain-1', 'plain-2'])
  })
})
