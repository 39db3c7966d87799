import type { Member, PeerService, PreparationRequest } from '@eidermast/gateway'
import type { AddressInfo } from 'node:net'
import { createServer } from 'node:http'
import { MemoryPool, wait } from '@eidermast/common'
import { createPeerHandler, createPeerRouter, isSilent, PeerClients, PreparationFailureKind } from '@eidermast/gateway'
import { Err } from 'ts-results-es'
import { request } from 'undici'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { createRecord } from './support/fakes.js'

const HEARTBEAT = { name: 'gateway-b', address: '127.0.0.1:1', version: 3 }
/** Until a connection whose call has ended is used again. */
const UNTIL_IDLE_MS = 50
const REQUEST: PreparationRequest = {
  requestId: 'request-1',
  stages: [{ service: 'encode', dependsOn: [], resultBytes: 10, items: 2 }],
  key: 'key',
  priority: 1,
  targetMs: 100,
  deadlineMs: 200,
  isRetry: false,
  failureDomain: 'domain-a',
}
const OVERLOADED = { kind: PreparationFailureKind.Overloaded, message: 'full', retryAfterMs: 300 }

const BACKENDS = { revision: 9, entries: [{ revision: 4, record: createRecord({ id: 'encode-a', draining: true }) }] }

const service = {
  heartbeat: vi.fn<PeerService['heartbeat']>(() => ({ version: 7, stopping: false, slow: true })),
  configuration: vi.fn<PeerService['configuration']>(() => undefined),
  backends: vi.fn<PeerService['backends']>(() => BACKENDS),
  prepare: vi.fn<PeerService['prepare']>(async () => Err(OVERLOADED)),
  release: vi.fn<PeerService['release']>(),
  noteStreams: vi.fn<PeerService['noteStreams']>(),
  findStream: vi.fn<PeerService['findStream']>(() => ({ known: true, version: 'v1', versions: [{ version: 'v1' }, { version: 'v2', ageMs: 7 }], complete: true })),
}

let server: ReturnType<typeof createServer>
let clients: PeerClients
let pool: MemoryPool
let peer: Member

beforeEach(async () => {
  vi.clearAllMocks()
  pool = new MemoryPool(10_000_000)
  server = createServer(createPeerHandler(createPeerRouter(service), pool))
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  peer = { name: 'gateway-a', address: `127.0.0.1:${(server.address() as AddressInfo).port}` }
  clients = new PeerClients()
})

afterEach(async () => {
  await clients.close()
  server.closeAllConnections()
  server.close()
})

