/**
 * Clients that do not behave, at each port of an entry and of a side that have
 * little memory.
 */
import type { HostileForm, RequestLines } from './support/hostile-forms.js'
import process from 'node:process'
import { DeploymentName, ProcessKind, resolveDeployment, RunningSystem } from '@eidermast/stand-ins'
import { afterAll, beforeAll, describe, expect, test } from 'vitest'
import { callPipeline, DEFAULT_ACCOUNT } from '../support/caller.js'
import { AHEAD_FORMS, DESCRIPTOR_FORMS, MEMORY_FORMS } from './support/hostile-forms.js'
import { playCrowd } from './support/hostile-run.js'

const MEMORY_MEGABYTES = 250
const HEAP_MEGABYTES = 60
const CLIENTS = 400
/** More than the entry of the test, and a port for other processes, accept. */
const CONNECTING_CLIENTS = 1500
const MAX_CALLERS = 500
/** Connections that a port for other processes may have, and those of the process itself. */
const MAX_DESCRIPTORS = 1200

/** After this time an ordinary client gives up, and sends its request again. */
const ANSWER_TIMEOUT_MS = 2500
const SET_UP_MS = 30_000

let system: RunningSystem
let nodeOptions: string | undefined

beforeAll(async () => {
  nodeOptions = process.env.NODE_OPTIONS
  process.env.NODE_OPTIONS = `--max-old-space-size=${HEAP_MEGABYTES}`
  system = await RunningSystem.launch({ deployment: resolveDeployment(DeploymentName.Small), entrySettings: { 'max-connections': String(MAX_CALLERS) } })
})

afterAll(async () => {
  await system.stop()
  if (nodeOptions === undefined)
    delete process.env.NODE_OPTIONS
  else
    process.env.NODE_OPTIONS = nodeOptions
})

const HEADERS = ['Host: a', `Eidermast-Account: ${DEFAULT_ACCOUNT}`]
const METRICS: RequestLines = { method: 'GET', path: '/metrics', headers: HEADERS }

interface Target {
  what: string
  kind: ProcessKind
  /** Whether it is the port for callers, or the one for other processes. */
  isCallerPort: boolean
  request: RequestLines
  memoryForms: readonly HostileForm[]
  descriptorForms: readonly HostileForm[]
}

const ALL_FORMS = { memoryForms: MEMORY_FORMS, descriptorForms: DESCRIPTOR_FORMS }

const TARGETS: Target[] = [
  { what: 'an entry for a pipeline', kind: ProcessKind.Entry, isCallerPort: true, request: { method: 'POST', path: '/v1/pipelines/PIPELINE/requests', headers: HEADERS }, ...ALL_FORMS },
  { what: 'an entry for its readiness', kind: ProcessKind.Entry, isCallerPort: true, request: { ...METRICS, path: '/readyz' }, memoryForms: AHEAD_FORMS, descriptorForms: [] },
  { what: 'an entry for its metrics', kind: ProcessKind.Entry, isCallerPort: true, request: METRICS, memoryForms: AHEAD_FORMS, descriptorForms: [] },
  { what: 'the port of an entry for other processes', kind: ProcessKind.Entry, isCallerPort: false, request: METRICS, ...ALL_FORMS },
  { what: 'the port of a side', kind: ProcessKind.Side, isCallerPort: false, request: METRICS, ...ALL_FORMS },
]

function pipelineName(): string {
  return resolveDeployment(DeploymentName.Small).templates[0].name
}

async function sendOrdinary(): Promise<boolean> {
  const [entryUrl] = system.entryUrls
  return (await callPipeline({ entryUrl, pipeline: pipelineName(), input: 'ordinary', signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS) })).status === 200
}

/** Replaces the process of a test by a new one, and waits until that serves. */
async function renewProcess(kind: ProcessKind): Promise<void> {
  const [{ name }] = system.list(kind)
  await system.end(name, 'SIGKILL')
  await system.restart(name)
  await system.publishNewAddresses()
  await expect.poll(() => sendOrdinary().catch(() => false), { timeout: SET_UP_MS }).toBe(true)
}

async function playAt({ kind, isCallerPort, request }: Target, forms: readonly HostileForm[], clients: number): Promise<void> {
  await renewProcess(kind)
  const [{ pid, url, peer }] = system.list(kind)
  const address = isCallerPort ? new URL(url!).port : peer!.split(':')[1]
  await playCrowd({
    pid,
    port: Number(address),
    clients,
    bytes: forms.map(form => form.createBytes({ ...request, path: request.path.replace('PIPELINE', pipelineName()) })),
    maxMemoryBytes: MEMORY_MEGABYTES * 1e6,
    maxDescriptors: MAX_DESCRIPTORS,
    sendOrdinary,
  })
}

describe.each(TARGETS)('hostile clients that ask $what', (target) => {
  test.each(target.memoryForms)('do not fill its memory if they send $name', form => playAt(target, [form], CLIENTS))
  test('do not fill its memory if they send all of that at once', () => playAt(target, target.memoryForms, CLIENTS))
  test.each(target.descriptorForms)('do not take its descriptors if they send $name', form => playAt(target, [form], CONNECTING_CLIENTS))
})
