import type { AdmittedWork, PreparationRequest, PreparationStage, ServiceThroughput } from '@eidermast/gateway'
import { decideAdmission, rankRequest } from '@eidermast/gateway'
import { describe, expect, test } from 'vitest'

const PACE: ServiceThroughput = { backends: 1, itemMs: 100, callMs: 300 }
const CHAIN: PreparationStage[] = [
  { service: 'encode', dependsOn: [], resultBytes: 10, items: 1 },
  { service: 'rerank', dependsOn: [0], resultBytes: 10, items: 1 },
]

function createRequest(overrides: Partial<PreparationRequest> = {}): PreparationRequest {
  return { requestId: 'request-1', stages: CHAIN, key: '', priority: 0, targetMs: 1000, deadlineMs: 4000, isRetry: false, failureDomain: 'domain-a', ...overrides }
}

function decide(request: PreparationRequest, ahead: AdmittedWork[], answerMs = 100) {
  return decideAdmission({ request, rank: 1, answerMs, correctionFactor: 1 }, ahead, () => PACE)
}

/** Admitted work with items of one service left. */
function work(service: string, items: number, rank = 0): AdmittedWork {
  return { rank, remainingItems: other => other === service ? items : 0 }
}

describe('admission of stage work', () => {
  test.each([
    ['alone takes its own way', [], 700],
    ['waits for what goes before in its first stage', [work('encode', 6)], 1100],
    ['does not wait in a later stage for what is done before it gets there', [work('rerank', 5)], 700],
    ['waits in a later stage for what is not done by then', [work('rerank', 9)], 1100],
    ['waits for the longer of two stages, not for both', [work('encode', 6), work('rerank', 10)], 1200],
    ['does not wait for what goes behind it', [work('encode', 6, 2)], 700],
  ])('%s', (_name, ahead, finishMs) => {
    expect(decide(createRequest(), ahead).finishMs).toBe(finishMs)
  })

  test('refuses what its answer alone would make late behind others, with a time to come back', () => {
    const ahead = [work('encode', 7)]
    expect(decide(createRequest({ targetMs: 1200 }), ahead, 100).isAdmitted).toBe(true)
    expect(decide(createRequest({ targetMs: 1200 }), ahead, 400)).toMatchObject({ isAdmitted: false, retryAfterMs: 540 })
  })

  test('admits what no wait makes late', () => {
    expect(decide(createRequest(), [], 2000).isAdmitted).toBe(true)
  })

  test('refuses at once what has no backend server', () => {
    const decision = decideAdmission({ request: createRequest(), rank: 1, answerMs: 100, correctionFactor: 1 }, [], () => ({ ...PACE, backends: 0 }))
    expect(decision).toMatchObject({ isAdmitted: false, finishMs: Number.POSITIVE_INFINITY })
  })
})

describe('the order of requests', () => {
  test('puts one first whose answer takes longer, so that it meets the same target', () => {
    expect(rankRequest(createRequest(), 500, 0)).toBeLessThan(rankRequest(createRequest(), 100, 0))
  })

  test('puts more urgent ones first, but not for ever', () => {
    const urgent = rankRequest(createRequest({ priority: 0 }), 100, 400)
    expect(urgent).toBeLessThan(rankRequest(createRequest({ priority: 2 }), 100, 0))
    expect(urgent).toBeGreaterThan(rankRequest(createRequest({ priority: 1 }), 100, 0))
  })
})
