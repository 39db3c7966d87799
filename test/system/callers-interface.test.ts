import { createHash } from 'node:crypto'
import { once } from 'node:events'
import { connect } from 'node:net'
import { ErrorKind, Ran } from '@eidermast/common'
import { DeploymentName, ProcessKind, resolveDeployment, RunningSystem } from '@eidermast/stand-ins'
import { request } from 'undici'
import { v7 as uuidv7 } from 'uuid'
import { afterAll, beforeAll, describe, expect, test } from 'vitest'
import { WebSocket } from 'ws'
import { callPipeline, DEFAULT_ACCOUNT, runsOf } from '../support/caller.js'

const MAX_BODY_BYTES = 3_000_000
const BODY_TIMEOUT_MS = 400
const WRITE_TIMEOUT_MS = 500
const TOKEN = 'a-token-of-the-council'

let system: RunningSystem

beforeAll(async () => {
  const small = resolveDeployment(DeploymentName.Small)
  const accounts = small.accounts.map(account => account.name === 'council-warwick'
    ? { ...account, value: { ...account.value, tokenHashes: [createHash('sha256').update(TOKEN).digest('hex')] } }
    : account)
  system = await RunningSystem.launch({
    deployment: { ...small, accounts },
    entrySettings: { 'max-body-bytes': String(MAX_BODY_BYTES), 'body-timeout-ms': String(BODY_TIMEOUT_MS), 'write-timeout-ms': String(WRITE_TIMEOUT_MS) },
  })
})

afterAll(() => system.stop())

interface RawCall {
  method?: 'GET' | 'POST' | 'PUT'
  path?: string
  headers?: Record<string, string>
  body?: string | Buffer
}

const PIPELINE_PATH = '/v1/pipelines/rider-answer/requests'
const VALID_BODY = '{"input":"x"}'

async function send({ method = 'POST', path = PIPELINE_PATH, headers = {}, body }: RawCall) {
  const response = await request(system.entryUrls[0] + path, {
    method,
    headers: { 'eidermast-account': DEFAULT_ACCOUNT, ...headers },
    body: method === 'GET' ? null : body ?? VALID_BODY,
  })
  const answer = await response.body.json() as { kind: ErrorKind, ran: Ran, message: string }
  return { status: response.statusCode, ...answer }
}

/** Opens a connection to an entry and writes text to it. */
function openRawConnection(text: string) {
  const { hostname, port } = new URL(system.entryUrls[0])
  const socket = connect(Number(port), hostname)
  socket.on('error', () => {})
  socket.write(text)
  return socket
}

