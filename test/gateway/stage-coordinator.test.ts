import { ItemFailure, PreparationFailureKind, StageCallEnd } from '@eidermast/gateway'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { createRecord } from './support/fakes.js'
import { createCoordinator, createStageRequest, NEVER, TWO_STAGES } from './support/stage-coordinator.js'

beforeEach(() => void vi.useFakeTimers())
afterEach(() => void vi.useRealTimers())

describe('the stage coordinator', () => {
  test('runs every item of every stage once and returns the last stage\'s results', async () => {
    const { stageCoordinator, service } = createCoordinator([{ id: 'encode-a' }, { id: 'rerank-a', service: 'rerank' }])
    const prepared = stageCoordinator.prepare(createStageRequest({ stages: TWO_STAGES }), NEVER)
    await vi.advanceTimersByTimeAsync(2000)
    expect((await prepared).unwrap().handles).toEqual(['rerank-a/2'])
    expect(service.calls.map(call => call.items.map(item => `${item.stage}.${item.index}`))).toEqual([['0.0', '0.1'], ['1.0']])
    expect(service.calls[1].items[0].inputs).toEqual(['encode-a/0', 'encode-a/1'])
  })

  test('batches items of many requests into one call', async () => {
    const { stageCoordinator, service } = createCoordinator([{ id: 'encode-a' }])
    const requests = ['first', 'second', 'third'].map(requestId => stageCoordinator.prepare(createStageRequest({ requestId }), NEVER))
    await vi.advanceTimersByTimeAsync(2000)
    await Promise.all(requests)
    expect(service.calls.map(call => call.items.length)).toEqual([2, 4])
  })

  test('frees results when their last reader has fetched them, and all results of a released request', async () => {
    const { stageCoordinator, service } = createCoordinator([{ id: 'encode-a' }, { id: 'rerank-a', service: 'rerank' }])
    const prepared = stageCoordinator.prepare(createStageRequest({ stages: TWO_STAGES }), NEVER)
    await vi.advanceTimersByTimeAsync(2000)
    await prepared
    expect(service.freed).toEqual(['encode-a/0', 'encode-a/1'])
    stageCoordinator.release('request-1')
    await vi.advanceTimersByTimeAsync(100)
    expect(service.live.size).toBe(0)
  })

  test('frees the results of a request whose client has disconnected', async () => {
    const { stageCoordinator, service } = createCoordinator([{ id: 'encode-a' }])
    const leaving = new AbortController()
    const prepared = stageCoordinator.prepare(createStageRequest(), leaving.signal)
    await vi.advanceTimersByTimeAsync(20)
    leaving.abort()
    await vi.advanceTimersByTimeAsync(2000)
    expect((await prepared).unwrapErr().kind).toBe(PreparationFailureKind.Cancelled)
    expect(service.live.size).toBe(0)
  })

  test('goes on with the work of a request that is asked for again since its connection was lost, and answers the new call', async () => {
    const { stageCoordinator, service } = createCoordinator([{ id: 'encode-a' }])
    const lost = new AbortController()
    void stageCoordinator.prepare(createStageRequest(), lost.signal)
    await vi.advanceTimersByTimeAsync(20)
    const prepared = stageCoordinator.prepare(createStageRequest(), NEVER)
    lost.abort()
    await vi.advanceTimersByTimeAsync(2000)
    expect((await prepared).isOk()).toBe(true)
    expect(service.calls.length).toBe(1)
  })

  test('sends no calls to a draining backend server', async () => {
    const { stageCoordinator, registry, service } = createCoordinator([{ id: 'encode-a' }, { id: 'encode-b', failureDomain: 'zone-b' }])
    registry.upsert(createRecord({ id: 'encode-a', draining: true }))
    const prepared = stageCoordinator.prepare(createStageRequest(), NEVER)
    await vi.advanceTimersByTimeAsync(2000)
    expect((await prepared).isOk()).toBe(true)
    expect(service.calls.map(call => call.backendId)).toEqual(['encode-b'])
  })

  test.each([
    ['an item that failed', () => (item: { index: number }) => item.index === 1 ? ItemFailure.Error : undefined],
    ['an item without result memory', () => (item: { index: number }) => item.index === 1 ? ItemFailure.NoMemory : undefined],
    ['a call that was refused', () => StageCallEnd.Refused],
    ['a broken call', () => StageCallEnd.Broken],
    ['a call that was not sent', () => StageCallEnd.NotSent],
    ['a call that is never answered', () => 'silent' as const],
  ])('recovers from %s', async (_name, behaviour) => {
    const { stageCoordinator, service } = createCoordinator([{ id: 'encode-a' }, { id: 'encode-b' }])
    service.behaviour = () => {
      service.behaviour = () => StageCallEnd.Done
      return behaviour()
    }
    const prepared = stageCoordinator.prepare(createStageRequest(), NEVER)
    await vi.advanceTimersByTimeAsync(4000)
    expect((await prepared).unwrap().handles).toHaveLength(2)
  })

  test('restarts the stages when the inputs were lost with their backend server', async () => {
    const { stageCoordinator, service } = createCoordinator([{ id: 'encode-a' }, { id: 'rerank-a', service: 'rerank' }])
    service.behaviour = (call) => {
      if (call.backendId === 'rerank-a' && service.calls.length === 2)
        service.kill('encode-a')
      return StageCallEnd.Done
    }
    const prepared = stageCoordinator.prepare(createStageRequest({ stages: TWO_STAGES }), NEVER)
    await vi.advanceTimersByTimeAsync(4000)
    expect((await prepared).unwrap().handles).toHaveLength(1)
    expect(service.calls.filter(call => call.backendId === 'encode-a')).toHaveLength(2)
  })

  test('restarts the stages once if a call of several items fails and the retry budget is used up', async () => {
    const { stageCoordinator, service, retries } = createCoordinator([{ id: 'encode-a' }])
    retries.allowed = 0
    service.behaviour = () => service.calls.length === 1 ? StageCallEnd.Refused : StageCallEnd.Done
    const prepared = stageCoordinator.prepare(createStageRequest(), NEVER)
    await vi.advanceTimersByTimeAsync(1000)
    expect((await prepared).isOk()).toBe(true)
    expect(service.calls.flatMap(call => call.items).map(item => item.index)).toEqual([0, 1, 0, 1])
  })

  test('stops retrying items when the retry budget is used up', async () => {
    const { stageCoordinator, service, retries } = createCoordinator([{ id: 'encode-a' }])
    retries.allowed = 0
    service.behaviour = () => StageCallEnd.Refused
    const prepared = stageCoordinator.prepare(createStageRequest(), NEVER)
    await vi.advanceTimersByTimeAsync(4000)
    expect((await prepared).isErr()).toBe(true)
    expect(service.calls.length).toBeLessThanOrEqual(3)
  })

  test.each([
    ['a first attempt', false],
    ['a retry, whatever the time left to its client', true],
  ])('refuses at once, with a retry delay, work that cannot be in time: %s', async (_name, isRetry) => {
    const { stageCoordinator } = createCoordinator([{ id: 'encode-a' }])
    const earlier = createStageRequest({ targetMs: 60_000, deadlineMs: 60_000, priority: 0 })
    for (let index = 0; index < 30; index++)
      void stageCoordinator.prepare({ ...earlier, requestId: `busy ${index}` }, NEVER)
    const late = createStageRequest({ requestId: 'late', targetMs: 500, deadlineMs: 60_000, isRetry, priority: 200 })
    const prepared = stageCoordinator.prepare(late, NEVER)
    await vi.advanceTimersByTimeAsync(10)
    const refusal = (await prepared).unwrapErr()
    expect(refusal.kind).toBe(PreparationFailureKind.Overloaded)
    expect(refusal.retryAfterMs).toBeGreaterThan(0)
  })

  test('restarts the stages whose results expired while their reader was queued, without a call for the reader', async () => {
    const { stageCoordinator, registry, service } = createCoordinator([{ id: 'encode-a' }, { id: 'rerank-a', service: 'rerank' }])
    const prepared = stageCoordinator.prepare(createStageRequest({ stages: TWO_STAGES, targetMs: 20_000, deadlineMs: 20_000 }), NEVER)
    registry.upsert(createRecord({ id: 'rerank-a', service: 'rerank', draining: true }))
    await vi.advanceTimersByTimeAsync(4200)
    registry.upsert(createRecord({ id: 'rerank-a', service: 'rerank' }))
    await vi.advanceTimersByTimeAsync(1000)
    expect((await prepared).isOk()).toBe(true)
    expect(service.calls.map(call => call.backendId)).toEqual(['encode-a', 'encode-a', 'rerank-a'])
  })
})
