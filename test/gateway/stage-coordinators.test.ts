import { BackendRegistry, CoordinatorRole, createShard, PreparationFailureKind, RouteTable, StageCoordinators } from '@eidermast/gateway'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { createConfiguration, createLog, createRecord, createStageLimits, FakeStageService, NO_CRASHES, OPEN_INTAKE, UNLIMITED_COLD_STARTS } from './support/fakes.js'
import { createStageRequest, NEVER } from './support/stage-coordinator.js'

const LIMITS = createStageLimits()

function createCoordinators() {
  const { log } = createLog()
  const registry = new BackendRegistry(log)
  const client = new FakeStageService(LIMITS)
  const coordinators = new StageCoordinators({ registry, client, retryBudget: { takeRetry: () => true }, coldPace: UNLIMITED_COLD_STARTS, intake: OPEN_INTAKE, crashes: NO_CRASHES, log })
  coordinators.applyConfiguration(new RouteTable(createConfiguration({ services: [{ name: 'encode', maxConnections: 9, stage: LIMITS }] })))
  for (const domain of ['a', 'b'])
    registry.upsert(createRecord({ id: `encode-${domain}`, service: 'encode', failureDomain: domain }))
  return { coordinators, client, registry }
}

beforeEach(() => void vi.useFakeTimers())
afterEach(() => void vi.useRealTimers())

describe('the coordinators of one gateway', () => {
  test('run the work of a shard on its own backend servers only', async () => {
    const { coordinators, client } = createCoordinators()
    const requests = Array.from({ length: 6 }, (_, number) => coordinators.prepare(createStageRequest({ requestId: `request-${number}`, shard: 'b', targetMs: 9000, deadlineMs: 9000 }), NEVER))
    await vi.advanceTimersByTimeAsync(3000)
    expect((await Promise.all(requests)).every(result => result.isOk())).toBe(true)
    expect(new Set(client.calls.map(({ backendId }) => backendId))).toEqual(new Set(['encode-b']))
    coordinators.stop()
  })

  test('run work without a shard, as sent by gateways of an earlier release, on any backend server', async () => {
    const { coordinators, client } = createCoordinators()
    const requests = Array.from({ length: 6 }, (_, number) => coordinators.prepare(createStageRequest({ requestId: `request-${number}` }), NEVER))
    await vi.advanceTimersByTimeAsync(3000)
    await Promise.all(requests)
    expect(new Set(client.calls.map(({ backendId }) => backendId)).size).toBe(2)
    coordinators.stop()
  })

  test('use backend servers that join their shard later, and none of another shard', async () => {
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

  test('free the results of a request in any shard', async () => {
    const { coordinators, client } = createCoordinators()
    const prepared = coordinators.prepare(createStageRequest({ shard: 'a' }), NEVER)
    await vi.advanceTimersByTimeAsync(1000)
    await prepared
    coordinators.release('request-1')
    await vi.advanceTimersByTimeAsync(100)
    expect(client.live.size).toBe(0)
    coordinators.stop()
  })

  test('hand over the waiting work of a shard that another gateway coordinates, and continue the other shard', async () => {
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

  test('accept no work of any shard while this gateway is shutting down', async () => {
    const { coordinators } = createCoordinators()
    coordinators.applyRole(createShard(['a']), CoordinatorRole.Leaves)
    const result = await coordinators.prepare(createStageRequest({ shard: 'b' }), NEVER)
    expect(result.isErr() && result.error.kind).toBe(PreparationFailureKind.HandedOver)
    coordinators.stop()
  })

  // Guards against 503 responses for all requests of a shard while the only remaining gateway is shutting down: it hands
  // one shard over and stops accepting work, the gateways that took over are lost, and it is asked for a shard that it
  // did not coordinate before. Its refusal of work must end for such shards too.
  test('accept work of any shard again if a gateway that is shutting down is the only one left', async () => {
    const { coordinators } = createCoordinators()
    coordinators.applyRole(createShard(['a']), CoordinatorRole.Leaves)
    coordinators.applyRole(createShard(['b']), CoordinatorRole.Coordinates)
    const prepared = coordinators.prepare(createStageRequest({ shard: 'b' }), NEVER)
    await vi.advanceTimersByTimeAsync(1000)
    expect((await prepared).isOk()).toBe(true)
    coordinators.stop()
  })
})
