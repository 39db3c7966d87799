import type { CrashReport, FingerprintHistory } from '@eidermast/gateway'
import { countedCrashes, isQuarantined } from '@eidermast/gateway'
import { describe, expect, test } from 'vitest'

const NOW = 10_000_000
const SECOND = 1000
const HOUR = 3600 * SECOND

/** Crashes of distinct backend servers, with the given ages in milliseconds. */
function crashes(...ages: number[]): CrashReport[] {
  return crashesUnder('f', ...ages)
}

function crashesUnder(fingerprint: string, ...ages: number[]): CrashReport[] {
  return ages.map((age, index) => ({ fingerprint, backend: `plain-${index}`, at: NOW - age, gateway: 'gateway-a' }))
}

describe('a request during which backend servers crashed', () => {
  test.each<[string, FingerprintHistory, boolean]>([
    ['is accepted after none', { crashes: [] }, false],
    ['is accepted after two', { crashes: crashes(0, 0) }, false],
    ['is refused after three', { crashes: crashes(2 * SECOND, SECOND, 0) }, true],
    ['is refused also if they crashed together', { crashes: crashes(0, 0, 0) }, true],
    ['is refused for an hour', { crashes: crashes(HOUR - 1, HOUR - 1, HOUR - 1) }, true],
    ['is accepted if one is older than an hour', { crashes: crashes(HOUR, 0, 0) }, false],
    ['is accepted if one was answered since', { crashes: crashes(2 * SECOND, SECOND, SECOND), answeredAt: NOW }, false],
    ['is accepted if one was answered shortly before', { crashes: crashes(0, 0, 0), answeredAt: NOW - 9 * SECOND }, false],
    ['is refused if it was answered long before, possibly by another version', { crashes: crashes(0, 0, 0), answeredAt: NOW - 11 * SECOND }, true],
  ])('%s', (_name, history, refused) => {
    expect(isQuarantined(history, NOW)).toBe(refused)
  })

  test('counts only the crashes not cleared by an answer', () => {
    const history = { crashes: crashes(30 * SECOND, 2 * SECOND, SECOND), answeredAt: NOW - 20 * SECOND }
    expect(countedCrashes(history, NOW).map(({ backend }) => backend)).toEqual(['plain-1', 'plain-2'])
  })
})

describe('a prompt part that was present when backend servers crashed', () => {
  test.each<[string, FingerprintHistory, boolean]>([
    ['is suspected after three moments', { crashes: crashesUnder('part-x', 2 * SECOND, SECOND, 0) }, true],
    ['is not suspected if several crashed together', { crashes: crashesUnder('part-x', SECOND + 100, SECOND, 0, 0) }, false],
    ['is not suspected if a request with it was answered within the minute before', { crashes: crashesUnder('part-x', 2 * SECOND, SECOND, 0), answeredAt: NOW - 59 * SECOND }, false],
    ['is suspected if the last answer was long before, possibly by another version', { crashes: crashesUnder('part-x', 2 * SECOND, SECOND, 0), answeredAt: NOW - 63 * SECOND }, true],
  ])('%s', (_name, history, suspected) => {
    expect(isQuarantined(history, NOW)).toBe(suspected)
  })
})
