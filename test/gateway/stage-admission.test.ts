import type { AdmittedWork, PreparationRequest, PreparationStage, ServiceThroughput } from '@eidermast/gateway'
import { decideAdmission, rankRequest } from '@eidermast/gateway'
import { describe, expect, test } from 'vitest'

const THROUGHPUT: ServiceThroughput = { backends: 1, itemMs: 100, callMs: 300 }
const CHAIN: PreparationStage[] = [
  { service: 'encode', dependsOn: [], resultBytes: 10, items: 1 },
  { service: 'rerank', dependsOn: [0], resultBytes: 10, items: 1 },
]

function createRequest(overrides: Partial<PreparationRequest> = {}): PreparationRequest {
  return { requestId: 'request-1', stages: CHAIN, key: '', priority: 0, targetMs: 1000, deadlineMs: 4000, isRetry: false, failureDomain: 'domain-a', ...overrides }
}

function decide(request: PreparationRequest, ahead: AdmittedWork[], answerMs = 100) {
  return decideAdmission({ request, rank: 1, answerMs, correctionFactor: 1 }, ahead, () => THROUGHPUT)
}

/** Admitted work with remaining items of one service. */
function work(service: string, items: number, rank = 0): AdmittedWork {
  return { rank, remainingItems: other => other === service ? items : 0 }
}

describe('admission of stage work', () => {
  test.each([
    ['expects the time of the stages and the answer without a queue', [], 700],
    ['adds the wait for work ahead in the first stage', [work('encode', 6)], 1100],
    ['adds no wait for work in a later stage that is done by then', [work('rerank', 5)], 700],
    ['adds the wait for work in a later stage that is not done by then', [work('rerank', 9)], 1100],
    ['adds the longer wait of two stages, not both', [work('encode', 6), work('rerank', 10)], 1200],
    ['ignores work with a higher rank', [work('encode', 6, 2)], 700],
  ])('%s', (_name, ahead, finishMs) => {
    expect(decide(createRequest(), ahead).finishMs).toBe(finishMs)
  })

  test('refuses queued work that the time of its answer makes late, with a retry delay', () => {
    const ahead = [work('encode', 7)]
    expect(decide(createRequest({ targetMs: 1200 }), ahead, 100).isAdmitted).toBe(true)
    expect(decide(createRequest({ targetMs: 1200 }), ahead, 400)).toMatchObject({ isAdmitted: false, retryAfterMs: 540 })
  })

  test('admits work that misses its target without any wait', () => {
    expect(decide(createRequest(), [], 2000).isAdmitted).toBe(true)
  })

  test('refuses work without a backend server at once', () => {
    const decision = decideAdmission({ request: createRequest(), rank: 1, answerMs: 100, correctionFactor: 1 }, [], () => ({ ...THROUGHPUT, backends: 0 }))
    expect(decision).toMatchObject({ isAdmitted: false, finishMs: Number.POSITIVE_INFINITY })
  })
})

describe('the rank of a request', () => {
  test('is lower if its answer takes longer, so that it meets the same target', () => {
    expect(rankRequest(createRequest(), 500, 0)).toBeLessThan(rankRequest(createRequest(), 100, 0))
  })

  test('is lower for a more urgent request, but does not starve others', () => {
    const urgent = rankRequest(createRequest({ priority: 0 }), 100, 400)
    expect(urgent).toBeLessThan(rankRequest(createRequest({ priority: 2 }), 100, 0))
    expect(urgent).toBeGreaterThan(rankRequest(createRequest({ priority: 1 }), 100, 0))
  })
})
