import type { CallerService, Configuration, ServiceCall } from '@eidermast/daemon'
import type { AddressInfo, Server } from 'node:net'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { connect } from 'node:net'
import process from 'node:process'
import { createError, ErrorKind, MemoryPool } from '@eidermast/common'
import { createCallerServer } from '@eidermast/daemon'
import { Err } from 'ts-results-es'
import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { beBusyDuring } from '../support/busy-loop.js'

const CLIENTS_MS = 600
const REQUESTS_PER_SECOND = 100
/** Clients in a process of their own, each with a new connection; the path says when it was sent, in epoch milliseconds. */
const CLIENTS = `
  const { request } = require('node:http')
  const headers = { 'eidermast-account': 'rider-app', 'content-length': 0 }
  const send = () => request({ port: Number(process.argv[1]), method: 'POST', path: '/v1/services/plain/' + Date.now(), headers, agent: false }, response => response.resume()).on('error', () => {}).end()
  const timer = setInterval(send, ${1000 / REQUESTS_PER_SECOND})
  setTimeout(() => clearInterval(timer), ${CLIENTS_MS})`
const ACCOUNT = { name: 'rider-app', value: { share: 1, tokenHashes: [] }, offset: 0 }

let server: Server
let calls: ServiceCall[]
let isRefusing: boolean

beforeEach(async () => {
  calls = []
  isRefusing = false
  const service: Partial<CallerService> = {
    knowsConfiguration: () => true,
    isRefusing: () => isRefusing,
    knowsService: () => true,
    runService: async (call) => {
      calls.push(call)
      return Err(createError(ErrorKind.NoBackend, 'no backend server'))
    },
  }
  server = createCallerServer({
    limits: { connections: { maxConnections: 1000, pool: new MemoryPool(1_000_000), metrics: { countConnectionsClosed: () => {} } }, bodies: new MemoryPool(1_000_000), maxBodyBytes: 1000, bodyTimeoutMs: 1000, writeTimeoutMs: 1000 },
    configuration: { get: () => ACCOUNT } as unknown as Configuration,
    service: service as CallerService,
    answerOperations: async () => false,
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
})

afterEach(() => {
  server.close()
})

// Guards against requests that begin to run while a stopping entry waits for those in flight.
test('a request whose body ends after its entry refuses new ones is refused and not run', async () => {
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  let received = ''
  socket.on('data', chunk => received += chunk)
  socket.write('POST /v1/services/plain/x HTTP/1.1\r\nHost: entry\r\nEidermast-Account: rider-app\r\nContent-Length: 2\r\n\r\n{')
  await once(server, 'request')
  isRefusing = true
  socket.write('}')
  await once(socket, 'close')
  expect(received).toMatch(/^HTTP\/1.1 503 [\s\S]*"kind":"stopping"/)
  expect(calls).toEqual([])
})

describe('requests to an entry that is short of processor time', () => {
  test('count from a time while their connections waited to be accepted, and never from before', async () => {
    const clients = spawn(process.execPath, ['-e', CLIENTS, String((server.address() as AddressInfo).port)])
    await beBusyDuring(once(clients, 'exit'))
    const waited = calls.map(({ request, arrivedAt }) => performance.timeOrigin + arrivedAt - Number(request.path.slice(1)))
    // The clients' clock shows whole milliseconds.
    expect(waited.filter(lateMs => lateMs < -1)).toEqual([])
    const last = waited.slice(-waited.length / 4)
    expect(last.reduce((sum, lateMs) => sum + lateMs, 0) / last.length).toBeLessThan(CLIENTS_MS / 4)
  })
})
