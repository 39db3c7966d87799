/**
 * Single requests that are within the configured limits, however odd they are:
 * in calm, a gateway serves each of them whole.
 */
import type { Socket } from 'node:net'
import type { StartedGateway } from '../platform/support/in-process-gateway.js'
import { connect } from 'node:net'
import { request } from 'undici'
import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { startGateway } from '../platform/support/in-process-gateway.js'
import { StandInBackend } from '../platform/support/stand-in-backend.js'
import { StandInStore } from '../platform/support/stand-in-store.js'

const MAX_HEAD_BYTES = 16_384
const MAX_BODY_BYTES = 4_194_304
const SET_UP_MS = 20_000
const CONFIGURATION = {
  Version: 3,
  Routes: [{ Name: 'plain', Host: 'host.example', PathPrefix: '/plain/', Type: 'non_idempotent', Service: 'plain', TimeoutMs: 50_000, TargetLatencyMs: 1000, MaxAttempts: 1 }],
  Services: [{ Name: 'plain', MaxConnections: 100 }],
  Limits: { MaxHeaderBytes: MAX_HEAD_BYTES, MaxBodyBytes: MAX_BODY_BYTES, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000 },
}

let store: StandInStore
let plain: StandInBackend
let gateway: StartedGateway

beforeEach(async () => {
  store = new StandInStore()
  plain = new StandInBackend('plain-a', 'plain')
  await plain.start()
  store.put('keyed.op', 'config', CONFIGURATION)
  store.put('keyed.servers', plain.id, plain.entry())
  gateway = await startGateway('gateway-a', await store.start())
  await expect.poll(async () => (await request(gateway.readiness)).statusCode, { timeout: SET_UP_MS }).toBe(200)
})

afterEach(async () => {
  await gateway.gateway.close()
  await Promise.all([store.stop(), plain.stop()])
})

function connectToGateway(): Socket {
  return connect(Number(new URL(gateway.address).port), '127.0.0.1')
}

/** Sends the parts of one or several requests, and returns what the gateway sent until it closed the connection. */
async function send(parts: Iterable<string>): Promise<string> {
  const socket = connectToGateway()
  const answer = (async () => {
    let text = ''
    for await (const part of socket)
      text += String(part)
    return text
  })()
  for (const part of parts) {
    if (!socket.write(part))
      await new Promise(resolve => socket.once('drain', resolve))
  }
  return answer
}

function formatHead(lines: readonly string[], id = 'single', path = 'x'): string {
  return [`POST /plain/${path} HTTP/1.1`, 'Host: host.example', ...lines, `Attempt-Id: ${id}`, 'Deadline-Ms: 50000', '', ''].join('\r\n')
}

/** Lines of names that differ, without values. */
function shortLines(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${index.toString(36).padStart(1, 'a')}:`)
}

const BODIES = {
  'by length': { line: 'Content-Length: 5', body: 'whole' },
  'in chunks': { line: 'Transfer-Encoding: chunked', body: '2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n' },
}

describe('a single request within the limits', () => {
  test.each([900, 1100, 1900, 2500].flatMap(lines => Object.entries(BODIES).map(([how, body]) => ({ lines, how, ...body }))))('of $lines header lines and a body $how is passed on whole', async ({ lines, line, body }) => {
    const answer = await send([`${formatHead([...shortLines(lines), line, 'Connection: close'])}${body}`])
    expect(answer).toMatch(/^HTTP\/1.1 200 /)
    expect(plain.seen).toHaveLength(1)
    expect(plain.seen[0].body).toBe('whole')
    expect(Object.keys(plain.seen[0].headers).length).toBeGreaterThan(lines)
  })

  test('whose lines are as short as can be, up to the limit, is passed on whole', async () => {
    const own = formatHead(['Content-Length: 5', 'Connection: close'])
    const lines = Array.from({ length: Math.floor((MAX_HEAD_BYTES - own.length) / 4) }, () => 'b:')
    const answer = await send([`${formatHead([...lines, 'Content-Length: 5', 'Connection: close'])}whole`])
    expect(answer).toMatch(/^HTTP\/1.1 200 /)
    expect(plain.seen[0].body).toBe('whole')
  })

  test.each([400_000, MAX_BODY_BYTES])('with a body of %i chunks of one byte is passed on whole', async (chunks) => {
    const chunksAtOnce = 2 ** 12
    const whole = Array.from({ length: Math.floor(chunks / chunksAtOnce) }, () => '1\r\nx\r\n'.repeat(chunksAtOnce))
    const answer = await send([formatHead(['Transfer-Encoding: chunked', 'Connection: close']), ...whole, '1\r\nx\r\n'.repeat(chunks % chunksAtOnce), '0\r\n\r\n'])
    expect(answer).toMatch(/^HTTP\/1.1 200 /)
    expect(plain.seen[0].body).toHaveLength(chunks)
  })

  test('whose trailers have very many lines is passed on whole', async () => {
    const trailers = shortLines(2500).map(line => `${line}\r\n`).join('')
    const answer = await send([`${formatHead(['Transfer-Encoding: chunked', 'Connection: close'])}5\r\nwhole\r\n0\r\n${trailers}\r\n`])
    expect(answer).toMatch(/^HTTP\/1.1 200 /)
    expect(plain.seen[0].body).toBe('whole')
  })
})

test.each([6, 60])('%i requests that are sent ahead are answered in their order', async (requests) => {
  const heads = Array.from({ length: requests }, (_, index) => formatHead(index === requests - 1 ? ['Connection: close'] : [], `ahead-${index}`, String(index)))
  const answer = await send([heads.join('')])
  expect([...answer.matchAll(/answer to \/plain\/(\d+)/g)].map(([, index]) => Number(index))).toEqual(Array.from({ length: requests }, (_, index) => index))
})

test.each([600, 3000])('%i bytes of a body and of the requests after it arrive whole, wherever they are divided', async (size) => {
  const body = 'a\n\r\n\n'.repeat(size / 5)
  const one = (index: number, further: readonly string[]): string => `${formatHead([`Content-Length: ${body.length}`, ...further], `body-${index}`, String(index))}${body}`
  const answer = await send([one(0, []) + one(1, []) + one(2, ['Connection: close'])])
  expect([...answer.matchAll(/answer to \/plain\/(\d+)/g)].map(([, index]) => index)).toEqual(['0', '1', '2'])
  expect(plain.seen.map(seen => seen.body)).toEqual([body, body, body])
})