describe('a call between gateways', () => {
  test('delivers a heartbeat and returns its response', async () => {
    expect(await clients.heartbeat(peer, HEARTBEAT)).toEqual({ version: 7, stopping: false, slow: true })
    expect(service.heartbeat).toHaveBeenCalledWith(HEARTBEAT)
  })

  // Guards against heartbeats that wait for a new connection because other calls hold the open ones.
  test('delivers heartbeats beside calls under way, if the peer accepts no further connections', async () => {
    let endPreparation = (): void => {}
    service.prepare.mockImplementationOnce(() => new Promise(resolve => endPreparation = () => resolve(Err(OVERLOADED))))
    await clients.heartbeat(peer, HEARTBEAT)
    await wait(UNTIL_IDLE_MS)
    const result = clients.prepare(peer, REQUEST, new AbortController().signal)
    await vi.waitFor(() => expect(service.prepare).toHaveBeenCalled())
    server.removeAllListeners('connection')
    for (let heartbeat = 0; heartbeat < 3; heartbeat++) {
      expect(await clients.heartbeat(peer, HEARTBEAT)).toMatchObject({ version: 7 })
      await wait(UNTIL_IDLE_MS)
    }
    endPreparation()
    expect((await result).unwrapErr()).toEqual(OVERLOADED)
  })

  test('reports streams with their versions, and finds a stream', async () => {
    await clients.noteStreams(peer, [{ key: 'k', version: 'v1' }])
    expect(service.noteStreams).toHaveBeenCalledWith([{ key: 'k', version: 'v1' }])
    expect(await clients.findStream(peer, { key: 'k', service: 's' })).toEqual({ known: true, version: 'v1', versions: [{ version: 'v1' }, { version: 'v2', ageMs: 7 }], complete: true })
    expect(service.findStream).toHaveBeenCalledWith({ key: 'k', service: 's' })
  })

  test('is no sign of a silent peer if its release has no such procedure', async () => {
    const earlier = createServer((_message, response) => {
      response.writeHead(404, { 'content-type': 'application/json' })
      response.end(JSON.stringify({ error: { message: 'No procedure found on path "findStream"', code: -32004, data: { code: 'NOT_FOUND', httpStatus: 404, path: 'findStream' } } }))
    })
    await new Promise<void>(resolve => earlier.listen(0, '127.0.0.1', resolve))
    const address = `127.0.0.1:${(earlier.address() as AddressInfo).port}`
    const error = await clients.findStream({ name: 'gateway-b', address }, { key: 'k', service: 's' }).catch((cause: unknown) => cause)
    expect(isSilent(error)).toBe(false)
    earlier.closeAllConnections()
    earlier.close()
  })

  test('rejects a report about streams with texts of any length', async () => {
    await expect(clients.noteStreams(peer, [{ key: 'k'.repeat(10_000), version: 'v1' }])).rejects.toThrow()
  })

  test('returns the configuration, or null if there is none', async () => {
    expect(await clients.configuration(peer)).toBeNull()
    service.configuration.mockReturnValueOnce({ version: 4, text: '{}' } as never)
    expect(await clients.configuration(peer)).toEqual({ version: 4, text: '{}' })
  })

  test('returns the list of backend servers', async () => {
    expect(await clients.backends(peer)).toEqual(BACKENDS)
  })

  test('delivers a preparation request and returns its outcome', async () => {
    const result = await clients.prepare(peer, REQUEST, new AbortController().signal)
    expect(result.unwrapErr()).toEqual(OVERLOADED)
    expect(service.prepare.mock.calls[0][0]).toEqual(REQUEST)
  })

  test('delivers released request ids', async () => {
    await clients.release(peer, ['request-1', 'request-2'])
    expect(service.release).toHaveBeenCalledWith(['request-1', 'request-2'])
  })

  test('aborts the work at the peer when the caller aborts the call', async () => {
    const aborted = vi.fn()
    service.prepare.mockImplementationOnce((_request, signal) => new Promise(() => signal.addEventListener('abort', aborted)))
    const abandon = new AbortController()
    const call = clients.prepare(peer, REQUEST, abandon.signal)
    await vi.waitFor(() => expect(service.prepare).toHaveBeenCalled())
    abandon.abort()
    await expect(call).rejects.toThrow()
    await vi.waitFor(() => expect(aborted).toHaveBeenCalledOnce())
  })

  test('aborts nothing at the peer after the response was sent', async () => {
    const aborted = vi.fn()
    service.prepare.mockImplementationOnce(async (_request, signal) => {
      signal.addEventListener('abort', aborted)
      return Err(OVERLOADED)
    })
    await clients.prepare(peer, REQUEST, new AbortController().signal)
    server.closeAllConnections()
    await new Promise(resolve => setTimeout(resolve, 20))
    expect(aborted).not.toHaveBeenCalled()
  })

  test('rejects with the error message of the peer', async () => {
    service.heartbeat.mockImplementationOnce(() => {
      throw new Error('heartbeat handler failed')
    })
    await expect(clients.heartbeat(peer, HEARTBEAT)).rejects.toThrow('heartbeat handler failed')
  })

  test.each([
    ['to an unknown procedure', 'unknown', '{}', 404],
    ['with input that violates the schema', 'greet', '{"name":1}', 400],
    ['with invalid JSON', 'greet', '{', 400],
    ['with too large an input', 'greet', `"${'x'.repeat(4_000_001)}"`, 400],
  ])('%s is rejected', async (_name, path, body, status) => {
    const response = await request(`http://${peer.address}/${path}`, { method: 'POST', headers: { 'content-type': 'application/json' }, body })
    expect(response.statusCode).toBe(status)
    expect(await response.body.json()).toHaveProperty('error')
    expect(service.heartbeat).not.toHaveBeenCalled()
  })

  test('is rejected while no memory is left for its body, and served afterwards', async () => {
    pool.take(10_000_000)
    const response = await request(`http://${peer.address}/greet`, { method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(HEARTBEAT) })
    expect(response.statusCode).toBe(503)
    await response.body.dump()
    expect(service.heartbeat).not.toHaveBeenCalled()
    pool.release(10_000_000)
    await clients.heartbeat(peer, HEARTBEAT)
    expect(service.heartbeat).toHaveBeenCalledOnce()
    await vi.waitFor(() => expect(pool.takenBytes).toBe(0))
  })
})
