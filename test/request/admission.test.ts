import type { AdmissionInput } from '@eidermast/daemon'
import { ErrorKind } from '@eidermast/common'
import { AdmitAll, DeadlineAdmission } from '@eidermast/daemon'
import { describe, expect, test } from 'vitest'

describe('admission', () => {
  const view: AdmissionInput = {
    inFlight: 10,
    inFlightLimit: 100,
    accountInFlight: 2,
    accountShare: 0.5,
    deadlineMs: 1000,
    expectedMs: 100,
    expectedWaitMs: 0,
  }

  test.each([
    ['admits a request that can meet its deadline', {}, undefined],
    ['sheds a request over the limit of requests in flight', { inFlight: 100 }, ErrorKind.Overloaded],
    ['sheds a request without a backend server', { expectedMs: undefined }, ErrorKind.NoBackend],
    ['sheds a request that cannot meet its deadline', { expectedMs: 1500, expectedWaitMs: 1400 }, ErrorKind.DeadlineUnreachable],
    ['admits an account over its share without congestion', { accountInFlight: 10 }, undefined],
    ['sheds an account over its share under congestion', { accountInFlight: 10, expectedWaitMs: 400 }, ErrorKind.AccountOverShare],
    ['admits an account within its share under congestion', { accountInFlight: 3, expectedWaitMs: 400 }, undefined],
  ])('%s', (_name, change, kind) => {
    expect(new DeadlineAdmission().decide({ ...view, ...change })?.kind).toBe(kind)
  })

  test('admits everything up to the limit of requests in flight with the baseline policy', () => {
    expect(new AdmitAll().decide({ ...view, expectedMs: 9000 })).toBeUndefined()
    expect(new AdmitAll().decide({ ...view, inFlight: 100 })?.kind).toBe(ErrorKind.Overloaded)
  })
})
