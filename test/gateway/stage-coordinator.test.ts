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

  test('frees results when their last reader has fetched them, and all of a request that is released', async () => {
    const { stageCoordinator, service } = createCoordinator([{ id: 'encode-a' }, { id: 'rerank-a', service: 'rerank' }])
    const prepared = stageCoordinator.prepare(createStageRequest({ stages: TWO_STAGES }), NEVER)
    await vi.advanceTimersByTimeAsync(2000)
    await prepared
    expect(service.freed).toEqual(['encode-a/0', 'encode-a/1'])
    stageCoordinator.release('request-1')
    await vi.advanceTimersByTimeAsync(100)
    expect(service.live.size).toBe(0)
  })

  test('frees the results of a request whose client has left', async () => {
    const { stageCoordinator, service } = createCoordinator([{ id: 'encode-a' }])
    const leaving = new AbortController()
    const prepared = stageCoordinator.prepare(createStageRequest(), leaving.signal)
    await vi.advanceTimersByTimeAsync(20)
    leaving.abort()
    await vi.advanceTimersByTimeAsync(2000)
    expect((await prepared).unwrapErr().kind).toBe(PreparationFailureKind.Cancelled)
    expect(service.live.size).toBe(0)
  })

  test('sends nothing more to a backend server that reports that it is leaving', async () => {
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
    ['a call that broke off', () => StageCallEnd.Broken],
    ['a call that reached nobody', () => StageCallEnd.NotSent],
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

  test('restarts the stages when the inputs died with their backend server', async () => {
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

  test('restarts the stages once where a call of several items fails without a retry left', async () => {
    const { stageCoordinator, service, retries } = createCoordinator([{ id: 'encode-a' }])
    retries.allowed = 0
    service.behaviour = () => service.calls.length === 1 ? StageCallEnd.Refused : StageCallEnd.Done
    const prepared = stageCoordinator.prepare(createStageRequest(), NEVER)
    await vi.advanceTimersByTimeAsync(1000)
    expect((await prepared).isOk()).toBe(true)
    expect(service.calls.flatMap(call => call.items).map(item => item.index)).toEqual([0, 1, 0, 1])
  })

  test('stops retrying items when the budget is used up', async () => {
    const { stageCoordinator, service, retries } = createCoordinator([{ id: 'encode-a' }])
    retries.allowed = 0
    service.behaviour = () => StageCallEnd.Refused
    const prepared = stageCoordinator.prepare(createStageRequest(), NEVER)
    await vi.advanceTimersByTimeAsync(4000)
    expect((await prepared).isErr()).toBe(true)
    expect(service.calls.length).toBeLessThanOrEqual(3)
  })

  test.each([
    ['arrives for the first time', false],
    ['is a retry, whatever time its client has left', true],
  ])('refuses at once what cannot be in time, with a time to retry, where it %s', async (_name, isRetry) => {
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

  test('restarts the stages whose inputs expired while their reader waited, without a call for the reader', async () => {
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
