/**
 * Backend servers that send bytes without end on as many connections as a gateway
 * has to them, which has the memory of the users' platform.
 */
import type { ChildProcess } from 'node:child_process'
import type { EndlessBytes } from '../platform/support/endless-bytes.js'
import type { GatewayPorts } from '../platform/support/gateway-settings.js'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import process from 'node:process'
import { wait } from '@eidermast/common'
import { Agent, request } from 'undici'
import { afterEach, beforeAll, beforeEach, describe, expect, test } from 'vitest'
import { ENDLESS, writeWithoutEnd } from '../platform/support/endless-bytes.js'
import { createSettings, freePorts } from '../platform/support/gateway-settings.js'
import { answerCompletely, StandInBackend } from '../platform/support/stand-in-backend.js'
import { StandInStore } from '../platform/support/stand-in-store.js'
import { ProcessUsage } from './support/process-usage.js'

const BUNDLE = path.resolve('target/eidermast-gateway.mjs')
/** Memory and heap on the users' VMs. */
const MEMORY_MEGABYTES = 350
const HEAP_MEGABYTES = 160
const BAD_SERVERS = 4
/** Requests that are sent at a time, a connection to a bad server each. */
const REQUESTS = 400
const ROUNDS = 2
const ROUND_MS = 1500
const ANSWER_TIMEOUT_MS = 2500
const SERVED_WITHIN_MS = 20_000
const RETURN_MS = 200
const SET_UP_MS = 20_000
const DEADLINE_MS = 5000
const ROUTE = { Host: 'host.example', TimeoutMs: DEADLINE_MS, TargetLatencyMs: 400, TargetGapMs: 200, MaxAttempts: 1, Public: true }
const CONFIGURATION = {
  Version: 3,
  Routes: [
    { ...ROUTE, Name: 'bad', PathPrefix: '/bad/', Type: 'non_idempotent', Service: 'bad' },
    { ...ROUTE, Name: 'bad-stream', PathPrefix: '/bad-stream/', Type: 'streaming', Service: 'bad' },
    { ...ROUTE, Name: 'other', PathPrefix: '/other/', Type: 'idempotent', Service: 'other' },
  ],
  Services: [{ Name: 'bad', MaxConnections: 200 }, { Name: 'other', MaxConnections: 40 }],
  Limits: { MaxHeaderBytes: 8000, MaxBodyBytes: 1000, HeaderTimeoutMs: 3000, IdleTimeoutMs: 5000 },
  Tenants: [],
}

/** Bytes up to just below a bound, and then nothing. */
const STALLING: readonly (readonly [string, string, EndlessBytes])[] = [
  ['an event that stops below its limit', '/bad-stream/x', { first: `HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Signature: signed\r\n\r\ndata: ${'x'.repeat(260_000)}`, repeated: '', pauseMs: 100 }],
  ['a body that stops below its limit', '/bad/x', { first: `HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Signature: signed\r\n\r\n${'x'.repeat(7_900_000)}`, repeated: '', pauseMs: 100 }],
  ['a head that stops below its limit', '/bad/x', { first: `HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\n${`X-Long: ${'x'.repeat(900)}\r\n`.repeat(15)}`, repeated: '', pauseMs: 100 }],
]
const FORMS = [...ENDLESS.map(([name, route, bytes]) => [name, route, bytes] as const), ...STALLING]

let store: StandInStore
let bad: StandInBackend[]
let other: StandInBackend
let ports: GatewayPorts
let child: ChildProcess
let agent: Agent

beforeAll(async () => {
  await import('../../platform/build.mjs' as string)
})

beforeEach(async () => {
  agent = new Agent()
  store = new StandInStore()
  bad = Array.from({ length: BAD_SERVERS }, (_, index) => new StandInBackend(`bad-${index}`, 'bad'))
  other = new StandInBackend('other-a', 'other')
  ports = await freePorts()
  const storeAddress = await store.start()
  store.put('keyed.op', 'config', CONFIGURATION)
  for (const backend of [...bad, other]) {
    await backend.start()
    store.put('keyed.servers', backend.id, backend.entry())
  }
  const settings = path.join(mkdtempSync(path.join(tmpdir(), 'eidermast-faulty-')), 'gateway.ini')
  writeFileSync(settings, createSettings('gateway-a', ports, storeAddress).replace('[process]', `[process]\nmemory-megabytes = ${MEMORY_MEGABYTES}`))
  child = spawn(process.execPath, [`--max-old-space-size=${HEAP_MEGABYTES}`, BUNDLE], { env: { ...process.env, EIDERMAST_SETTINGS: settings }, stdio: 'ignore' })
  await expect.poll(() => sendOrdinary(), { timeout: SET_UP_MS }).toBe(true)
})

afterEach(async () => {
  if (child.exitCode === null && child.signalCode === null) {
    child.kill('SIGKILL')
    await once(child, 'exit')
  }
  await agent.destroy()
  await Promise.all([store.stop(), ...[...bad, other].map(backend => backend.stop())])
})

async function send(route: string, id: string, timeoutMs: number): Promise<boolean> {
  try {
    const response = await request(`http://127.0.0.1:${ports.clients}${route}`, {
      dispatcher: agent,
      method: 'POST',
      headers: { 'host': 'host.example', 'attempt-id': id, 'deadline-ms': String(DEADLINE_MS) },
      body: '{}',
      signal: AbortSignal.timeout(timeoutMs),
    })
    await response.body.dump()
    return response.statusCode === 200
  }
  catch {
    // A broken answer or connection; what counts is whether the process lives and serves others.
    return false
  }
}

function sendOrdinary(): Promise<boolean> {
  return send('/other/x', 'ordinary', ANSWER_TIMEOUT_MS)
}

async function isServedInTime(usage: ProcessUsage): Promise<boolean> {
  const startedAt = performance.now()
  while (usage.isAlive && performance.now() - startedAt < SERVED_WITHIN_MS) {
    if (await sendOrdinary())
      return true
    await wait(RETURN_MS)
  }
  return false
}

// Guards against the memory of a gateway that fills with the sum of what faulty servers send, each within its bounds.
describe('a gateway whose backend servers send on all their connections', () => {
  test.each(FORMS)('%s stays within its memory and serves other services', async (_name, route, bytes) => {
    for (const backend of bad) {
      backend.respond = (seen, response) => {
        if (seen.path.startsWith('/-/'))
          return answerCompletely()(seen, response)
        void writeWithoutEnd(response.socket!, bytes, String(seen.headers['attempt-id']))
      }
    }
    const usage = new ProcessUsage(child.pid!)
    const sent: Promise<boolean>[] = []
    for (let round = 0; round < ROUNDS; round++) {
      sent.push(...Array.from({ length: REQUESTS }, (_, index) => send(route, `${round}-${index}`, DEADLINE_MS)))
      await wait(ROUND_MS)
    }
    const wasServed = await isServedInTime(usage)
    await Promise.all(sent)
    usage.stop()
    if (process.env.EIDERMAST_SHOW_USAGE)
      console.warn(`${Math.round(usage.highestMemoryBytes / 1e6)} MB, alive ${usage.isAlive}, served ${wasServed}`)
    expect(usage.isAlive, 'the process lives').toBe(true)
    expect(usage.highestMemoryBytes, 'memory').toBeLessThanOrEqual(MEMORY_MEGABYTES * 1e6)
    expect(wasServed, 'an ordinary request is answered').toBe(true)
  })
})
