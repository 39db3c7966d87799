import type { PreparationRequest } from '@eidermast/gateway'
import { AdmissionAccuracy, decideAdmission } from '@eidermast/gateway'
import { describe, expect, test } from 'vitest'

/** Expected time of the stages, in milliseconds. */
const EXPECTED_MS = 400
/** Expected time of the answer, in milliseconds. */
const ANSWER_MS = 250

function createRequest(service = 'encode', requestId = 'request-1'): PreparationRequest {
  const stages = [{ service, dependsOn: [], resultBytes: 10, items: 1 }]
  return { requestId, stages, key: '', priority: 0, targetMs: 1000, deadlineMs: 4000, isRetry: false, failureDomain: 'domain-a' }
}

/** An accuracy after requests that were expected to take 400 ms. */
function createLearned(tookMs: number | undefined, requests = 50): AdmissionAccuracy {
  const accuracy = new AdmissionAccuracy()
  for (let count = 0; count < requests; count++) {
    accuracy.recordAdmission(createRequest(), EXPECTED_MS)
    accuracy.recordEnd(createRequest(), tookMs, 0)
  }
  return accuracy
}

describe('the accuracy of admission', () => {
  test('is a factor of 1 where nothing is known', () => {
    expect(new AdmissionAccuracy().factorFor(createRequest(), 0)).toBe(1)
  })

  test('follows the real times of like requests only', () => {
    const accuracy = createLearned(600)
    expect(accuracy.factorFor(createRequest(), 0)).toBeCloseTo(1.5, 1)
    expect(accuracy.factorFor(createRequest('rank'), 0)).toBe(1)
  })

  test('is not decided by a single request', () => {
    expect(createLearned(60_000, 1).factorFor(createRequest(), 0)).toBeLessThan(1.2)
  })

  test('fades where nothing more is learned, so that work that is refused is tried again', () => {
    const accuracy = createLearned(800)
    expect(accuracy.factorFor(createRequest(), 700)).toBeCloseTo(1.5, 1)
    expect(accuracy.factorFor(createRequest(), 10_000)).toBeCloseTo(1, 3)
  })

  test('learns nothing of work that was abandoned, or that was not admitted here', () => {
    expect(createLearned(undefined).factorFor(createRequest(), 0)).toBe(1)
    const accuracy = new AdmissionAccuracy()
    expect(accuracy.recordEnd(createRequest(), 900, 0)).toBeUndefined()
    expect(accuracy.factorFor(createRequest(), 0)).toBe(1)
  })

  test('tells what was expected', () => {
    const accuracy = new AdmissionAccuracy()
    accuracy.recordAdmission(createRequest(), EXPECTED_MS)
    expect(accuracy.recordEnd(createRequest(), 500, 0)).toBe(400)
  })

  test('refuses work that would be in time by the plain estimate alone', () => {
    const pace = { backends: 1, itemMs: 100, callMs: 300 }
    const ahead = [{ rank: 0, remainingItems: () => 6 }]
    const decide = (accuracyFactor: number) => decideAdmission({ request: createRequest(), rank: 1, answerMs: ANSWER_MS, correctionFactor: accuracyFactor }, ahead, () => pace)
    expect(decide(1)).toMatchObject({ isAdmitted: true, finishMs: 950, stagesMs: 700 })
    expect(decide(1.5)).toMatchObject({ isAdmitted: false, finishMs: 1150, stagesMs: 700 })
  })

  test('corrects the wait alone, so that nothing is refused where nothing goes before', () => {
    const pace = { backends: 1, itemMs: 100, callMs: 300 }
    const decision = decideAdmission({ request: createRequest(), rank: 1, answerMs: ANSWER_MS, correctionFactor: 2.5 }, [], () => pace)
    expect(decision).toMatchObject({ isAdmitted: true, finishMs: 550, stagesMs: 300 })
  })
})
