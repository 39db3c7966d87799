import type { ChoiceCandidate, ChoiceContext, Load } from '@eidermast/daemon'
import { PredictedChoice, predictFinishMs, predictWaitMs, Priority, RoundRobinChoice, selectByRendezvousHash } from '@eidermast/daemon'
import { describe, expect, test } from 'vitest'
import { createLoad } from '../../support/fixtures.js'

function createCandidate(overrides: Partial<ChoiceCandidate> = {}): ChoiceCandidate {
  return { backendName: 'a', failureDomain: 'domain-a', load: createLoad({ slots: 4 }), outstanding: 0, sentSinceReport: 0, ...overrides }
}

/** Creates the load of a backend server whose only slot is occupied. */
function createBusyLoad(queued: Load['queued']): Load {
  return createLoad({ slots: 1, running: 1, queued })
}

const CONTEXT: ChoiceContext = { priority: Priority.Normal, failureDomain: 'domain-a', prefixKey: 'prefix' }

describe('the predicted wait', () => {
  test.each([
    ['no wait while a slot is free', createCandidate({ load: createLoad({ slots: 4, running: 3 }) }), 0],
    ['the service time divided by the slots if all are occupied', createCandidate({ load: createLoad({ slots: 4, running: 4 }) }), 2.5],
    ['calls of this entry since the last report', createCandidate({ load: createLoad({ slots: 1, running: 0 }), sentSinceReport: 2 }), 20],
    ['at least the outstanding calls of this entry', createCandidate({ load: createLoad({ slots: 1, running: 0 }), outstanding: 3 }), 30],
    ['only queued calls of the same or a higher priority', createCandidate({ load: createBusyLoad({ high: 1, normal: 0, low: 9 }) }), 20],
  ])('counts %s', (_name, candidate, milliseconds) => {
    expect(predictWaitMs(candidate, Priority.Normal)).toBe(milliseconds)
  })

  test('is combined with a preference for the same failure domain and a warm cache', () => {
    const near = predictFinishMs(createCandidate(), CONTEXT, false)
    expect(predictFinishMs(createCandidate({ failureDomain: 'domain-b' }), CONTEXT, false)).toBeGreaterThan(near)
    expect(predictFinishMs(createCandidate(), CONTEXT, true)).toBeLessThan(near)
  })
})

describe('backend server selection', () => {
  const candidates = ['a', 'b', 'c', 'd'].map(backendName => createCandidate({ backendName }))

  test('prefers the server most likely to have a warm cache if no server is busy', () => {
    expect(new PredictedChoice(() => 0).choose(candidates, CONTEXT)).toBe(selectByRendezvousHash(candidates, CONTEXT.prefixKey))
  })

  test('prefers a cold cache to a warm one with a long queue', () => {
    const warm = selectByRendezvousHash(candidates, CONTEXT.prefixKey)
    const load = createBusyLoad({ high: 9, normal: 0, low: 0 })
    const busy = candidates.map(candidate => candidate === warm ? { ...candidate, load } : candidate)
    const cold = busy.findIndex(candidate => candidate.backendName !== warm.backendName)
    expect(new PredictedChoice(() => cold / 4).choose(busy, CONTEXT).backendName).not.toBe(warm.backendName)
  })

  test('moves only the keys of a removed backend server', () => {
    const keys = Array.from({ length: 200 }, (_, index) => `key ${index}`)
    const without = candidates.filter(candidate => candidate.backendName !== 'b')
    for (const key of keys) {
      const before = selectByRendezvousHash(candidates, key)
      if (before.backendName !== 'b')
        expect(selectByRendezvousHash(without, key)).toBe(before)
    }
  })

  test('cycles through the candidates with the round-robin baseline', () => {
    const choice = new RoundRobinChoice()
    const chosen = Array.from({ length: 4 }, () => choice.choose(candidates).backendName)
    expect(new Set(chosen).size).toBe(4)
  })
})
