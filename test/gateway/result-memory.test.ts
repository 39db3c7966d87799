import { ItemFailure, StageCallEnd } from '@eidermast/gateway'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { createRecord } from './support/fakes.js'
import { createCoordinator, createStageRequest, NEVER } from './support/stage-coordinator.js'

beforeEach(() => void vi.useFakeTimers())
afterEach(() => void vi.useRealTimers())

describe('the stage coordinator\'s accounting of result memory', () => {
  test('neither treats a backend server without memory as fast nor calls it again at once', async () => {
    const { stageCoordinator, service } = createCoordinator([{ id: 'encode-a' }])
    service.behaviour = () => service.calls.length <= 3 ? () => ItemFailure.NoMemory : StageCallEnd.Done
    void stageCoordinator.prepare(createStageRequest(), NEVER)
    await vi.advanceTimersByTimeAsync(130)
    expect(service.calls).toHaveLength(1)
    await vi.advanceTimersByTimeAsync(100)
    expect(service.calls.length).toBeLessThanOrEqual(2)
  })

  test('calls a backend server without memory again after MEMORY_EXHAUSTED_MS, or once memory was freed', async () => {
    const { stageCoordinator, service } = createCoordinator([{ id: 'encode-a' }])
    service.behaviour = () => {
      service.behaviour = () => StageCallEnd.Done
      return () => ItemFailure.NoMemory
    }
    const prepared = stageCoordinator.prepare(createStageRequest(), NEVER)
    await vi.advanceTimersByTimeAsync(120 + 350)
    expect(service.calls).toHaveLength(1)
    await vi.advanceTimersByTimeAsync(300)
    expect((await prepared).isOk()).toBe(true)
  })

  test('counts results of another coordinator as used memory only until they expire', async () => {
    const { stageCoordinator, registry, service } = createCoordinator([])
    service.reportedFreeBytes = 0
    registry.upsert(createRecord({ id: 'encode-a' }))
    await vi.advanceTimersByTimeAsync(1)
    const prepared = stageCoordinator.prepare(createStageRequest({ targetMs: 8000, deadlineMs: 9000 }), NEVER)
    await vi.advanceTimersByTimeAsync(3900)
    expect(service.calls).toHaveLength(0)
    await vi.advanceTimersByTimeAsync(1000)
    expect((await prepared).isOk()).toBe(true)
  })

  test('counts memory as free only when the backend server has confirmed the deletion', async () => {
    const { stageCoordinator, service } = createCoordinator([{ id: 'encode-a' }])
    service.freeDelayMs = 300
    const large = [{ service: 'encode', dependsOn: [], resultBytes: 400, items: 2 }]
    const first = stageCoordinator.prepare(createStageRequest({ stages: large }), NEVER)
    await vi.advanceTimersByTimeAsync(200)
    await first
    void stageCoordinator.prepare(createStageRequest({ requestId: 'request-2', stages: large }), NEVER)
    stageCoordinator.release('request-1')
    await vi.advanceTimersByTimeAsync(250)
    expect(service.calls).toHaveLength(1)
    await vi.advanceTimersByTimeAsync(150)
    expect(service.calls).toHaveLength(2)
  })

  test('counts the memory of a broken call as used until its results expire', async () => {
    const { stageCoordinator, service } = createCoordinator([{ id: 'encode-a' }])
    const large = [{ service: 'encode', dependsOn: [], resultBytes: 400, items: 2 }]
    service.behaviour = () => {
      service.behaviour = () => StageCallEnd.Done
      return StageCallEnd.Broken
    }
    void stageCoordinator.prepare(createStageRequest({ stages: large, targetMs: 9000, deadlineMs: 9000 }), NEVER)
    await vi.advanceTimersByTimeAsync(3900)
    expect(service.calls).toHaveLength(1)
    await vi.advanceTimersByTimeAsync(300)
    expect(service.calls).toHaveLength(2)
  })
})
