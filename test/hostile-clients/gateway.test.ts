/**
 * Clients that do not behave, at each port of a gateway process that has less
 * memory and fewer descriptors than on the users' platform.
 */
import type { ChildProcess } from 'node:child_process'
import type { GatewayPorts } from '../platform/support/gateway-settings.js'
import type { HostileForm, RequestLines } from './support/hostile-forms.js'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import process from 'node:process'
import { request } from 'undici'
import { afterEach, beforeAll, beforeEach, describe, expect, test } from 'vitest'
import { createSettings, freePorts } from '../platform/support/gateway-settings.js'
import { StandInBackend } from '../platform/support/stand-in-backend.js'
import { StandInStore } from '../platform/support/stand-in-store.js'
import { DESCRIPTOR_FORMS, MAX_HEAD_BYTES, MEMORY_FORMS, UNROUTED_FORMS } from './support/hostile-forms.js'
import { playCrowd } from './support/hostile-run.js'

const BUNDLE = path.resolve('target/eidermast-gateway.mjs')
/** The users' VMs have 350 MB and a heap of 160 MB; this one has 100 MB less of both. */
const MEMORY_MEGABYTES = 250
const HEAP_MEGABYTES = 60
const MAX_DESCRIPTORS = 800
/** Of the descriptors of a VM, these are kept for files; the process needs others for its own connections. */
const FILE_DESCRIPTORS = 200
/** Clients that fill memory, and clients that keep descriptors open: more than there are. */
const CLIENTS = 400
const CONNECTING_CLIENTS = 1000
const SET_UP_MS = 20_000
/** After this time an ordinary client gives up, and sends its request again. */
const ANSWER_TIMEOUT_MS = 2500
/** Clients of a stuck service wait for longer than a crowd stays. */
const TIMEOUT_MS = 10_000

const ROUTE = { Host: 'host.example', TimeoutMs: TIMEOUT_MS, TargetLatencyMs: 1000, MaxAttempts: 1, Type: 'non_idempotent' }
const CONFIGURATION = {
  Version: 3,
  Routes: [
    { ...ROUTE, Name: 'plain', PathPrefix: '/plain/', Service: 'plain' },
    { ...ROUTE, Name: 'stuck', PathPrefix: '/stuck/', Service: 'stuck' },
  ],
  Services: [{ Name: 'plain', MaxConnections: 100 }, { Name: 'stuck', MaxConnections: 100 }],
  Limits: { MaxHeaderBytes: MAX_HEAD_BYTES, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000 },
}

let store: StandInStore
let plain: StandInBackend
let stuck: StandInBackend
let ports: GatewayPorts
let child: ChildProcess

beforeAll(async () => {
  await import('../../platform/build.mjs' as string)
})

beforeEach(async () => {
  store = new StandInStore()
  plain = new StandInBackend('plain-a', 'plain')
  stuck = new StandInBackend('stuck-a', 'stuck')
  stuck.respond = () => {}
  ports = await freePorts()
  const storeAddress = await store.start()
  await Promise.all([plain.start(), stuck.start()])
  store.put('keyed.op', 'config', CONFIGURATION)
  store.put('keyed.servers', plain.id, plain.entry())
  store.put('keyed.servers', stuck.id, stuck.entry())
  const settings = path.join(mkdtempSync(path.join(tmpdir(), 'eidermast-hostile-')), 'gateway.ini')
  writeFileSync(settings, createSettings('gateway-a', ports, storeAddress, { load: ['admission = adaptive'] })
    .replace('[process]', `[process]\nmemory-megabytes = ${MEMORY_MEGABYTES}\nmax-open-files = ${MAX_DESCRIPTORS}`))
  // The shell sets the limit of descriptors and becomes the gateway.
  child = spawn('/bin/sh', ['-c', `ulimit -n ${MAX_DESCRIPTORS} && exec "$0" "$@"`, process.execPath, `--max-old-space-size=${HEAP_MEGABYTES}`, BUNDLE], { env: { ...process.env, EIDERMAST_SETTINGS: settings }, stdio: ['ignore', 'ignore', process.env.EIDERMAST_SHOW_USAGE ? 'inherit' : 'ignore'] })
  await expect.poll(() => sendOrdinary().catch(() => false), { timeout: SET_UP_MS }).toBe(true)
})

afterEach(async () => {
  if (child.exitCode === null && child.signalCode === null) {
    child.kill('SIGKILL')
    await once(child, 'exit')
  }
  await Promise.all([store.stop(), plain.stop(), stuck.stop()])
})

async function sendOrdinary(): Promise<boolean> {
  const response = await request(`http://127.0.0.1:${ports.clients}/plain/x`, {
    method: 'POST',
    headers: { 'host': 'host.example', 'attempt-id': 'ordinary', 'deadline-ms': '5000' },
    body: 'ordinary',
    // Each on a connection of its own, as those of new clients.
    reset: true,
    signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
  })
  await response.body.dump()
  return response.statusCode === 200
}

const HEADERS = ['Host: host.example', 'Attempt-Id: h', 'Deadline-Ms: 10000']

interface Target {
  what: string
  port: keyof GatewayPorts
  request: RequestLines
  memoryForms: readonly HostileForm[]
  descriptorForms: readonly HostileForm[]
}

const ALL_FORMS = { memoryForms: MEMORY_FORMS, descriptorForms: DESCRIPTOR_FORMS }

/** The ports of a gateway, with what is asked for there. */
const TARGETS: Target[] = [
  { what: 'a route', port: 'clients', request: { method: 'GET', path: '/stuck/x', headers: HEADERS }, ...ALL_FORMS },
  { what: 'no route', port: 'clients', request: { method: 'GET', path: '/nowhere/x', headers: HEADERS }, memoryForms: UNROUTED_FORMS, descriptorForms: [] },
  { what: 'its readiness', port: 'readiness', request: { method: 'GET', path: '/-/readyz', headers: ['Host: a'] }, ...ALL_FORMS },
  { what: 'a procedure for other gateways', port: 'peers', request: { method: 'GET', path: '/configuration', headers: ['Host: a'] }, ...ALL_FORMS },
  { what: 'its metrics', port: 'metrics', request: { method: 'GET', path: '/metrics', headers: ['Host: a'] }, ...ALL_FORMS },
]

function playAt({ port, request: lines }: Target, forms: readonly HostileForm[], clients: number): Promise<void> {
  return playCrowd({
    pid: child.pid!,
    port: ports[port],
    clients,
    bytes: forms.map(form => form.createBytes(lines)),
    maxMemoryBytes: MEMORY_MEGABYTES * 1e6,
    maxDescriptors: MAX_DESCRIPTORS - FILE_DESCRIPTORS,
    sendOrdinary,
  })
}

describe.each(TARGETS)('a gateway that hostile clients ask for $what', (target) => {
  test.each(target.memoryForms)('stays within its memory if they send $name', form => playAt(target, [form], CLIENTS))
  test('stays within its memory if they send all of that at once', () => playAt(target, target.memoryForms, CLIENTS))
  test.each(target.descriptorForms)('stays within its descriptors if they send $name', form => playAt(target, [form], CONNECTING_CLIENTS))
})
