import type { CrashCandidate, CrashReport } from '@eidermast/gateway'
import { findCauses, isCause, partFingerprintsOf } from '@eidermast/gateway'
import { describe, expect, test } from 'vitest'

const SECOND = 1000

/** A part fingerprint that was present at crashes with these numbers, one a second. */
function candidate(fingerprint: string, ...numbers: number[]): CrashCandidate {
  const crashes = numbers.map((number): CrashReport => ({ fingerprint, backend: `engine-${number}`, at: number * SECOND, gateway: 'gateway-a' }))
  return { fingerprint, crashes }
}

function causesOf(...candidates: CrashCandidate[]): (readonly string[])[] {
  return findCauses(candidates).map(({ fingerprints }) => fingerprints)
}

describe('the cause of a series of crashes', () => {
  test.each([
    ['is the part that was present at all of them, not one that ran beside it', [candidate('part-x', 1, 2, 3, 4), candidate('part-s', 1, 2, 3)], [['part-x']]],
    ['are both parts together while they were always present together', [candidate('part-x', 1, 2, 3), candidate('part-s', 1, 2, 3)], [['part-s', 'part-x']]],
    ['are two parts if each has crashes of its own', [candidate('part-x', 1, 2, 3, 4), candidate('part-y', 5, 6, 7)], [['part-x'], ['part-y']]],
    ['is not a part with too few crashes that no other explains', [candidate('part-x', 1, 2, 3, 4, 5), candidate('part-s', 4, 5, 6, 7)], [['part-x']]],
    ['is the whole request and its parts if the same request is repeated', [candidate('whole', 1, 2, 3), candidate('part-x', 1, 2, 3)], [['part-x', 'whole']]],
  ])('%s', (_title, candidates, causes) => {
    expect(causesOf(...candidates)).toEqual(causes)
  })

  test('refuses only requests that have everything that the crashes have in common', () => {
    const [cause] = findCauses([candidate('part-x', 1, 2, 3), candidate('part-s', 1, 2, 3)])
    expect(isCause(cause, ['whole', 'part-s', 'part-x'])).toBe(true)
    expect(isCause(cause, ['whole', 'part-s', 'part-b'])).toBe(false)
  })
})

describe('the fingerprints of the parts of a prompt', () => {
  const part = (id: string) => ({ id, tokens: 10 })

  test('are those of all parts but the last one', () => {
    expect(partFingerprintsOf('model', [part('a'), part('b'), part('own')])).toHaveLength(2)
    expect(partFingerprintsOf('model', [part('own')])).toEqual([])
    expect(partFingerprintsOf('model', [])).toEqual([])
  })

  test('do not depend on what comes before a part, and do on its service', () => {
    const [, second] = partFingerprintsOf('model', [part('a'), part('x'), part('own')])
    expect(partFingerprintsOf('model', [part('x'), part('own')])).toEqual([second])
    expect(partFingerprintsOf('other', [part('x'), part('own')])).not.toEqual([second])
  })
})
