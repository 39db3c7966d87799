import type { BackendCall, IntakeGate } from '@eidermast/gateway'
import type { AddressInfo, Server, Socket } from 'node:net'
import { createServer } from 'node:net'
import { wait } from '@eidermast/common'
import { Backend, BackendConnections, CallFailureKind, HttpBackendClient, StageCallEnd } from '@eidermast/gateway'
import { HttpStageClient, PlatformBackendCodec, PlatformLog } from '@eidermast/platform'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { createLog, createRecord, OPEN_INTAKE } from '../gateway/support/fakes.js'

const CALL: BackendCall = {
  requestId: 'id-1',
  method: 'POST',
  path: '/a/',
  headers: [['Attempt-Id', 'id-1']],
  body: Buffer.from('body'),
  remainingMs: 1000,
}
const NEVER = new AbortController().signal

let server: Server | undefined
let connections: BackendConnections | undefined
let intake: IntakeGate

/** A backend server that writes raw bytes for each request that it gets. */
async function startBackend(respond: (socket: Socket, request: number) => void): Promise<Backend> {
  let requests = 0
  server = createServer((socket) => {
    socket.on('error', () => {})
    socket.on('data', () => respond(socket, ++requests))
  })
  await new Promise<void>(resolve => server!.listen(0, '127.0.0.1', () => resolve()))
  return new Backend(createRecord({ address: `127.0.0.1:${(server.address() as AddressInfo).port}` }))
}

function createClient(): HttpBackendClient {
  intake = { ...OPEN_INTAKE }
  connections = new BackendConnections(() => 4, { waitingChanged: () => {}, started: () => {}, turnedAway: () => {} }, intake)
  return new HttpBackendClient(connections, new PlatformBackendCodec())
}

