import type { ChildProcess } from 'node:child_process'
import type { Dispatcher } from 'undici'
import type { GatewayPorts } from './support/gateway-settings.js'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { wait } from '@eidermast/common'
import { Client, request } from 'undici'
import { afterEach, beforeAll, beforeEach, expect, test } from 'vitest'
import { LogPipe } from '../support/log-pipe.js'
import { createSettings, freePorts } from './support/gateway-settings.js'
import { answerCompletely, StandInBackend } from './support/stand-in-backend.js'
import { StandInStore } from './support/stand-in-store.js'

const BUNDLE = path.resolve('target/eidermast-gateway.mjs')
const DEADLINE_MS = 30_000
/** Longer than a gateway takes to write its last log lines. */
const WORK_MS = 3000
const CLIENTS = 60
/** When the first request is sent after SIGTERM: the last gateway has ended its service then, if it has no request. */
const FIRST_REQUEST_MS = 2870
const REQUEST_INTERVAL_MS = 25
const CONFIGURATION = {
  Version: 3,
  Routes: [{ Name: 'plain', Host: 'host.example', PathPrefix: '/', Type: 'non_idempotent', Service: 'plain', MaxAttempts: 1, TimeoutMs: DEADLINE_MS, TargetLatencyMs: 1000, Public: true }],
  Services: [{ Name: 'plain', MaxConnections: 400 }],
  Limits: { MaxHeaderBytes: 8000, MaxBodyBytes: 1000, HeaderTimeoutMs: 3000, IdleTimeoutMs: 20_000 },
  Tenants: [],
}

let store: StandInStore
let backend: StandInBackend
let ports: GatewayPorts
let pipe: LogPipe
let child: ChildProcess
let exited: Promise<unknown[]>

beforeAll(async () => {
  await import('../../platform/build.mjs' as string)
})

beforeEach(async () => {
  store = new StandInStore()
  backend = new StandInBackend('plain-a', 'plain')
  await backend.start()
  ports = await freePorts()
  const settings = path.join(mkdtempSync(path.join(tmpdir(), 'eidermast-requests-')), 'gateway.ini')
  writeFileSync(settings, createSettings('gateway-a', ports, await store.start()))
  store.put('keyed.op', 'config', CONFIGURATION)
  store.put('keyed.servers', backend.id, backend.entry())
  pipe = new LogPipe()
  child = spawn(process.execPath, [BUNDLE], { env: { ...process.env, EIDERMAST_SETTINGS: settings }, stdio: ['ignore', pipe.writeEnd, 'inherit'] })
  exited = once(child, 'exit')
  await expect.poll(isReady, { timeout: 20_000 }).toBe(true)
})

afterEach(async () => {
  child.kill('SIGKILL')
  await exited
  pipe.close()
  await Promise.all([store.stop(), backend.stop()])
})

async function isReady(): Promise<boolean> {
  try {
    const response = await request(`http://127.0.0.1:${ports.readiness}/`)
    await response.body.dump()
    return response.statusCode === 200
  }
  catch {
    return false
  }
}

/** Sends a request on a client's connection; resolves with the status of its complete answer, or undefined without one. */
async function send(client: Dispatcher, id: string): Promise<number | undefined> {
  try {
    const response = await client.request({ path: '/x', method: 'POST', headers: { 'host': 'host.example', 'attempt-id': id, 'deadline-ms': String(DEADLINE_MS) }, body: '{}' })
    await response.body.dump()
    return response.statusCode
  }
  catch {
    return undefined
  }
}

// Guards against requests that are passed on between the decision of the last gateway to end and the exit of its process.
test('requests that reach the last gateway at the end of its stop are answered if they were passed on', async () => {
  const clients = Array.from({ length: CLIENTS }, () => new Client(`http://127.0.0.1:${ports.clients}`))
  await Promise.all(clients.map((client, index) => send(client, `first-${index}`)))
  backend.respond = async (seen, response) => {
    await wait(WORK_MS)
    await answerCompletely()(seen, response)
  }
  // A late reader of the log delays the exit.
  pipe.fill()
  child.kill('SIGTERM')
  await wait(FIRST_REQUEST_MS)
  const statuses = await Promise.all(clients.map(async (client, index) => {
    await wait(index * REQUEST_INTERVAL_MS)
    return { id: `late-${index}`, status: await send(client, `late-${index}`) }
  }))
  const passedOn = new Set(backend.seen.map(({ headers }) => headers['attempt-id']))
  expect(passedOn.size).toBeGreaterThanOrEqual(CLIENTS)
  expect(statuses.filter(({ id, status }) => status === undefined && passedOn.has(id))).toEqual([])
  await Promise.all(clients.map(client => client.destroy()))
}, 30_000)
