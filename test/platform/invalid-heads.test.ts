import type { StartedGateway } from './support/in-process-gateway.js'
import { request } from 'undici'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { startGateway } from './support/in-process-gateway.js'
import { answerCompletely, StandInBackend } from './support/stand-in-backend.js'
import { StandInStore } from './support/stand-in-store.js'

const DEADLINE_MS = 10_000
/** Far shorter than the deadline: what is no response is known by its head. */
const MAX_ANSWER_MS = 3000
const ROUTE = { Host: 'host.example', TimeoutMs: DEADLINE_MS, TargetLatencyMs: 400, TargetGapMs: 200, MaxAttempts: 1, Public: true, Service: 'bad' }
const CONFIGURATION = {
  Version: 3,
  Routes: [
    { ...ROUTE, Name: 'plain', PathPrefix: '/plain/', Type: 'non_idempotent' },
    { ...ROUTE, Name: 'stream', PathPrefix: '/stream/', Type: 'streaming' },
  ],
  Services: [{ Name: 'bad', MaxConnections: 40 }],
  Limits: { MaxHeaderBytes: 8000, MaxBodyBytes: 1000, HeaderTimeoutMs: 3000, IdleTimeoutMs: 5000 },
  Tenants: [],
}
const FIELDS = 'Attempt-Id: id-1\r\nServer-Signature: signed\r\n'
const BODY = 'Content-Length: 6\r\n\r\nanswer'

let store: StandInStore
let started: StartedGateway
let backend: StandInBackend

beforeEach(async () => {
  store = new StandInStore()
  started = await startGateway('gateway-a', await store.start())
  backend = new StandInBackend('bad-a', 'bad')
  store.put('keyed.op', 'config', CONFIGURATION)
  await backend.start()
  store.put('keyed.servers', backend.id, backend.entry())
  await vi.waitFor(async () => expect((await request(started.readiness)).statusCode).toBe(200), { timeout: 5000 })
})

afterEach(async () => {
  await started.gateway.close()
  await Promise.all([store.stop(), backend.stop()])
})

async function send(path: string, requestId: string): Promise<{ status: number, body: string, tookMs: number, signature: unknown }> {
  const startedAt = performance.now()
  const response = await request(`${started.address}${path}`, { method: 'POST', headers: { 'host': 'host.example', 'attempt-id': requestId, 'deadline-ms': String(DEADLINE_MS) }, body: '' })
  const body = await response.body.text()
  return { status: response.statusCode, body, tookMs: performance.now() - startedAt, signature: response.headers['server-signature'] }
}

const STATUSES = ['000', '099', '0', '20', '2000', '-12', '101', '199', '600', '999']
const HEADS: readonly (readonly [string, string])[] = [
  ...STATUSES.map(status => [`the status ${status}`, `HTTP/1.1 ${status} OK\r\n${FIELDS}${BODY}`] as const),
  ...STATUSES.map(status => [`the status ${status} and no body`, `HTTP/1.1 ${status} OK\r\n${FIELDS}Content-Length: 0\r\n\r\n`] as const),
  ...STATUSES.map(status => [`the status ${status} after an interim response`, `HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 ${status} OK\r\n${FIELDS}${BODY}`] as const),
  ['the status 204 and a body with a length', `HTTP/1.1 204 No Content\r\n${FIELDS}${BODY}`],
  ['the status 204 and a body in chunks', `HTTP/1.1 204 No Content\r\n${FIELDS}Transfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n`],
]

describe.each(['/plain/', '/stream/'])('a backend server that answers a request to %s with', (path) => {
  // Guards against heads that are no response of the protocol, passed on to clients as one or waited on until the deadline.
  test.each(HEADS)('%s has its connection closed, and its client gets no success and no foreign status', async (_name, head) => {
    const closed = new Promise<void>((resolve) => {
      backend.respond = (seen, response) => {
        if (seen.path.startsWith('/-/'))
          return answerCompletely()(seen, response)
        response.socket!.on('error', () => {}).on('close', resolve)
        response.socket!.write(head)
      }
    })
    const answer = await send(path, 'id-1')
    expect(answer).toMatchObject({ status: 502, signature: undefined })
    expect(answer.tookMs).toBeLessThan(MAX_ANSWER_MS)
    await closed
    backend.respond = answerCompletely()
    expect(await send('/plain/', 'id-2')).toMatchObject({ status: 200, body: 'answer to /plain/' })
    expect(backend.seen.filter(({ headers }) => headers['attempt-id'] === 'id-1')).toHaveLength(1)
  })
})
