import type { ClientRequest } from '@eidermast/gateway'
import { ConfigurationHolder, RequestRouter } from '@eidermast/gateway'
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
