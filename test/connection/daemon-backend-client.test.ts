import type { AddressInfo, Server, Socket } from 'node:net'
import { once } from 'node:events'
import { createServer } from 'node:net'
import { wait } from '@eidermast/common'
import { BackendOutcome, HttpBackendClient } from '@eidermast/daemon'
import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { createStageCall } from '../support/fixtures.js'

/** Far longer than a response on the same VM takes. */
const MAX_ANSWER_MS = 3000

let server: Server
let client: HttpBackendClient
/** Called with each connection and the number of the request on it. */
let respond: (socket: Socket, request: number) => void

beforeEach(async () => {
  server = createServer((socket) => {
    let requests = 0
    socket.on('error', () => {})
    socket.on('data', () => respond(socket, ++requests))
  }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  client = new HttpBackendClient(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, 1)
})

afterEach(async () => {
  await client.close()
  server.close()
})

function callService(signal = new AbortController().signal) {
  return client.run(createStageCall({ serviceRequest: { method: 'GET', path: '/answer' }, input: '' }), signal)
}

// Guards against a late copy of an earlier response, which no id tells from the response to the next run.
test('a late copy of an earlier response is not taken for the response to the next run', async () => {
  let runs = 0
  respond = (socket) => {
    const body = `run ${++runs}`
    const response = `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`
    socket.write(response)
    socket.prependOnceListener('data', () => socket.write(response))
  }
  expect(await callService()).toMatchObject({ output: 'run 1' })
  // Until a connection that is kept is idle.
  await wait(50)
  expect(await callService()).toMatchObject({ output: 'run 2' })
})

describe('the response of a plain service without a length', () => {
  test('is complete when its connection ends and the service runs on', async () => {
    respond = socket => socket.end('HTTP/1.1 200 OK\r\n\r\nwhole')
    expect(await callService()).toMatchObject({ outcome: BackendOutcome.Done, output: 'whole' })
  })

  // Guards against the regular close of a dying process, taken for the end of its response.
  test('is lost when its connection ends because the service dies', async () => {
    respond = (socket) => {
      server.close()
      socket.end('HTTP/1.1 200 OK\r\n\r\nhalf')
    }
    expect(await callService()).toMatchObject({ outcome: BackendOutcome.Lost, output: '' })
  })
})

// Guards against heads that are no response, taken for one or waited on until the deadline.
test.each([
  ['the status 000', 'HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n'],
  ['the status 101', 'HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: upgrade\r\n\r\n'],
  ['the status 199 and a length', 'HTTP/1.1 199 OK\r\nContent-Length: 0\r\n\r\n'],
  ['the status 204 and a body', 'HTTP/1.1 204 No Content\r\nContent-Length: 6\r\n\r\nanswer'],
  ['the status 600', 'HTTP/1.1 600 Unknown\r\nContent-Length: 6\r\n\r\nanswer'],
])('the response of a plain service with %s is none', async (_name, head) => {
  respond = socket => socket.write(head)
  const result = await callService(AbortSignal.timeout(MAX_ANSWER_MS))
  expect(result).toMatchObject({ outcome: BackendOutcome.Lost, output: '' })
})

// Guards against heads that were cut off, taken for the head of an empty or short answer.
test.each([
  ['a length', 'HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n'],
  ['chunks', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'],
  ['neither and a close', 'HTTP/1.1 200 OK\r\nConnection: close\r\nX-Last: 1\r\n\r\n'],
  ['an interim response and a close before it', 'HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\nHTTP/1.1 200 OK\r\n\r\n'],
])('the response of a plain service is lost, wherever a head with %s is cut', async (_name, head) => {
  for (let bytes = 0; bytes < head.length; bytes++) {
    for (const isReset of [false, true]) {
      respond = socket => socket.write(head.slice(0, bytes), () => isReset ? socket.resetAndDestroy() : socket.end())
      expect(await callService(), `cut after ${bytes} bytes`).toMatchObject({ outcome: BackendOutcome.Lost, output: '' })
    }
  }
})

describe('a backend server that sends without end', () => {
  const BLOCK = 'x'.repeat(1_000_000)

  /** Writes a head and then blocks until the connection closes; resolves once it is closed. */
  function writeWithoutEnd(socket: Socket, head: string): Promise<void> {
    const closed = new Promise<void>(resolve => socket.once('close', () => resolve()))
    socket.write(head)
    const write = (): void => {
      socket.write(BLOCK, () => !socket.destroyed && write())
    }
    write()
    return closed
  }

  // Guards against a side whose memory fills with the bytes of one faulty backend server.
  test.each([
    ['a plain service', { serviceRequest: { method: 'GET', path: '/answer' }, input: '' }, 'HTTP/1.1 200 OK\r\n\r\n', BackendOutcome.Lost],
    ['a refusal of a run', {}, 'HTTP/1.1 503 Full\r\n\r\n', BackendOutcome.Refused],
    ['a run', {}, 'HTTP/1.1 200 OK\r\n\r\n', BackendOutcome.Lost],
  ])('has its connection closed: %s', async (_name, overrides, head, outcome) => {
    let closed: Promise<void> | undefined
    respond = (socket) => {
      closed ??= writeWithoutEnd(socket, head)
    }
    const result = await client.run(createStageCall(overrides), new AbortController().signal)
    expect(result).toMatchObject({ outcome, output: '' })
    await closed
  })

  test('tokens without end of a line have their connection closed', async () => {
    let closed: Promise<void> | undefined
    respond = (socket) => {
      closed ??= writeWithoutEnd(socket, 'HTTP/1.1 200 OK\r\n\r\n{"token":"')
    }
    const result = await client.run(createStageCall(), new AbortController().signal, () => {})
    expect(result.outcome).not.toBe(BackendOutcome.Done)
    await closed
  })
})
