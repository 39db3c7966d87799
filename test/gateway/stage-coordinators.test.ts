import { BackendRegistry, CoordinatorRole, createShard, PreparationFailureKind, RouteTable, StageCoordinators } from '@eidermast/gateway'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { createConfiguration, createLog, createRecord, createStageLimits, FakeStageService, NO_CRASHES, OPEN_INTAKE, UNLIMITED_COLD_PACE } from './support/fakes.js'
import { createStageRequest, NEVER } from './support/stage-coordinator.js'

const LIMITS = createStageLimits()

function createCoordinators() {
  const { log } = createLog()
  const registry = new BackendRegistry(log)
  const client = new FakeStageService(LIMITS)
  const coordinators = new StageCoordinators({ registry, client, retryBudget: { takeRetry: () => true }, coldPace: UNLIMITED_COLD_PACE, intake: OPEN_INTAKE, crashes: NO_CRASHES, log })
  coordinators.applyConfiguration(new RouteTable(createConfiguration({ services: [{ name: 'encode', maxConnections: 9, stage: LIMITS }] })))
  for (const domain of ['a', 'b'])
    registry.upsert(createRecord({ id: `encode-${domain}`, service: 'encode', failureDomain: domain }))
  return { coordinators, client, registry }
}

beforeEach(() => void vi.useFakeTimers())
afterEach(() => void vi.useRealTimers())

describe('the coordinators of one gateway', () => {
  test('run the work of a shard at its own backend servers only', async () => {
    const { coordinators, client } = createCoordinators()
    const requests = Array.from({ length: 6 }, (_, number) => coordinators.prepare(createStageRequest({ requestId: `request-${number}`, shard: 'b', targetMs: 9000, deadlineMs: 9000 }), NEVER))
    await vi.advanceTimersByTimeAsync(3000)
    expect((await Promise.all(requests)).every(result => result.isOk())).toBe(true)
    expect(new Set(client.calls.map(({ backendId }) => backendId))).toEqual(new Set(['encode-b']))
    coordinators.stop()
  })

  test('run work that names no shard anywhere, as gateways of an earlier release ask for it', async () => {
    const { coordinators, client } = createCoordinators()
    const requests = Array.from({ length: 6 }, (_, number) => coordinators.prepare(createStageRequest({ requestId: `request-${number}` }), NEVER))
    await vi.advanceTimersByTimeAsync(3000)
    await Promise.all(requests)
    expect(new Set(client.calls.map(({ backendId }) => backendId)).size).toBe(2)
    coordinators.stop()
  })

  test('know backend servers of a shard that come later, and none of another', async () => {
    const { coordinators, client, registry } = createCoordinators()
    const asked = coordinators.prepare(createStageRequest({ shard: 'c' }), NEVER)
    expect((await asked).isErr()).toBe(true)
    registry.upsert(createRecord({ id: 'encode-c', service: 'encode', failureDomain: 'c' }))
    const askedAgain = coordinators.prepare(createStageRequest({ requestId: 'again', shard: 'c' }), NEVER)
    await vi.advanceTimersByTimeAsync(1000)
    expect((await askedAgain).isOk()).toBe(true)
    expect(client.calls.map(({ backendId }) => backendId)).toEqual(['encode-c'])
    coordinators.stop()
  })

  test('free the results of a request whichever shard made them', async () => {
    const { coordinators, client } = createCoordinators()
    const prepared = coordinators.prepare(createStageRequest({ shard: 'a' }), NEVER)
    await vi.advanceTimersByTimeAsync(1000)
    await prepared
    coordinators.release('request-1')
    await vi.advanceTimersByTimeAsync(100)
    expect(client.live.size).toBe(0)
    coordinators.stop()
  })

  test('hand over what waits in a shard that another gateway coordinates, and go on with the other shard', async () => {
    const { coordinators } = createCoordinators()
    const request = (requestId: string, shard: string) => coordinators.prepare(createStageRequest({ requestId, shard, targetMs: 9000, deadlineMs: 9000 }), NEVER)
    const inA = ['a-1', 'a-2', 'a-3', 'a-4'].map(id => request(id, 'a'))
    const inB = request('b-1', 'b')
    coordinators.applyRole(createShard(['a']), CoordinatorRole.HandsOver)
    await vi.advanceTimersByTimeAsync(2000)
    const ended = await Promise.all(inA)
    expect(ended.some(result => result.isErr() && result.error.kind === PreparationFailureKind.HandedOver)).toBe(true)
    expect((await inB).isOk()).toBe(true)
    coordinators.stop()
  })

  test('take no work of any shard while this gateway is leaving', async () => {
    const { coordinators } = createCoordinators()
    coordinators.applyRole(createShard(['a']), CoordinatorRole.Leaves)
    const result = await coordinators.prepare(createStageRequest({ shard: 'b' }), NEVER)
    expect(result.isErr() && result.error.kind).toBe(PreparationFailureKind.HandedOver)
    coordinators.stop()
  })

  // What callers would see: 503 for all requests of a shard while the one gateway that is left is stopping. Order of
  // events: it hands one shard over and stops taking work; the gateways that took over are lost; it is asked for a
  // shard that it did not coordinate before. Cause: what it remembered of its stop was undone for known shards only.
  test('take work of any shard again when a leaving gateway is the one that is left', async () => {
    const { coordinators } = createCoordinators()
    coordinators.applyRole(createShard(['a']), CoordinatorRole.Leaves)
    coordinators.applyRole(createShard(['b']), CoordinatorRole.Coordinates)
    const prepared = coordinators.prepare(createStageRequest({ shard: 'b' }), NEVER)
    await vi.advanceTimersByTimeAsync(1000)
    expect((await prepared).isOk()).toBe(true)
    coordinators.stop()
  })
})
