import type { CallerService, Configuration, ServiceCall } from '@eidermast/daemon'
import type { AddressInfo, Server } from 'node:net'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
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

beforeEach(async () => {
  calls = []
  const service: Partial<CallerService> = {
    knowsConfiguration: () => true,
    isRefusing: () => false,
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
