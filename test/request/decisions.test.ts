import type { AdmissionView, ChoiceCandidate, ChoiceContext } from '@eidermast/daemon'
import { ErrorKind } from '@eidermast/common'
import { AdmitAll, BudgetRetry, DeadlineAdmission, DeadlineQueue, FixedRetry, PredictedChoice, predictFinishMs, predictWaitMs, preferByHash, Priority, RefusalReason, ReservedBudget, RoundRobinChoice, WholeBudget } from '@eidermast/daemon'
import { describe, expect, test } from 'vitest'
import { createLoad, createStageCall } from '../support/fixtures.js'

function createCandidate(overrides: Partial<ChoiceCandidate> = {}): ChoiceCandidate {
  return { backendName: 'a', failureDomain: 'domain-a', load: createLoad({ slots: 4 }), outstanding: 0, sentSinceReport: 0, ...overrides }
}

const CONTEXT: ChoiceContext = { priority: Priority.Normal, failureDomain: 'domain-a', prefixKey: 'prefix' }

describe('the predicted wait', () => {
  test.each([
    ['nothing while a slot is free', createCandidate({ load: createLoad({ slots: 4, running: 3 }) }), 0],
    ['one service time by slots when all are taken', createCandidate({ load: createLoad({ slots: 4, running: 4 }) }), 2.5],
    ['what this entry sent since the report', createCandidate({ load: createLoad({ slots: 1, running: 0 }), sentSinceReport: 2 }), 20],
    ['at least what this entry has under way', createCandidate({ load: createLoad({ slots: 1, running: 0 }), outstanding: 3 }), 30],
    ['only work that goes before', createCandidate({ load: createLoad({ slots: 1, running: 1, queued: { high: 1, normal: 0, low: 9 } }) }), 20],
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
    expect(new PredictedChoice(() => 0).choose(candidates, CONTEXT)).toBe(preferByHash(candidates, CONTEXT.prefixKey))
  })

  test('leaves a warm cache whose queue is long', () => {
    const warm = preferByHash(candidates, CONTEXT.prefixKey)
    const busy = candidates.map(candidate => candidate === warm ? { ...candidate, load: createLoad({ slots: 1, running: 1, queued: { high: 9, normal: 0, low: 0 } }) } : candidate)
    const cold = busy.findIndex(candidate => candidate.backendName !== warm.backendName)
    expect(new PredictedChoice(() => cold / 4).choose(busy, CONTEXT).backendName).not.toBe(warm.backendName)
  })

  test('moves only the keys of a backend server that goes', () => {
    const keys = Array.from({ length: 200 }, (_, index) => `key ${index}`)
    const without = candidates.filter(candidate => candidate.backendName !== 'b')
    for (const key of keys) {
      const before = preferByHash(candidates, key)
      if (before.backendName !== 'b')
        expect(preferByHash(without, key)).toBe(before)
    }
  })

  test('goes round in the baseline', () => {
    const choice = new RoundRobinChoice()
    const chosen = Array.from({ length: 4 }, () => choice.choose(candidates).backendName)
    expect(new Set(chosen).size).toBe(4)
  })
})

describe('admission', () => {
  const view: AdmissionView = { inFlight: 10, inFlightLimit: 100, accountInFlight: 2, accountShare: 0.5, deadlineMs: 1000, expectedMs: 100, expectedWaitMs: 0 }

  test.each([
    ['takes in what can meet its deadline', {}, undefined],
    ['sheds what has no room', { inFlight: 100 }, ErrorKind.Overloaded],
    ['sheds what has no backend server', { expectedMs: undefined }, ErrorKind.NoBackend],
    ['sheds what cannot meet its deadline', { expectedMs: 1500, expectedWaitMs: 1400 }, ErrorKind.DeadlineUnreachable],
    ['takes in an account over its share while nobody waits', { accountInFlight: 10 }, undefined],
    ['sheds an account over its share when waits grow', { accountInFlight: 10, expectedWaitMs: 400 }, ErrorKind.AccountOverShare],
    ['takes in an account within its share when waits grow', { accountInFlight: 3, expectedWaitMs: 400 }, undefined],
  ])('%s', (_name, change, kind) => {
    expect(new DeadlineAdmission().decide({ ...view, ...change })?.kind).toBe(kind)
  })

  test('takes in whatever has room in the baseline', () => {
    expect(new AdmitAll().decide({ ...view, expectedMs: 9000 })).toBeUndefined()
    expect(new AdmitAll().decide({ ...view, inFlight: 100 })?.kind).toBe(ErrorKind.Overloaded)
  })
})

describe('retries', () => {
  test('are a share of recent calls', () => {
    const retry = new BudgetRetry()
    while (retry.take(1));
    for (let index = 0; index < 11; index++)
      retry.recordCall()
    expect([retry.take(1), retry.take(1), retry.take(1)]).toEqual([true, true, false])
  })

  test('are a fixed number in the baseline', () => {
    expect([1, 2, 3].map(attempt => new FixedRetry().take(attempt))).toEqual([true, true, false])
  })
})

describe('a stage\'s budget', () => {
  test('keeps the later stages\' time free, but never all of it', () => {
    expect(new ReservedBudget().budgetMs(1000, [100, 200])).toBe(700)
    expect(new ReservedBudget().budgetMs(1000, [5000])).toBe(250)
    expect(new WholeBudget().budgetMs(1000)).toBe(1000)
  })
})

describe('the deadline queue', () => {
  const server = { now: 0, running: 1, slots: 1 }

  function createWaiting(priority: Priority, finishBy: number, expectedServiceMs = 0) {
    return { call: createStageCall({ priority }), arrivedAt: 0, finishBy, expectedServiceMs }
  }

  test('serves priority first, then the earliest deadline', () => {
    const queue = new DeadlineQueue({ limit: 10, bytes: 1000 })
    const waiting = [createWaiting(Priority.Low, 10), createWaiting(Priority.High, 900), createWaiting(Priority.Normal, 500), createWaiting(Priority.High, 100)]
    waiting.forEach(call => queue.offer(call, server))
    const order = [1, 2, 3, 4].map(() => queue.take(0).next)
    expect(order).toEqual([waiting[3], waiting[1], waiting[2], waiting[0]])
  })

  test('refuses at once what cannot finish in time behind the others', () => {
    const queue = new DeadlineQueue({ limit: 10, bytes: 1000 })
    queue.offer(createWaiting(Priority.High, 1000, 100), server)
    expect(queue.offer(createWaiting(Priority.Normal, 240, 100), server)).toBe(RefusalReason.Late)
    expect(queue.offer(createWaiting(Priority.Normal, 300, 100), server)).toBeUndefined()
  })

  test('gives up what can no longer finish when its turn comes', () => {
    const queue = new DeadlineQueue({ limit: 10, bytes: 1000 })
    const late = createWaiting(Priority.High, 300, 100)
    const good = createWaiting(Priority.Low, 1000, 100)
    queue.offer(late, server)
    queue.offer(good, server)
    expect(queue.take(250)).toEqual({ next: good, late: [late] })
  })
})
