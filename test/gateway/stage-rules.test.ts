import type { BackendForecast, BatchInput, ItemFailureCause, ItemRetryDecision, PoolTask, ResultHolder, StageTask } from '@eidermast/gateway'
import {
  BatchReason,
  CallForecasts,
  chooseBatch,
  createPoolTask,
  decideItemRetry,
  decideStageFailure,
  effectiveRank,
  findBetterDomain,
  inputsFetchedAfterMs,
  ItemFailure,
  StageCallEnd,
  StageFailureDecision,
} from '@eidermast/gateway'
import { describe, expect, test, vi } from 'vitest'

function createTask(overrides: Partial<StageTask> = {}): StageTask {
  return {
    fingerprint: undefined,
    requestId: 'request-1',
    stage: 0,
    service: 'encode',
    items: 2,
    resultBytes: 10,
    key: 'key',
    inputs: [],
    readerDomain: undefined,
    rank: 0,
    targetAt: 10_000,
    deadlineAt: 20_000,
    remainingMs: 250,
    listener: { inputsFetched: () => {}, completed: () => {}, failed: () => {} },
    ...overrides,
  }
}

describe('the choice of a batch', () => {
  function choose(tasks: PoolTask[], options: Partial<BatchInput> = {}) {
    const parts = chooseBatch({ tasks, isIsolated: () => false, maxItems: 4, targetItems: 4, freeBytes: 1000, betterDomain: () => undefined, nextCalls: () => ({ slots: 4, freeBytes: 1000 }), ...options })
    return parts.map(part => [tasks.indexOf(part.task), part.items, part.reason])
  }

  test('adds whole tasks in their order and splits none behind them', () => {
    const tasks = [2, 3, 2].map(items => createPoolTask(createTask({ items })))
    expect(choose(tasks)).toEqual([[0, 2, BatchReason.SuitsDomain], [2, 2, BatchReason.SuitsDomain]])
  })

  test('leaves tasks to the next calls once it has its part of what waits', () => {
    const tasks = [2, 1, 1].map(items => createPoolTask(createTask({ items })))
    expect(choose(tasks, { targetItems: 2 })).toEqual([[0, 2, BatchReason.SuitsDomain]])
    expect(choose(tasks, { targetItems: 3 })).toEqual([[0, 2, BatchReason.SuitsDomain], [1, 1, BatchReason.SuitsDomain]])
  })

  test('takes a task whole also where its part is smaller', () => {
    expect(choose([createPoolTask(createTask({ items: 3 }))], { targetItems: 1 })).toEqual([[0, 3, BatchReason.SuitsDomain]])
  })

  test('splits the task that opens the call where places or memory end', () => {
    expect(choose([createPoolTask(createTask({ items: 6 }))])).toEqual([[0, 4, BatchReason.SuitsDomain]])
    expect(choose([createPoolTask(createTask({ items: 3 }))], { freeBytes: 25 })).toEqual([[0, 2, BatchReason.SuitsDomain]])
  })

  describe('where tasks wait for another failure domain', () => {
    /** Stage 0 runs here; the others wait for a failure domain that their stage names. */
    const betterDomain = ({ stage }: StageTask): string | undefined => stage === 0 ? undefined : `domain-${stage}`
    const here = (): PoolTask => createPoolTask(createTask({ items: 1 }))
    const elsewhere = (items: number, stage = 1): PoolTask => createPoolTask(createTask({ items, stage }))

    test('leaves to it what its next calls can take, however empty this one is', () => {
      expect(choose([here(), elsewhere(2), elsewhere(2)], { betterDomain })).toEqual([[0, 1, BatchReason.SuitsDomain]])
      expect(choose([elsewhere(4)], { betterDomain })).toEqual([])
    })

    test.each([
      ['places', { slots: 2, freeBytes: 1000 }],
      ['memory', { slots: 4, freeBytes: 39 }],
    ])('fills the call with what those have no %s for', (_name, capacity) => {
      const nextCalls = () => ({ ...capacity })
      expect(choose([here(), elsewhere(2), elsewhere(2)], { betterDomain, nextCalls })).toEqual([[0, 1, BatchReason.SuitsDomain], [2, 2, BatchReason.FillsCall]])
    })

    test('counts the next calls of each failure domain apart', () => {
      expect(choose([here(), elsewhere(3, 1), elsewhere(3, 2)], { betterDomain })).toEqual([[0, 1, BatchReason.SuitsDomain]])
    })

    test('fills the call behind what should run here, also where that comes later', () => {
      const nextCalls = () => ({ slots: 0, freeBytes: 0 })
      expect(choose([elsewhere(3), here(), here()], { betterDomain, nextCalls })).toEqual([[1, 1, BatchReason.SuitsDomain], [2, 1, BatchReason.SuitsDomain]])
    })
  })
})

