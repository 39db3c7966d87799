import type { AdmissionView } from '@eidermast/daemon'
import { ErrorKind } from '@eidermast/common'
import { AdmitAll, DeadlineAdmission } from '@eidermast/daemon'
import { describe, expect, test } from 'vitest'

describe('admission', () => {
  const view: AdmissionView = {
    inFlight: 10,
    inFlightLimit: 100,
    accountInFlight: 2,
    accountShare: 0.5,
    deadlineMs: 1000,
    expectedMs: 100,
    expectedWaitMs: 0,
  }

  test.each([
    ['takes in what can meet its deadline', {}, undefined],
    ['sheds what exceeds the limit in flight', { inFlight: 100 }, ErrorKind.Overloaded],
    ['sheds what has no backend server', { expectedMs: undefined }, ErrorKind.NoBackend],
    ['sheds what cannot meet its deadline', { expectedMs: 1500, expectedWaitMs: 1400 }, ErrorKind.DeadlineUnreachable],
    ['takes in an account over its share while nobody waits', { accountInFlight: 10 }, undefined],
    ['sheds an account over its share when waits grow', { accountInFlight: 10, expectedWaitMs: 400 }, ErrorKind.AccountOverShare],
    ['takes in an account within its share when waits grow', { accountInFlight: 3, expectedWaitMs: 400 }, undefined],
  ])('%s', (_name, change, kind) => {
    expect(new DeadlineAdmission().decide({ ...view, ...change })?.kind).toBe(kind)
  })

  test('takes in whatever is within the limit in flight in the baseline', () => {
    expect(new AdmitAll().decide({ ...view, expectedMs: 9000 })).toBeUndefined()
    expect(new AdmitAll().decide({ ...view, inFlight: 100 })?.kind).toBe(ErrorKind.Overloaded)
  })
})
