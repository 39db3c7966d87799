import type { PreparationRequest } from '@eidermast/gateway'
import { BackendRegistry, ItemFailure, PreparationFailureKind, RouteTable, StageCallEnd, StageCoordinator } from '@eidermast/gateway'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { createConfiguration, createLog, createRecord, createStageLimits, FakeStageService } from './support/fakes.js'

const LIMITS = createStageLimits()

function createScheduler(backends: { id: string, failureDomain?: string, service?: string }[]) {
  const { log, lines } = createLog()
  const registry = new BackendRegistry(log)
  const service = new FakeStageService(LIMITS)
  const repeats = { allowed: 10 }
  const stageCoordinator = new StageCoordinator(registry, service, { takeRepeats: () => repeats.allowed-- > 0 }, log)
  stageCoordinator.applyConfiguration(new RouteTable(createConfiguration({ services: [
    { name: 'encode', maxConnections: 9, stage: LIMITS },
    { name: 'rerank', maxConnections: 9, stage: LIMITS },
  ] })))
  for (const backend of backends)
    registry.upsert(createRecord({ service: 'encode', failureDomain: 'zone-a', ...backend }))
  return { stageCoordinator, registry, service, lines, repeats }
}

function createRequest(overrides: Partial<PreparationRequest> = {}): PreparationRequest {
  return {
    requestId: 'request-1',
    stages: [{ service: 'encode', dependsOn: [], resultBytes: 10, items: 2 }],
    key: 'key',
    priority: 1,
    targetMs: 2000,
    deadlineMs: 5000,
    isRetry: false,
    failureDomain: 'zone-a',
    ...overrides,
  }
}

const TWO_STAGES = [
  { service: 'encode', dependsOn: [], resultBytes: 10, items: 2 },
  { service: 'rerank', dependsOn: [0], resultBytes: 10, items: 1 },
]
const NEVER = new AbortController().signal

beforeEach(() => void vi.useFakeTimers())
afterEach(() => void vi.useRealTimers())