describe('the wait for a better failure domain', () => {
  const HERE = forecast('domain-a')

  function forecast(failureDomain: string, startsInMs = 0, isUsable = true): BackendForecast {
    return { failureDomain, isUsable: () => isUsable, msUntilNextCall: () => startsInMs, expectedCallMs: () => 100 }
  }

  /** A task with one input of this size in `domain-b`. */
  function reader(bytes: number, targetAt = 10_000): StageTask {
    const holder = { failureDomain: 'domain-b' } as ResultHolder
    return createTask({ items: 1, inputs: [{ handle: 'handle', holder, bytes }], targetAt })
  }

  test.each([
    ['runs here where next to no bytes cross', reader(100), forecast('domain-b'), undefined],
    ['waits where the bytes saved are worth more than the delay', reader(800_000), forecast('domain-b', 150), 'domain-b'],
    ['runs here where the delay costs more than the bytes', reader(400_000), forecast('domain-b', 150), undefined],
    ['never waits longer than 400 ms', reader(8_000_000), forecast('domain-b', 400), undefined],
    ['never waits into the time before its target', reader(8_000_000, 600), forecast('domain-b', 100), undefined],
    ['does not wait for a backend server that gets no calls', reader(8_000_000), forecast('domain-b', 0, false), undefined],
    ['does not wait for one in a failure domain that is no better', reader(8_000_000), forecast('domain-c'), undefined],
  ])('%s', (_name, task, other, domain) => {
    expect(findBetterDomain(task, HERE, new CallForecasts([HERE, other], 0), 0)).toBe(domain)
  })
})

describe('the order of waiting tasks', () => {
  const CALL_MS = 300
  const inTime = createTask({ rank: 1300, targetAt: 1000, remainingMs: 250 })

  test.each([
    ['go by their rank while they can meet their targets', createTask({ rank: 1000, targetAt: 1000, remainingMs: 250 }), true],
    ['let those go first that can meet their target', createTask({ rank: 1000, targetAt: 1000, remainingMs: 701 }), false],
    ['do not let one that is late wait for ever', createTask({ rank: -300, targetAt: 1000, remainingMs: 701 }), true],
  ])('%s', (_name, task, goesFirst) => {
    expect(effectiveRank(task, CALL_MS, 0) < effectiveRank(inTime, CALL_MS, 0)).toBe(goesFirst)
  })
})

describe('the retry of an item', () => {
  test.each<[string, ItemFailureCause, number, ItemRetryDecision]>([
    ['is retried after an error', ItemFailure.Error, 1, { isRetried: true }],
    ['is retried after a call that reached nobody, however often it failed', StageCallEnd.NotSent, 9, { isRetried: true }],
    ['fails its task after the third failed call', StageCallEnd.Broken, 3, { isRetried: false, failure: ItemFailure.Error }],
    ['fails its task where an input is gone', ItemFailure.InputGone, 1, { isRetried: false, failure: ItemFailure.InputGone }],
    ['fails its task where it is late', ItemFailure.Late, 1, { isRetried: false, failure: ItemFailure.Late }],
  ])('%s', (_name, cause, failures, decision) => {
    expect(decideItemRetry(cause, failures, () => true)).toEqual(decision)
  })

  test('uses the budget only for what it decides', () => {
    const takeBudget = vi.fn(() => false)
    expect(decideItemRetry(ItemFailure.Error, 1, takeBudget)).toEqual({ isRetried: false, failure: ItemFailure.Error })
    expect(takeBudget).toHaveBeenCalledTimes(1)
    decideItemRetry(ItemFailure.Late, 1, takeBudget)
    decideItemRetry(StageCallEnd.NotSent, 1, takeBudget)
    decideItemRetry(ItemFailure.Error, 3, takeBudget)
    expect(takeBudget).toHaveBeenCalledTimes(1)
  })
})

describe('a failed stage', () => {
  test.each([
    ['restarts the request', ItemFailure.Error, 1, false, StageFailureDecision.Restart],
    ['ends a request that was restarted twice', ItemFailure.Error, 2, false, StageFailureDecision.Abandon],
    ['ends a request whose time is up', ItemFailure.Late, 0, false, StageFailureDecision.TooLate],
    ['is left to the next coordinator during a handover', ItemFailure.Late, 0, true, StageFailureDecision.HandOver],
  ])('%s', (_name, failure, restarts, handingOver, decision) => {
    expect(decideStageFailure({ failure, restarts, handingOver })).toBe(decision)
  })
})

describe('the inputs of a call', () => {
  const INPUT = { inputBytes: 1_000_000, bandwidthMbps: 1000, mayQueueBehindOther: false }

  test('count as fetched after three times the transfer and 80 ms', () => {
    expect(inputsFetchedAfterMs(INPUT)).toBe(104)
  })

  test.each([
    ['another coordinator may be at work', { mayQueueBehindOther: true }],
    ['the speed of the link is unknown', { bandwidthMbps: 0 }],
    ['there are none', { inputBytes: 0 }],
  ])('count as fetched only at its end where %s', (_name, override) => {
    expect(inputsFetchedAfterMs({ ...INPUT, ...override })).toBeUndefined()
  })
})