describe('invalid input returns its error kind, ran none and a message', () => {
  test.each<[string, RawCall, number, ErrorKind]>([
    ['an unknown path', { path: '/v2/other' }, 404, ErrorKind.UnknownPath],
    ['a method that is not allowed', { method: 'PUT' }, 405, ErrorKind.MethodNotAllowed],
    ['an unknown pipeline', { path: '/v1/pipelines/none/requests' }, 404, ErrorKind.UnknownPipeline],
    ['an unknown plain service', { path: '/v1/services/none/stops' }, 404, ErrorKind.UnknownService],
    ['a plain service call to a model engine', { path: '/v1/services/language-model/v1/orders' }, 404, ErrorKind.UnknownService],
    ['no account', { headers: { 'eidermast-account': '' } }, 400, ErrorKind.InvalidRequest],
    ['a malformed account', { headers: { 'eidermast-account': 'a/b' } }, 400, ErrorKind.InvalidRequest],
    ['an unknown account', { headers: { 'eidermast-account': 'nobody' } }, 403, ErrorKind.UnknownAccount],
    ['no token although the account requires one', { headers: { 'eidermast-account': 'council-warwick' } }, 401, ErrorKind.Unauthenticated],
    ['a wrong token', { headers: { 'eidermast-account': 'council-warwick', 'authorization': 'Bearer wrong' } }, 401, ErrorKind.Unauthenticated],
    ['a deadline of zero', { headers: { 'eidermast-deadline-ms': '0' } }, 400, ErrorKind.InvalidRequest],
    ['a deadline that is not a number', { headers: { 'eidermast-deadline-ms': 'soon' } }, 400, ErrorKind.InvalidRequest],
    ['a deadline beyond the limit', { headers: { 'eidermast-deadline-ms': '600001' } }, 400, ErrorKind.InvalidRequest],
    ['a request id that is not a UUID', { headers: { 'eidermast-request-id': 'mine' } }, 400, ErrorKind.InvalidRequest],
    ['a request id of another UUID version', { headers: { 'eidermast-request-id': '6fa459ea-ee8a-4ca4-894e-db77e160355e' } }, 400, ErrorKind.InvalidRequest],
    ['an unknown value for unrepeatable', { headers: { 'eidermast-unrepeatable': 'yes' } }, 400, ErrorKind.InvalidRequest],
    ['a ticket and a request id together', { headers: { 'eidermast-ticket': 'x.y', 'eidermast-request-id': uuidv7() } }, 400, ErrorKind.InvalidRequest],
    ['a forged ticket', { headers: { 'eidermast-ticket': 'x.y' } }, 400, ErrorKind.TicketInvalid],
    ['a body that is not JSON', { body: '{' }, 400, ErrorKind.InvalidRequest],
    ['a body without an input', { body: '{}' }, 400, ErrorKind.InvalidRequest],
    ['an empty input', { body: '{"input":""}' }, 400, ErrorKind.InvalidRequest],
    ['an unknown field', { body: '{"input":"x","inputs":"y"}' }, 400, ErrorKind.InvalidRequest],
    ['a body that is not UTF-8', { body: Buffer.from([0x22, 0xFF, 0xFE, 0x22]) }, 400, ErrorKind.InvalidRequest],
    ['a body that is too large', { body: 'x'.repeat(MAX_BODY_BYTES + 1) }, 413, ErrorKind.BodyTooLarge],
  ])('%s', async (_name, call, status, kind) => {
    const answer = await send(call)
    expect(answer).toMatchObject({ status, kind, ran: Ran.None })
    expect(answer.message.length).toBeGreaterThan(10)
  })

  test('dot segments in a service path', async () => {
    // Uses a raw connection because HTTP clients resolve dot segments before sending.
    const socket = openRawConnection(`GET /v1/services/rider-app-backend/%2e%2e/language-model/v1/orders HTTP/1.1\r\nHost: entry\r\nEidermast-Account: ${DEFAULT_ACCOUNT}\r\nConnection: close\r\n\r\n`)
    const [answer] = await once(socket, 'data') as [Buffer]
    expect(String(answer)).toContain('HTTP/1.1 400')
    expect(String(answer)).toContain('"ran":"none"')
  })

  test('an unrepeatable request with an id from the future', async () => {
    const future = uuidv7({ msecs: Date.now() + 3_600_000 })
    const answer = await callPipeline({ entryUrl: system.entryUrls[0], pipeline: 'departure-alert', input: 'x', requestId: future })
    expect(answer).toMatchObject({ status: 400, kind: ErrorKind.InvalidRequest, ran: Ran.None })
    expect(runsOf(system, future)).toEqual([])
  })

  test('an unrepeatable request with an id so old that its outcome is unknown', async () => {
    const old = uuidv7({ msecs: Date.now() - 3_600_000 })
    const answer = await callPipeline({ entryUrl: system.entryUrls[0], pipeline: 'departure-alert', input: 'x', requestId: old })
    expect(answer).toMatchObject({ status: 410, kind: ErrorKind.RequestIdExpired, ran: Ran.Unknown })
    expect(runsOf(system, old)).toEqual([])
  })

  test('one id for two different requests', async () => {
    const requestId = uuidv7()
    const call = { entryUrl: system.entryUrls[0], pipeline: 'departure-alert', requestId }
    expect((await callPipeline({ ...call, input: 'first' })).status).toBe(200)
    expect(await callPipeline({ ...call, input: 'second' })).toMatchObject({ status: 409, kind: ErrorKind.RequestIdReused })
    expect(runsOf(system, requestId)).toEqual([1, 1, 1, 1])
  })

  test('a valid token is accepted', async () => {
    const answer = await callPipeline({ entryUrl: system.entryUrls[0], pipeline: 'rider-answer', input: 'x', account: 'council-warwick', headers: { authorization: `Bearer ${TOKEN}` } })
    expect(answer.status).toBe(200)
  })
})

describe('slow callers', () => {
  test('that stall their body get a response and are disconnected', async () => {
    const socket = openRawConnection(`POST ${PIPELINE_PATH} HTTP/1.1\r\nHost: entry\r\nEidermast-Account: ${DEFAULT_ACCOUNT}\r\nContent-Length: 1000\r\n\r\n{"inp`)
    const chunks: string[] = []
    socket.on('data', chunk => chunks.push(String(chunk)))
    await once(socket, 'close')
    expect(chunks.join('')).toContain('408')
    expect(chunks.join('')).toContain(ErrorKind.BodyStalled)
  })

  test('that never read their response are disconnected', async () => {
    const body = 'x'.repeat(2_500_000)
    const head = `POST /v1/services/rider-app-backend/echo HTTP/1.1\r\nHost: entry\r\nEidermast-Account: ${DEFAULT_ACCOUNT}\r\nEidermast-Deadline-Ms: 60000\r\nContent-Length: ${body.length}\r\n\r\n`
    const socket = openRawConnection(head + body + head + body + head + body + head + body)
    socket.pause()
    // A paused socket detects that it was closed only when it writes.
    const writes = setInterval(() => socket.write('\r\n'), 100)
    await new Promise(resolve => socket.once('close', resolve))
    clearInterval(writes)
    expect(socket.bytesRead).toBeLessThan(body.length * 4)
  })
})

describe('ports between the system\'s processes', () => {
  test.each([
    ['without a key', undefined],
    ['with a wrong key', 'Eidermast wrong-key-of-some-length'],
    ['with the scheme but no key', 'Eidermast '],
  ])('reject connections %s', async (_name, authorization) => {
    for (const kind of [ProcessKind.Entry, ProcessKind.Side]) {
      const socket = new WebSocket(`ws://${system.list(kind)[0].peer}`, { headers: authorization ? { authorization } : {} })
      const [error] = await once(socket, 'error') as [Error]
      expect(error.message).toContain('401')
    }
  })

  test('serve only metrics and health over plain HTTP', async () => {
    for (const kind of [ProcessKind.Entry, ProcessKind.Side])
      expect((await request(`http://${system.list(kind)[0].peer}/run`, { method: 'POST', body: '{}' })).statusCode).toBe(404)
  })
})
