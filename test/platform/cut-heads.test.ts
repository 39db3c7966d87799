import type { ServerResponse } from 'node:http'
import type { StartedGateway } from './support/in-process-gateway.js'
import type { ReceivedRequest, RequestHandler } from './support/stand-in-backend.js'
import { request } from 'undici'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { startGateway } from './support/in-process-gateway.js'
import { answerCompletely, StandInBackend, streamEvents } from './support/stand-in-backend.js'
import { StandInStore } from './support/stand-in-store.js'

const DEADLINE_MS = 5000
const ROUTE = { Host: 'host.example', TimeoutMs: DEADLINE_MS, TargetLatencyMs: 400, TargetGapMs: 200, Public: true }
const CONFIGURATION = {
  Version: 3,
  Routes: [
    { ...ROUTE, Name: 'plain', PathPrefix: '/plain/', Type: 'non_idempotent', Service: 'bad', MaxAttempts: 1 },
    { ...ROUTE, Name: 'stream', PathPrefix: '/stream/', Type: 'streaming', Service: 'bad', MaxAttempts: 1 },
    { ...ROUTE, Name: 'resumed', PathPrefix: '/resumed/', Type: 'streaming', Service: 'bad', StreamResume: true, MaxAttempts: 2 },
  ],
  Services: [{ Name: 'bad', MaxConnections: 40 }],
  Limits: { MaxHeaderBytes: 8000, MaxBodyBytes: 1000, HeaderTimeoutMs: 3000, IdleTimeoutMs: 5000 },
  Tenants: [],
}
const FIELDS = 'Attempt-Id: ID\r\nServer-Signature: signed\r\n'
/** Requests that are sent at a time, each on a connection of its own. */
const AT_A_TIME = 16

/** Heads up to and including their blank line, with a placeholder for the id of the request. */
const HEADS: readonly (readonly [string, string])[] = [
  ['a length', `HTTP/1.1 200 OK\r\n${FIELDS}Content-Length: 16\r\n\r\n`],
  ['chunks', `HTTP/1.1 200 OK\r\n${FIELDS}Transfer-Encoding: chunked\r\n\r\n`],
  ['neither', `HTTP/1.1 200 OK\r\n${FIELDS}X-Last: 1\r\n\r\n`],
  ['neither and a close', `HTTP/1.1 200 OK\r\nConnection: close\r\n${FIELDS}X-Last: 1\r\n\r\n`],
  ['the version 1.0', `HTTP/1.0 200 OK\r\n${FIELDS}Content-Length: 16\r\n\r\n`],
  ['an interim response and a close before it', `HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\nHTTP/1.1 200 OK\r\nConnection: close\r\n${FIELDS}\r\n\r\n`],
]

/** How a backend server ends a connection. */
enum Ending {
  Close = 'close',
  Reset = 'reset',
}

let store: StandInStore
let started: StartedGateway
let backend: StandInBackend

beforeEach(async () => {
  store = new StandInStore()
  started = await startGateway('gateway-a', await store.start(), { retry: ['ratio = 1', 'extra = 1000'] })
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

interface Answer {
  /** Number of bytes after which the head was cut. */
  bytes: number
  status: number
  /** Undefined if it did not end as complete. */
  body: string | undefined
}

/** Sends a request whose id names the number of bytes after which its head is to be cut. */
async function send(path: string, bytes: number): Promise<Answer> {
  const headers = { 'host': 'host.example', 'attempt-id': `id-${bytes}`, 'deadline-ms': String(DEADLINE_MS) }
  const response = await request(`${started.address}${path}`, { method: 'POST', headers, body: '' })
  return { bytes, status: response.statusCode, body: await response.body.text().catch(() => undefined) }
}

/** Writes the bytes of a head that the request's id names, and ends the connection. */
function cutHead({ headers }: ReceivedRequest, { socket }: ServerResponse, head: string, ending: Ending): void {
  const id = String(headers['attempt-id'])
  const bytes = head.replace('ID', id).slice(0, Number(id.split('-')[1]))
  socket!.on('error', () => {})
  socket!.write(bytes, () => ending === Ending.Close ? socket!.end() : socket!.resetAndDestroy())
}

/** Lets the backend server answer requests of clients by a handler, and others completely. */
function respondBy(handle: RequestHandler): void {
  backend.respond = (seen, response) => seen.path.startsWith('/-/') ? answerCompletely()(seen, response) : handle(seen, response)
}

/** Sends a request for each place within a head, every other group on connections that were used before. */
async function sendForEachCut(path: string, head: string, handle: RequestHandler): Promise<Answer[]> {
  const answers: Answer[] = []
  for (let first = 0; first < head.length; first += AT_A_TIME) {
    const cuts = Array.from({ length: Math.min(AT_A_TIME, head.length - first) }, (_, index) => first + index)
    if (first % (2 * AT_A_TIME) === 0) {
      backend.respond = answerCompletely()
      const used = await Promise.all(cuts.map(bytes => send('/plain/x', bytes)))
      expect(used.filter(({ status, body }) => status !== 200 || body !== 'answer to /plain/x')).toEqual([])
    }
    respondBy(handle)
    answers.push(...await Promise.all(cuts.map(bytes => send(path, bytes))))
  }
  return answers
}

describe.each(Object.values(Ending))('a backend server that stops within a head and ends the connection by a %s', (ending) => {
  // Guards against heads that were cut off, taken for the head of an empty or short answer.
  describe.each(['/plain/x', '/stream/x'])('in its answer to %s', (path) => {
    test.each(HEADS)('brings its client no success, wherever a head with %s is cut', async (_name, head) => {
      const answers = await sendForEachCut(path, head, (seen, response) => cutHead(seen, response, head, ending))
      expect(answers.filter(({ status }) => status < 400)).toEqual([])
    })
  })

  test.each(HEADS)('does not end a stream as complete that it goes on with, wherever a head with %s is cut', async (_name, head) => {
    const answers = await sendForEachCut('/resumed/x', head, (seen, response) => {
      return seen.headers['last-event-id'] === undefined ? streamEvents(4, 2)(seen, response) : cutHead(seen, response, head, ending)
    })
    expect(answers.filter(({ body }) => body !== undefined)).toEqual([])
  })
})