describe('the stage scheduler', () => {
  test('makes every item of every stage once and hands on the last stage\'s results', async () => {
    const { stageCoordinator, service } = createScheduler([{ id: 'encode-a' }, { id: 'rerank-a', service: 'rerank' }])
    const prepared = stageCoordinator.prepare(createRequest({ stages: TWO_STAGES }), NEVER)
    await vi.advanceTimersByTimeAsync(2000)
    expect((await prepared).unwrap().handles).toEqual(['rerank-a/2'])
    expect(service.calls.map(call => call.items.map(item => `${item.stage}.${item.index}`))).toEqual([['0.0', '0.1'], ['1.0']])
    expect(service.calls[1].items[0].inputs).toEqual(['encode-a/0', 'encode-a/1'])
  })

  test('gathers items of many requests into one call', async () => {
    const { stageCoordinator, service } = createScheduler([{ id: 'encode-a' }])
    const requests = ['first', 'second', 'third'].map(requestId => stageCoordinator.prepare(createRequest({ requestId }), NEVER))
    await vi.advanceTimersByTimeAsync(2000)
    await Promise.all(requests)
    expect(service.calls.map(call => call.items.length)).toEqual([2, 4])
  })

  test('frees results when their last reader has them, and all of a request that is released', async () => {
    const { stageCoordinator, service } = createScheduler([{ id: 'encode-a' }, { id: 'rerank-a', service: 'rerank' }])
    const prepared = stageCoordinator.prepare(createRequest({ stages: TWO_STAGES }), NEVER)
    await vi.advanceTimersByTimeAsync(2000)
    await prepared
    expect(service.freed).toEqual(['encode-a/0', 'encode-a/1'])
    stageCoordinator.release('request-1')
    await vi.advanceTimersByTimeAsync(100)
    expect(service.live.size).toBe(0)
  })

  test('frees what is made for a request whose client has left', async () => {
    const { stageCoordinator, service } = createScheduler([{ id: 'encode-a' }])
    const leaving = new AbortController()
    const prepared = stageCoordinator.prepare(createRequest(), leaving.signal)
    await vi.advanceTimersByTimeAsync(20)
    leaving.abort()
    await vi.advanceTimersByTimeAsync(2000)
    expect((await prepared).unwrapErr().kind).toBe(PreparationFailureKind.Cancelled)
    expect(service.live.size).toBe(0)
  })

  test('sends nothing more to a backend server that says it is leaving', async () => {
    const { stageCoordinator, registry, service } = createScheduler([{ id: 'encode-a' }, { id: 'encode-b', failureDomain: 'zone-b' }])
    registry.upsert(createRecord({ id: 'encode-a', draining: true }))
    const prepared = stageCoordinator.prepare(createRequest(), NEVER)
    await vi.advanceTimersByTimeAsync(2000)
    expect((await prepared).isOk()).toBe(true)
    expect(service.calls.map(call => call.backendId)).toEqual(['encode-b'])
  })

  test.each([
    ['a item that failed', () => (item: { index: number }) => item.index === 1 ? ItemFailure.Error : undefined],
    ['a item without room', () => (item: { index: number }) => item.index === 1 ? ItemFailure.NoMemory : undefined],
    ['a call that was refused', () => StageCallEnd.Refused],
    ['a call that broke off', () => StageCallEnd.Broken],
    ['a call that reached nobody', () => StageCallEnd.NotSent],
    ['a call that is never answered', () => 'silent' as const],
  ])('makes up for %s', async (_name, behaviour) => {
    const { stageCoordinator, service } = createScheduler([{ id: 'encode-a' }, { id: 'encode-b' }])
    service.behaviour = () => {
      service.behaviour = () => StageCallEnd.Done
      return behaviour()
    }
    const prepared = stageCoordinator.prepare(createRequest(), NEVER)
    await vi.advanceTimersByTimeAsync(4000)
    expect((await prepared).unwrap().handles).toHaveLength(2)
  })

  test('begins a stage anew when its inputs died with their maker', async () => {
    const { stageCoordinator, service } = createScheduler([{ id: 'encode-a' }, { id: 'rerank-a', service: 'rerank' }])
    service.behaviour = (call) => {
      if (call.backendId === 'rerank-a' && service.calls.length === 2)
        service.kill('encode-a')
      return StageCallEnd.Done
    }
    const prepared = stageCoordinator.prepare(createRequest({ stages: TWO_STAGES }), NEVER)
    await vi.advanceTimersByTimeAsync(4000)
    expect((await prepared).unwrap().handles).toHaveLength(1)
    expect(service.calls.filter(call => call.backendId === 'encode-a')).toHaveLength(2)
  })

  test('stops sending items again when the budget is used up', async () => {
    const { stageCoordinator, service, repeats } = createScheduler([{ id: 'encode-a' }])
    repeats.allowed = 0
    service.behaviour = () => StageCallEnd.Refused
    const prepared = stageCoordinator.prepare(createRequest(), NEVER)
    await vi.advanceTimersByTimeAsync(4000)
    expect((await prepared).isErr()).toBe(true)
    expect(service.calls.length).toBeLessThanOrEqual(3)
  })

  test('does not take a backend server that had no room for fast, nor ask it again at once', async () => {
    const { stageCoordinator, service } = createScheduler([{ id: 'encode-a' }])
    service.behaviour = () => service.calls.length <= 3 ? () => ItemFailure.NoMemory : StageCallEnd.Done
    void stageCoordinator.prepare(createRequest(), NEVER)
    await vi.advanceTimersByTimeAsync(130)
    expect(service.calls).toHaveLength(1)
    await vi.advanceTimersByTimeAsync(100)
    expect(service.calls.length).toBeLessThanOrEqual(2)
  })

  test('asks a backend server that had no room again only after a while, or for what was freed since', async () => {
    const { stageCoordinator, service } = createScheduler([{ id: 'encode-a' }])
    service.behaviour = () => {
      service.behaviour = () => StageCallEnd.Done
      return () => ItemFailure.NoMemory
    }
    const prepared = stageCoordinator.prepare(createRequest(), NEVER)
    await vi.advanceTimersByTimeAsync(120 + 350)
    expect(service.calls).toHaveLength(1)
    await vi.advanceTimersByTimeAsync(300)
    expect((await prepared).isOk()).toBe(true)
  })

  test('hands work over when the coordinator stops: what waits at once, what is under way when it is made; and takes no new work', async () => {
    const { stageCoordinator, service } = createScheduler([{ id: 'encode-a' }])
    const running = stageCoordinator.prepare(createRequest(), NEVER)
    const waiting = stageCoordinator.prepare(createRequest({ requestId: 'waiting' }), NEVER)
    await vi.advanceTimersByTimeAsync(10)
    stageCoordinator.handOver()
    expect((await waiting).unwrapErr()).toMatchObject({ kind: PreparationFailureKind.HandedOver, progress: [] })
    expect((await stageCoordinator.prepare(createRequest({ requestId: 'later' }), NEVER)).unwrapErr().kind).toBe(PreparationFailureKind.HandedOver)
    await vi.advanceTimersByTimeAsync(200)
    expect((await running).isOk()).toBe(true)
    expect(service.calls).toHaveLength(1)
  })

  test('takes work again when the one that it handed over to is lost', async () => {
    const { stageCoordinator } = createScheduler([{ id: 'encode-a' }])
    stageCoordinator.handOver()
    stageCoordinator.takeOver()
    const prepared = stageCoordinator.prepare(createRequest(), NEVER)
    await vi.advanceTimersByTimeAsync(500)
    expect((await prepared).isOk()).toBe(true)
  })

  test('hands results over when the coordinator stops, and the next coordinator goes on with them', async () => {
    const first = createScheduler([{ id: 'encode-a' }, { id: 'rerank-a', service: 'rerank' }])
    const request = createRequest({ stages: TWO_STAGES })
    const running = first.stageCoordinator.prepare(request, NEVER)
    await vi.advanceTimersByTimeAsync(50)
    first.stageCoordinator.handOver()
    await vi.advanceTimersByTimeAsync(200)
    const { kind, progress } = (await running).unwrapErr()
    expect(kind).toBe(PreparationFailureKind.HandedOver)
    expect(progress).toEqual([{ stage: 0, results: ['encode-a/0', 'encode-a/1'].map(handle => ({ handle, backend: 'encode-a', bytes: 10, remainingMs: 4000 })) }])
    expect(first.service.freed).toEqual([])

    const second = createScheduler([{ id: 'encode-a' }, { id: 'rerank-a', service: 'rerank' }])
    first.service.live.forEach((maker, handle) => second.service.live.set(handle, maker))
    const continued = second.stageCoordinator.prepare({ ...request, progress }, NEVER)
    await vi.advanceTimersByTimeAsync(1000)
    expect((await continued).unwrap().handles).toEqual(['rerank-a/0'])
    expect(second.service.calls.map(call => call.backendId)).toEqual(['rerank-a'])
    expect(second.service.freed).toEqual(['encode-a/0', 'encode-a/1'])
  })

  test('never asks for a stage without its inputs, where those were read by work that is lost', async () => {
    const { stageCoordinator, service } = createScheduler([{ id: 'encode-a' }, { id: 'rerank-a', service: 'rerank' }])
    const prepared = stageCoordinator.prepare(createRequest({ stages: TWO_STAGES, progress: [{ stage: 0, results: [] }] }), NEVER)
    await vi.advanceTimersByTimeAsync(2000)
    expect((await prepared).isOk()).toBe(true)
    expect(service.calls.map(call => call.items.map(item => item.inputs?.length ?? 0))).toEqual([[0, 0], [2]])
  })

  test.each([
    ['whose backend server is gone', [{ handle: 'encode-z/0', backend: 'encode-z', bytes: 10, remainingMs: 4000 }]],
    ['that have ended', [{ handle: 'encode-a/9', backend: 'encode-a', bytes: 10, remainingMs: 0 }]],
    ['that the backend server does not know', [{ handle: 'encode-a/9', backend: 'encode-a', bytes: 10, remainingMs: 4000 }]],
  ])('makes results anew that were handed over and %s', async (_name, results) => {
    const { stageCoordinator, service } = createScheduler([{ id: 'encode-a' }, { id: 'rerank-a', service: 'rerank' }])
    const prepared = stageCoordinator.prepare(createRequest({ stages: TWO_STAGES, progress: [{ stage: 0, results }] }), NEVER)
    await vi.advanceTimersByTimeAsync(2000)
    expect((await prepared).isOk()).toBe(true)
    expect(service.calls.filter(call => call.backendId === 'encode-a')).toHaveLength(1)
  })

  test('keeps inputs until their reader is done while another coordinator may be at work', async () => {
    const { stageCoordinator, service } = createScheduler([{ id: 'encode-a' }, { id: 'rerank-a', service: 'rerank' }])
    stageCoordinator.expectOtherCoordinator()
    const prepared = stageCoordinator.prepare(createRequest({ stages: TWO_STAGES }), NEVER)
    await vi.advanceTimersByTimeAsync(120 + 100)
    expect(service.calls).toHaveLength(2)
    expect(service.freed).toEqual([])
    await vi.advanceTimersByTimeAsync(500)
    await prepared
    expect(service.freed).toHaveLength(2)
  })

  test.each([
    ['comes for the first time', false],
    ['comes back, whatever time its client has left', true],
  ])('refuses what cannot be in time at once, with a time to come back, where it %s', async (_name, isRetry) => {
    const { stageCoordinator } = createScheduler([{ id: 'encode-a' }])
    for (let index = 0; index < 30; index++)
      void stageCoordinator.prepare(createRequest({ requestId: `busy ${index}`, targetMs: 60_000, deadlineMs: 60_000, priority: 0 }), NEVER)
    const prepared = stageCoordinator.prepare(createRequest({ requestId: 'late', targetMs: 500, deadlineMs: 60_000, isRetry, priority: 200 }), NEVER)
    await vi.advanceTimersByTimeAsync(10)
    const refusal = (await prepared).unwrapErr()
    expect(refusal.kind).toBe(PreparationFailureKind.Overloaded)
    expect(refusal.retryAfterMs).toBeGreaterThan(0)
  })

  test('counts results of another coordinator against the room only until they end by themselves', async () => {
    const { stageCoordinator, registry, service } = createScheduler([])
    service.toldFreeRoom = 0
    registry.upsert(createRecord({ id: 'encode-a' }))
    await vi.advanceTimersByTimeAsync(1)
    const prepared = stageCoordinator.prepare(createRequest({ targetMs: 8000, deadlineMs: 9000 }), NEVER)
    await vi.advanceTimersByTimeAsync(3900)
    expect(service.calls).toHaveLength(0)
    await vi.advanceTimersByTimeAsync(1000)
    expect((await prepared).isOk()).toBe(true)
  })

  test('takes room for free only when the backend server has said that the results are gone', async () => {
    const { stageCoordinator, service } = createScheduler([{ id: 'encode-a' }])
    service.freeTakesMs = 300
    const large = [{ service: 'encode', dependsOn: [], resultBytes: 400, items: 2 }]
    const first = stageCoordinator.prepare(createRequest({ stages: large }), NEVER)
    await vi.advanceTimersByTimeAsync(200)
    await first
    void stageCoordinator.prepare(createRequest({ requestId: 'request-2', stages: large }), NEVER)
    stageCoordinator.release('request-1')
    await vi.advanceTimersByTimeAsync(250)
    expect(service.calls).toHaveLength(1)
    await vi.advanceTimersByTimeAsync(150)
    expect(service.calls).toHaveLength(2)
  })

  test('keeps the room of a call that broke off until what it may have made ends by itself', async () => {
    const { stageCoordinator, service } = createScheduler([{ id: 'encode-a' }])
    const large = [{ service: 'encode', dependsOn: [], resultBytes: 400, items: 2 }]
    service.behaviour = () => {
      service.behaviour = () => StageCallEnd.Done
      return StageCallEnd.Broken
    }
    void stageCoordinator.prepare(createRequest({ stages: large, targetMs: 9000, deadlineMs: 9000 }), NEVER)
    await vi.advanceTimersByTimeAsync(3900)
    expect(service.calls).toHaveLength(1)
    await vi.advanceTimersByTimeAsync(300)
    expect(service.calls).toHaveLength(2)
  })

  test('makes inputs that ended while their reader waited anew, without a call for the reader', async () => {
    const { stageCoordinator, registry, service } = createScheduler([{ id: 'encode-a' }, { id: 'rerank-a', service: 'rerank' }])
    const prepared = stageCoordinator.prepare(createRequest({ stages: TWO_STAGES, targetMs: 20_000, deadlineMs: 20_000 }), NEVER)
    registry.upsert(createRecord({ id: 'rerank-a', service: 'rerank', draining: true }))
    await vi.advanceTimersByTimeAsync(4200)
    registry.upsert(createRecord({ id: 'rerank-a', service: 'rerank' }))
    await vi.advanceTimersByTimeAsync(1000)
    expect((await prepared).isOk()).toBe(true)
    expect(service.calls.map(call => call.backendId)).toEqual(['encode-a', 'encode-a', 'rerank-a'])
  })
})
