import type { BackendForecast, BatchInput, ItemFailureCause, ItemRetryDecision, PoolTask, ResultHolder, StageTask } from '@eidermast/gateway'
import {
  BatchReason,
  CallForecasts,
  createPoolTask,
  decideItemRetry,
  decideStageFailure,
  effectiveRank,
  findBetterDomain,
  inputsFetchedAfterMs,
  ItemFailure,
  selectBatch,
  StageCallEnd,
  StageFailureDecision,
} from '@eidermast/gateway'
import { describe, expect, test, vi } from 'vitest'

function createTask(overrides: Partial<StageTask> = {}): StageTask {
  return {
    fingerprint: undefined,
    partFingerprints: [],
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

describe('the selection of a batch', () => {
  function choose(tasks: PoolTask[], options: Partial<BatchInput> = {}) {
    const entries = selectBatch({ tasks, isIsolated: () => false, maxItems: 4, targetItems: 4, freeBytes: 1000, betterDomain: () => undefined, nextCalls: () => ({ slots: 4, freeBytes: 1000 }), ...options })
    return entries.map(part => [tasks.indexOf(part.task), part.items, part.reason])
  }

  test('adds whole tasks in order and splits none after the first', () => {
    const tasks = [2, 3, 2].map(items => createPoolTask(createTask({ items })))
    expect(choose(tasks)).toEqual([[0, 2, BatchReason.SuitsDomain], [2, 2, BatchReason.SuitsDomain]])
  })

  test('leaves tasks to the next calls once it has its share of the waiting items', () => {
    const tasks = [2, 1, 1].map(items => createPoolTask(createTask({ items })))
    expect(choose(tasks, { targetItems: 2 })).toEqual([[0, 2, BatchReason.SuitsDomain]])
    expect(choose(tasks, { targetItems: 3 })).toEqual([[0, 2, BatchReason.SuitsDomain], [1, 1, BatchReason.SuitsDomain]])
  })

  test('takes a whole task even if its share is smaller', () => {
    expect(choose([createPoolTask(createTask({ items: 3 }))], { targetItems: 1 })).toEqual([[0, 3, BatchReason.SuitsDomain]])
  })

  test('splits the first task of the call if slots or memory run out', () => {
    expect(choose([createPoolTask(createTask({ items: 6 }))])).toEqual([[0, 4, BatchReason.SuitsDomain]])
    expect(choose([createPoolTask(createTask({ items: 3 }))], { freeBytes: 25 })).toEqual([[0, 2, BatchReason.SuitsDomain]])
  })

  describe('if tasks wait for another failure domain', () => {
    /** Stage 0 runs here; the others wait for a failure domain named after their stage. */
    const betterDomain = ({ stage }: StageTask): string | undefined => stage === 0 ? undefined : `domain-${stage}`
    const here = (): PoolTask => createPoolTask(createTask({ items: 1 }))
    const elsewhere = (items: number, stage = 1): PoolTask => createPoolTask(createTask({ items, stage }))

    test('leaves tasks to its next calls up to their capacity, however empty this call is', () => {
      expect(choose([here(), elsewhere(2), elsewhere(2)], { betterDomain })).toEqual([[0, 1, BatchReason.SuitsDomain]])
      expect(choose([elsewhere(4)], { betterDomain })).toEqual([])
    })

    test.each([
      ['slots', { slots: 2, freeBytes: 1000 }],
      ['memory', { slots: 4, freeBytes: 39 }],
    ])('fills the call with tasks for which those have no %s', (_name, capacity) => {
      const nextCalls = () => ({ ...capacity })
      expect(choose([here(), elsewhere(2), elsewhere(2)], { betterDomain, nextCalls })).toEqual([[0, 1, BatchReason.SuitsDomain], [2, 2, BatchReason.FillsCall]])
    })

    test('counts the capacity of each failure domain separately', () => {
      expect(choose([here(), elsewhere(3, 1), elsewhere(3, 2)], { betterDomain })).toEqual([[0, 1, BatchReason.SuitsDomain]])
    })

    test('adds tasks that should run here first, even if they come later', () => {
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

  /** Creates a task with one input of some bytes in `domain-b`. */
  function reader(bytes: number, targetAt = 10_000): StageTask {
    const holder = { failureDomain: 'domain-b' } as ResultHolder
    return createTask({ items: 1, inputs: [{ handle: 'handle', holder, bytes }], targetAt })
  }

  test.each([
    ['is not worth it for a few cross-domain bytes', reader(100), forecast('domain-b'), undefined],
    ['is worth it if the bytes saved outweigh the delay', reader(800_000), forecast('domain-b', 150), 'domain-b'],
    ['is not worth it if the delay outweighs the bytes saved', reader(400_000), forecast('domain-b', 150), undefined],
    ['never exceeds 400 ms', reader(8_000_000), forecast('domain-b', 400), undefined],
    ['never extends into the margin before the target', reader(8_000_000, 600), forecast('domain-b', 100), undefined],
    ['does not happen for a paused backend server', reader(8_000_000), forecast('domain-b', 0, false), undefined],
    ['does not happen for a failure domain that is no better', reader(8_000_000), forecast('domain-c'), undefined],
  ])('%s', (_name, task, other, domain) => {
    expect(findBetterDomain(task, HERE, new CallForecasts([HERE, other], 0), 0)).toBe(domain)
  })
})

describe('the effective rank of a waiting task', () => {
  const CALL_MS = 300
  const inTime = createTask({ rank: 1300, targetAt: 1000, remainingMs: 250 })

  test.each([
    ['is its rank while it can meet its target', createTask({ rank: 1000, targetAt: 1000, remainingMs: 250 }), true],
    ['is higher if it cannot meet its target', createTask({ rank: 1000, targetAt: 1000, remainingMs: 701 }), false],
    ['does not starve a late task', createTask({ rank: -300, targetAt: 1000, remainingMs: 701 }), true],
  ])('%s', (_name, task, goesFirst) => {
    expect(effectiveRank(task, CALL_MS, 0) < effectiveRank(inTime, CALL_MS, 0)).toBe(goesFirst)
  })
})

describe('the retry of an item', () => {
  test.each<[string, ItemFailureCause, number, ItemRetryDecision]>([
    ['is retried after an error', ItemFailure.Error, 1, { isRetried: true }],
    ['is retried after a call that was not sent, however often it failed', StageCallEnd.NotSent, 9, { isRetried: true }],
    ['fails its task after the third failed call', StageCallEnd.Broken, 3, { isRetried: false, failure: ItemFailure.Error }],
    ['fails its task if an input is lost', ItemFailure.InputGone, 1, { isRetried: false, failure: ItemFailure.InputGone }],
    ['fails its task if it is late', ItemFailure.Late, 1, { isRetried: false, failure: ItemFailure.Late }],
  ])('%s', (_name, cause, failures, decision) => {
    expect(decideItemRetry(cause, failures, () => true)).toEqual(decision)
  })

  test('consumes the retry budget only if the decision depends on it', () => {
    const consumeBudget = vi.fn(() => false)
    expect(decideItemRetry(ItemFailure.Error, 1, consumeBudget)).toEqual({ isRetried: false, failure: ItemFailure.Error })
    expect(consumeBudget).toHaveBeenCalledTimes(1)
    decideItemRetry(ItemFailure.Late, 1, consumeBudget)
    decideItemRetry(StageCallEnd.NotSent, 1, consumeBudget)
    decideItemRetry(ItemFailure.Error, 3, consumeBudget)
    expect(consumeBudget).toHaveBeenCalledTimes(1)
  })
})

describe('a failed stage', () => {
  test.each([
    ['restarts the request', ItemFailure.Error, 1, false, StageFailureDecision.Restart],
    ['ends a request that was restarted twice', ItemFailure.Error, 2, false, StageFailureDecision.Abandon],
    ['ends a request that is late', ItemFailure.Late, 0, false, StageFailureDecision.TooLate],
    ['is left to the next coordinator during a handover', ItemFailure.Late, 0, true, StageFailureDecision.HandOver],
  ])('%s', (_name, failure, restarts, handingOver, decision) => {
    expect(decideStageFailure({ failure, restarts, handingOver })).toBe(decision)
  })
})

describe('the inputs of a call', () => {
  const INPUT = { inputBytes: 1_000_000, bandwidthMbps: 1000, mayQueueBehindOther: false }

  test('count as fetched after three times the transfer time plus 80 ms', () => {
    expect(inputsFetchedAfterMs(INPUT)).toBe(104)
  })

  test.each([
    ['another coordinator may be active', { mayQueueBehindOther: true }],
    ['the bandwidth is unknown', { bandwidthMbps: 0 }],
    ['there are none', { inputBytes: 0 }],
  ])('count as fetched only at its end if %s', (_name, override) => {
    expect(inputsFetchedAfterMs({ ...INPUT, ...override })).toBeUndefined()
  })
})
