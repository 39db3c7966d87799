import type { ChoiceCandidate, ChoiceContext, Load } from '@eidermast/daemon'
import { PredictedChoice, predictFinishMs, predictWaitMs, Priority, RoundRobinChoice, selectByRendezvousHash } from '@eidermast/daemon'
import { describe, expect, test } from 'vitest'
import { createLoad } from '../../support/fixtures.js'

function createCandidate(overrides: Partial<ChoiceCandidate> = {}): ChoiceCandidate {
  return { backendName: 'a', failureDomain: 'domain-a', load: createLoad({ slots: 4 }), outstanding: 0, sentSinceReport: 0, ...overrides }
}

/** The load of a backend server whose one slot is taken. */
function createBusyLoad(queued: Load['queued']): Load {
  return createLoad({ slots: 1, running: 1, queued })
}

const CONTEXT: ChoiceContext = { priority: Priority.Normal, failureDomain: 'domain-a', prefixKey: 'prefix' }

describe('the predicted wait', () => {
  test.each([
    ['nothing while a slot is free', createCandidate({ load: createLoad({ slots: 4, running: 3 }) }), 0],
    ['one service time by slots when all are taken', createCandidate({ load: createLoad({ slots: 4, running: 4 }) }), 2.5],
    ['what this entry sent since the report', createCandidate({ load: createLoad({ slots: 1, running: 0 }), sentSinceReport: 2 }), 20],
    ['at least what this entry has under way', createCandidate({ load: createLoad({ slots: 1, running: 0 }), outstanding: 3 }), 30],
    ['only work that goes before', createCandidate({ load: createBusyLoad({ high: 1, normal: 0, low: 9 }) }), 20],
  ])('counts %s', (_name, candidate, milliseconds) => {
    expect(predictWaitMs(candidate, Priority.Normal)).toBe(milliseconds)
  })

  test('prefers the same failure domain and a warm cache', () => {
    const near = predictFinishMs(createCandidate(), CONTEXT, false)
    expect(predictFinishMs(createCandidate({ failureDomain: 'domain-b' }), CONTEXT, false)).toBeGreaterThan(near)
    expect(predictFinishMs(createCandidate(), CONTEXT, true)).toBeLessThan(near)
  })
})

describe('choosing a backend server', () => {
  const candidates = ['a', 'b', 'c', 'd'].map(backendName => createCandidate({ backendName }))

  test('takes the likeliest warm cache while nobody waits', () => {
    expect(new PredictedChoice(() => 0).choose(candidates, CONTEXT)).toBe(selectByRendezvousHash(candidates, CONTEXT.prefixKey))
  })

  test('prefers a cold cache to a warm one whose queue is long', () => {
    const warm = selectByRendezvousHash(candidates, CONTEXT.prefixKey)
    const load = createBusyLoad({ high: 9, normal: 0, low: 0 })
    const busy = candidates.map(candidate => candidate === warm ? { ...candidate, load } : candidate)
    const cold = busy.findIndex(candidate => candidate.backendName !== warm.backendName)
    expect(new PredictedChoice(() => cold / 4).choose(busy, CONTEXT).backendName).not.toBe(warm.backendName)
  })

  test('moves only the keys of a backend server that is removed', () => {
    const keys = Array.from({ length: 200 }, (_, index) => `key ${index}`)
    const without = candidates.filter(candidate => candidate.backendName !== 'b')
    for (const key of keys) {
      const before = selectByRendezvousHash(candidates, key)
      if (before.backendName !== 'b')
        expect(selectByRendezvousHash(without, key)).toBe(before)
    }
  })

  test('takes one after the other in the baseline', () => {
    const choice = new RoundRobinChoice()
    const chosen = Array.from({ length: 4 }, () => choice.choose(candidates).backendName)
    expect(new Set(chosen).size).toBe(4)
  })
})