function answer(status: string, headers: Record<string, string>, body = ''): string {
  const all = { 'Attempt-Id': 'id-1', 'Content-Length': String(body.length), ...headers }
  const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`)
  return `HTTP/1.1 ${status}\r\n${lines.join('')}\r\n${body}`
}

async function readAll(body: AsyncIterable<Buffer>): Promise<string> {
  const chunks: Buffer[] = []
  for await (const chunk of body)
    chunks.push(chunk)
  return Buffer.concat(chunks).toString()
}

afterEach(async () => {
  await connections?.close()
  server?.close()
})

describe('an answer of a backend server', () => {
  test('is handed on with its head and body', async () => {
    const bytes = answer('200 OK', { 'Server-Signature': 's', 'Replica-Load': '2,1,6' }, 'whole')
    const backend = await startBackend(socket => socket.write(bytes))
    const result = (await createClient().run(backend, CALL, NEVER)).unwrap()
    expect(result.status).toBe(200)
    expect(new Map(result.headers).get('server-signature')).toBe('s')
    expect(await readAll(result.body)).toBe('whole')
    expect(backend.load).toEqual({ running: 2, waiting: 1, capacity: 6 })
  })

  test.each([
    ['echoes another id', answer('200 OK', { 'Attempt-Id': 'id-0' }, 'x'), CallFailureKind.Broken],
    ['echoes no id', 'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx', CallFailureKind.Broken],
    ['is no answer', 'nonsense\r\n\r\n', CallFailureKind.Broken],
    ['is a refusal', answer('503 Full', { 'Not-Executed': '1' }), CallFailureKind.Refused],
    ['is of another backend server', answer('421 Misdirected', {}), CallFailureKind.Misdirected],
    ['says that an input is gone', answer('409 Conflict', { 'Not-Executed': '1' }), CallFailureKind.InputGone],
  ])('that %s is reported as that', async (_name, bytes, kind) => {
    const backend = await startBackend(socket => socket.write(bytes))
    expect((await createClient().run(backend, CALL, NEVER)).unwrapErr().kind).toBe(kind)
  })

  test.each([
    ['with a length', answer('200 OK', { 'Content-Length': '10' }).replace('\r\n\r\n', '\r\n\r\nhalf')],
    ['in chunks', 'HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n'],
  ])('%s that breaks off never looks whole', async (_name, bytes) => {
    const backend = await startBackend((socket) => {
      socket.write(bytes)
      setTimeout(() => socket.destroy(), 30)
    })
    const result = (await createClient().run(backend, CALL, NEVER)).unwrap()
    await expect(readAll(result.body)).rejects.toThrow()
  })

  test('without a length ends with its connection', async () => {
    const backend = await startBackend(socket => socket.end('HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\n\r\nwhole'))
    const result = (await createClient().run(backend, CALL, NEVER)).unwrap()
    expect(await readAll(result.body)).toBe('whole')
  })

  test('without a length that is reset never looks whole', async () => {
    const backend = await startBackend((socket) => {
      socket.write('HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\nConnection: close\r\n\r\nhalf')
      setTimeout(() => socket.resetAndDestroy(), 30)
    })
    const result = (await createClient().run(backend, CALL, NEVER)).unwrap()
    await expect(readAll(result.body)).rejects.toThrow()
  })

  test('that comes twice spoils its own connection alone', async () => {
    const backend = await startBackend((socket, request) => {
      const own = answer('200 OK', { 'Attempt-Id': `id-${request}` }, `body-${request}`)
      socket.write(request === 1 ? own + answer('200 OK', { 'Attempt-Id': 'id-1' }, 'surplus') : own)
    })
    const client = createClient()
    const first = (await client.run(backend, CALL, NEVER)).unwrap()
    expect(await readAll(first.body)).toBe('body-1')
    const second = (await client.run(backend, { ...CALL, requestId: 'id-2' }, NEVER)).unwrap()
    expect(await readAll(second.body)).toBe('body-2')
  })

  test('that comes late, in the place of the next one, does not answer it', async () => {
    const backend = await startBackend((socket, request) => {
      socket.write(answer('200 OK', { 'Attempt-Id': 'id-1' }, `body-${request}`))
    })
    const client = createClient()
    await readAll((await client.run(backend, CALL, NEVER)).unwrap().body)
    expect((await client.run(backend, { ...CALL, requestId: 'id-2' }, NEVER)).unwrapErr().kind).toBe(CallFailureKind.Broken)
  })
})

describe('a call that gets no answer', () => {
  test('may have run where its bytes were sent', async () => {
    const backend = await startBackend(socket => socket.destroy())
    expect((await createClient().run(backend, CALL, NEVER)).unwrapErr().kind).toBe(CallFailureKind.Broken)
  })

  test('has not run where nobody listens', async () => {
    const backend = await startBackend(() => {})
    await new Promise(resolve => server!.close(resolve))
    expect((await createClient().run(backend, CALL, NEVER)).unwrapErr().kind).toBe(CallFailureKind.NotSent)
  })

  test('may have run where this process abandoned it', async () => {
    const backend = await startBackend(() => {})
    const ending = new AbortController()
    setTimeout(() => ending.abort(), 50)
    expect((await createClient().run(backend, CALL, ending.signal)).unwrapErr().kind).toBe(CallFailureKind.Aborted)
  })
})

describe('a call that waits for a connection', () => {
  const CONNECTIONS = 4
  let received: number
  let backend: Backend
  let client: HttpBackendClient
  let ending: AbortController

  /** A backend server whose connections are all taken by calls that it never answers. */
  beforeEach(async () => {
    received = 0
    backend = await startBackend((_, request) => void (received = request))
    client = createClient()
    ending = new AbortController()
    for (let call = 0; call < CONNECTIONS; call++)
      void client.run(backend, CALL, ending.signal)
    await vi.waitFor(() => expect(received).toBe(CONNECTIONS))
  })

  /** Frees the connections and shows that nothing more was sent through them. */
  async function expectNothingMore(): Promise<void> {
    ending.abort()
    await wait(100)
    expect(received).toBe(CONNECTIONS)
  }

  test('ends at once, as not sent, when it is abandoned', async () => {
    const abandoning = new AbortController()
    const waiting = client.run(backend, CALL, abandoning.signal)
    abandoning.abort()
    expect((await waiting).unwrapErr().kind).toBe(CallFailureKind.AbandonedUnsent)
    await expectNothingMore()
  })

  test.each([
    ['begins to leave', () => {
      backend.record.draining = true
      connections!.turnAwayWaiting(backend)
    }],
    ['is removed', () => {
      backend.removed = true
      connections!.forget(backend)
    }],
  ])('is turned away when its backend server %s, requests and stage work alike', async (_name, leave) => {
    const stages = new HttpStageClient(connections!, new PlatformLog(createLog().log))
    const waiting = client.run(backend, CALL, NEVER)
    const stageCall = stages.run(backend, [{ requestId: 'id-1', stage: 0, index: 0, remainingMs: 1000 }], NEVER)
    leave()
    expect((await waiting).unwrapErr().kind).toBe(CallFailureKind.Leaving)
    expect((await stageCall).end).toBe(StageCallEnd.NotSent)
    await expectNothingMore()
  })

  test('is not written where its backend server began to leave and nothing has turned it away yet', async () => {
    const waiting = client.run(backend, CALL, NEVER)
    backend.record.draining = true
    ending.abort()
    expect((await waiting).unwrapErr().kind).toBe(CallFailureKind.Leaving)
    expect(received).toBe(CONNECTIONS)
  })

  test('is not written where its backend server takes no request at that moment, by its own word', async () => {
    const waiting = client.run(backend, CALL, NEVER)
    intake.waitMs = () => 500
    ending.abort()
    expect((await waiting).unwrapErr().kind).toBe(CallFailureKind.Withheld)
    expect(received).toBe(CONNECTIONS)
  })

  test('is not begun at a backend server that is leaving, while probes still reach it', async () => {
    ending.abort()
    backend.record.draining = true
    expect((await client.run(backend, CALL, NEVER)).unwrapErr().kind).toBe(CallFailureKind.Leaving)
    void client.probe(backend, 200)
    await vi.waitFor(() => expect(received).toBe(CONNECTIONS + 1))
  })
})
