import type { CheckpointInputs } from '@eidermast/daemon'
import { isCheckpointDue, nextCheckMs } from '@eidermast/daemon'
import { describe, expect, test } from 'vitest'

describe('a checkpoint', () => {
  const old: CheckpointInputs = {
    upToDate: true,
    newestCheckpointAt: 0,
    oldestRecordAt: 0,
    keepsFirstRecord: false,
    retentionMs: 1000,
    now: 500,
  }

  test.each<[string, Partial<CheckpointInputs>, boolean]>([
    ['is due when the newest one is half the retention old', {}, true],
    ['is not due while the newest one is younger', { newestCheckpointAt: 1 }, false],
    ['is not due from an entry that has not folded all records', { upToDate: false }, false],
    ['is not due on a young log that keeps its first record', { newestCheckpointAt: undefined, keepsFirstRecord: true, oldestRecordAt: 1 }, false],
    ['is due on an old log that keeps its first record', { newestCheckpointAt: undefined, keepsFirstRecord: true }, true],
    ['is due on a log that has dropped records and has no checkpoint', { newestCheckpointAt: undefined, oldestRecordAt: 1 }, true],
  ])('%s', (_name, inputs, expected) => {
    expect(isCheckpointDue({ ...old, ...inputs })).toBe(expected)
  })

  test('is checked for at least twice before records are dropped', () => {
    expect(2 * nextCheckMs(1000, 1)).toBeLessThan(500)
  })
})
