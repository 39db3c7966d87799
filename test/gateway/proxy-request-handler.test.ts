import type { ClientRequest, ClientResponse, ProxyRequestHandlerDependencies } from '@eidermast/gateway'
import { ConfigurationHolder, DeadlineReturnDetector, DemandEnd, ProxyRequestHandler } from '@eidermast/gateway'
import { Ok } from 'ts-results-es'
import { expect, test, vi } from 'vitest'
import { createConfiguration, createLog, createRoute, NO_CRASHES } from './support/fakes.js'

const CLIENT_RESPONSE: ClientResponse = { started: false, sendComplete: () => {}, begin: () => {}, beginUnframed: () => {}, send: async () => {}, end: () => {}, cutOff: () => {}, fail: () => {} }

test('a request without stages gives back its room, and counts as ended, also if its answer cannot be sent', async () => {
  const { log } = createLog()
  const configuration = new ConfigurationHolder(() => createConfiguration({ routes: [createRoute()] }), log)
  configuration.offer('', 'test')
  const release = vi.fn()
  const shares = { recordArrival: vi.fn(), recordEnd: vi.fn(), admittedShare: () => 1 }
  const handler = new ProxyRequestHandler({
    configuration,
    startGate: { isOpen: true, wait: async () => {} },
    admission: { admit: async () => Ok({ release }) },
    shares,
    returns: new DeadlineReturnDetector(),
    runner: { run: () => Promise.reject(new Error('invalid character in a header of the response')) },
    crashes: NO_CRASHES,
    streams: { findOrigin: async () => Ok(undefined) },
    metrics: { countRequest: () => {} },
    log,
  } as unknown as ProxyRequestHandlerDependencies)
  const head = { requestId: 'id', host: 'host.example', key: undefined, deadlineMs: undefined, promptParts: [], stageItems: [], stageKey: '', lastEventId: undefined, resumedRequestId: undefined, headers: [] }
  const request: ClientRequest = { method: 'GET', path: '/a/', head, body: undefined, arrivedAt: performance.now() }
  await expect(handler.serve(request, CLIENT_RESPONSE, new AbortController().signal)).rejects.toThrow('invalid character')
  expect(release).toHaveBeenCalledTimes(1)
  expect(shares.recordEnd).toHaveBeenCalledWith(expect.anything(), DemandEnd.Other)
})
