import type { CrashCause } from '@eidermast/gateway'
import { QuarantineTrials } from '@eidermast/gateway'
import { describe, expect, test } from 'vitest'

const MINUTE = 60_000

/** A cause with crashes, the latest of them at 0. */
function createCause(fingerprints: readonly string[], crashes: number): CrashCause {
  return { fingerprints, crashes: Array.from({ length: crashes }, (_, number) => ({ fingerprint: fingerprints[0], backend: `engine-${number}`, at: -number, gateway: 'gateway-a' })) }
}

function createTrials({ isCoordinator = true } = {}): QuarantineTrials {
  return new QuarantineTrials(() => isCoordinator, () => {})
}

describe('a request that is refused because of a prompt part', () => {
  test.each([
    [3, MINUTE],
    [4, 2 * MINUTE],
    [6, 8 * MINUTE],
  ])('is let through as a trial, after %i crashes, %i ms after the latest', (crashes, dueAt) => {
    const cause = createCause(['part-x'], crashes)
    expect(createTrials().allows('whole', cause, dueAt - 1)).toBe(false)
    expect(createTrials().allows('whole', cause, dueAt)).toBe(true)
  })

  test('is let through alone, until the trial is over', () => {
    const trials = createTrials()
    const cause = createCause(['part-x'], 3)
    expect(trials.allows('first', cause, MINUTE)).toBe(true)
    expect(trials.allows('second', cause, MINUTE + 1)).toBe(false)
    expect(trials.allows('first', cause, MINUTE + 2)).toBe(true)
    expect(trials.allows('second', cause, 2 * MINUTE - 1)).toBe(false)
    expect(trials.allows('second', cause, 2 * MINUTE)).toBe(true)
  })

  test('is not let through by a gateway that is not the coordinator', () => {
    expect(createTrials({ isCoordinator: false }).allows('whole', createCause(['part-x'], 3), MINUTE)).toBe(false)
  })

  test('is not let through if the same request as a whole crashes backend servers', () => {
    expect(createTrials().allows('whole', createCause(['part-x', 'whole'], 3), MINUTE)).toBe(false)
  })
})
