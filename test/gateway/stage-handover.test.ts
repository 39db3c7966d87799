import { PreparationFailureKind } from '@eidermast/gateway'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { createCoordinator, createStageRequest, NEVER, TWO_STAGES } from './support/stage-coordinator.js'

beforeEach(() => void vi.useFakeTimers())
afterEach(() => void vi.useRealTimers())

describe('a change of the stage coordinator', () => {
  test('hands work over when it stops, waiting items at once and others when their call ends, and accepts no new work', async () => {
    const { stageCoordinator, service } = createCoordinator([{ id: 'encode-a' }])
    const running = stageCoordinator.prepare(createStageRequest(), NEVER)
    const waiting = stageCoordinator.prepare(createStageRequest({ requestId: 'waiting' }), NEVER)
    await vi.advanceTimersByTimeAsync(10)
    stageCoordinator.handOver(true)
    expect((await waiting).unwrapErr()).toMatchObject({ kind: PreparationFailureKind.HandedOver, progress: [] })
    const later = await stageCoordinator.prepare(createStageRequest({ requestId: 'later' }), NEVER)
    expect(later.unwrapErr().kind).toBe(PreparationFailureKind.HandedOver)
    await vi.advanceTimersByTimeAsync(200)
    expect((await running).isOk()).toBe(true)
    expect(service.calls).toHaveLength(1)
  })

  test('hands work over when it is slow, and accepts work of gateways that have not noticed the change', async () => {
    const { stageCoordinator } = createCoordinator([{ id: 'encode-a' }])
    const running = stageCoordinator.prepare(createStageRequest(), NEVER)
    const waiting = stageCoordinator.prepare(createStageRequest({ requestId: 'waiting' }), NEVER)
    await vi.advanceTimersByTimeAsync(10)
    stageCoordinator.handOver(false)
    expect((await waiting).unwrapErr()).toMatchObject({ kind: PreparationFailureKind.HandedOver, progress: [] })
    const later = stageCoordinator.prepare(createStageRequest({ requestId: 'later' }), NEVER)
    await vi.advanceTimersByTimeAsync(1000)
    expect((await running).isOk()).toBe(true)
    expect((await later).isOk()).toBe(true)
  })

  test('accepts work again when the coordinator that it handed over to has failed', async () => {
    const { stageCoordinator } = createCoordinator([{ id: 'encode-a' }])
    stageCoordinator.handOver(true)
    stageCoordinator.takeOver()
    const prepared = stageCoordinator.prepare(createStageRequest(), NEVER)
    await vi.advanceTimersByTimeAsync(500)
    expect((await prepared).isOk()).toBe(true)
  })

  test('hands results over when it stops, which the next coordinator continues with', async () => {
    const first = createCoordinator([{ id: 'encode-a' }, { id: 'rerank-a', service: 'rerank' }])
    const request = createStageRequest({ stages: TWO_STAGES })
    const running = first.stageCoordinator.prepare(request, NEVER)
    await vi.advanceTimersByTimeAsync(50)
    first.stageCoordinator.handOver(true)
    await vi.advanceTimersByTimeAsync(200)
    const { kind, progress } = (await running).unwrapErr()
    expect(kind).toBe(PreparationFailureKind.HandedOver)
    const results = ['encode-a/0', 'encode-a/1'].map(handle => ({ handle, backend: 'encode-a', bytes: 10, remainingMs: 4000 }))
    expect(progress).toEqual([{ stage: 0, results }])
    expect(first.service.freed).toEqual([])

    const second = createCoordinator([{ id: 'encode-a' }, { id: 'rerank-a', service: 'rerank' }])
    first.service.live.forEach((maker, handle) => second.service.live.set(handle, maker))
    const continued = second.stageCoordinator.prepare({ ...request, progress }, NEVER)
    await vi.advanceTimersByTimeAsync(1000)
    expect((await continued).unwrap().handles).toEqual(['rerank-a/0'])
    expect(second.service.calls.map(call => call.backendId)).toEqual(['rerank-a'])
    expect(second.service.freed).toEqual(['encode-a/0', 'encode-a/1'])
  })

  test('never sends a stage without its inputs if those were fetched by a call that was lost', async () => {
    const { stageCoordinator, service } = createCoordinator([{ id: 'encode-a' }, { id: 'rerank-a', service: 'rerank' }])
    const prepared = stageCoordinator.prepare(createStageRequest({ stages: TWO_STAGES, progress: [{ stage: 0, results: [] }] }), NEVER)
    await vi.advanceTimersByTimeAsync(2000)
    expect((await prepared).isOk()).toBe(true)
    expect(service.calls.map(call => call.items.map(item => item.inputs?.length ?? 0))).toEqual([[0, 0], [2]])
  })

  test.each([
    ['belong to a removed backend server', [{ handle: 'encode-z/0', backend: 'encode-z', bytes: 10, remainingMs: 4000 }]],
    ['have expired', [{ handle: 'encode-a/9', backend: 'encode-a', bytes: 10, remainingMs: 0 }]],
    ['are unknown to the backend server', [{ handle: 'encode-a/9', backend: 'encode-a', bytes: 10, remainingMs: 4000 }]],
  ])('runs a stage again if results that were handed over %s', async (_name, results) => {
    const { stageCoordinator, service } = createCoordinator([{ id: 'encode-a' }, { id: 'rerank-a', service: 'rerank' }])
    const prepared = stageCoordinator.prepare(createStageRequest({ stages: TWO_STAGES, progress: [{ stage: 0, results }] }), NEVER)
    await vi.advanceTimersByTimeAsync(2000)
    expect((await prepared).isOk()).toBe(true)
    expect(service.calls.filter(call => call.backendId === 'encode-a')).toHaveLength(1)
  })

  test('keeps inputs until their reader\'s call ends while another coordinator may be active', async () => {
    const { stageCoordinator, service } = createCoordinator([{ id: 'encode-a' }, { id: 'rerank-a', service: 'rerank' }])
    stageCoordinator.expectOtherCoordinator()
    const prepared = stageCoordinator.prepare(createStageRequest({ stages: TWO_STAGES }), NEVER)
    await vi.advanceTimersByTimeAsync(120 + 100)
    expect(service.calls).toHaveLength(2)
    expect(service.freed).toEqual([])
    await vi.advanceTimersByTimeAsync(500)
    await prepared
    expect(service.freed).toHaveLength(2)
  })
})
