import type { ClientRequest } from '@eidermast/gateway'
import { ArrivalKind, ConfigurationHolder, MemoryReturnDetector, RefusalMemory, RequestRouter } from '@eidermast/gateway'
import { expect, test } from 'vitest'
import { createConfiguration, createLog, createRoute } from './support/fakes.js'

function createRequest(deadlineMs: number): ClientRequest {
  const head = {
    requestId: 'id-1',
    host: 'host.example',
    key: undefined,
    deadlineMs,
    promptParts: [],
    stageItems: [],
    stageKey: '',
    lastEventId: undefined,
    resumedRequestId: undefined,
    headers: [],
  }
  return { method: 'GET', path: '/a/', head, body: undefined, arrivedAt: 0 }
}

test('the longest deadline of a route, which retry detection uses, is removed with the route', () => {
  const { log } = createLog()
  const configuration = new ConfigurationHolder(text => createConfiguration(JSON.parse(text)), log)
  const router = new RequestRouter(configuration)
  const isRetry = (deadlineMs: number): boolean => router.route(createRequest(deadlineMs)).unwrap().isRetry
  configuration.offer('{"version":1}', 'test')
  expect(isRetry(1000)).toBe(false)
  expect(isRetry(500)).toBe(true)
  configuration.offer(JSON.stringify({ version: 2, routes: [createRoute({ name: 'other', host: 'other.example' })] }), 'test')
  configuration.offer('{"version":3}', 'test')
  expect(isRetry(500)).toBe(false)
})

test.each([
  { route: 'without stages is known by its refusal, whatever its deadline', stages: [], first: ArrivalKind.New, shorter: ArrivalKind.New, refused: ArrivalKind.Returned },
  { route: 'with stages is known by its deadline', stages: [{ service: 'stage', dependsOn: [], resultBytes: 1 }], first: ArrivalKind.New, shorter: ArrivalKind.Returned, refused: ArrivalKind.New },
])('a request that returns to a route $route', ({ stages, first, shorter, refused }) => {
  const configuration = new ConfigurationHolder(() => createConfiguration({ routes: [createRoute({ stages })] }), createLog().log)
  const returns = new MemoryReturnDetector(new RefusalMemory(), () => {})
  const router = new RequestRouter(configuration, returns)
  configuration.offer('', 'test')
  const route = (deadlineMs: number, arrivedAt: number) => router.route({ ...createRequest(deadlineMs), arrivedAt }).unwrap()
  expect([route(1000, 0).arrivalKind, route(500, 0).arrivalKind]).toEqual([first, shorter])
  returns.recordRefusal(route(1000, 0).fingerprint, 300, 0)
  expect(route(1000, 300).arrivalKind).toBe(refused)
})
