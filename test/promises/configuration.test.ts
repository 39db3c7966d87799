import { ErrorKind, wait } from '@eidermast/common'
import { CONFIGURATION_STREAM, HttpLogClient, ObjectKind, publishChange, PublishOutcome, readConfiguration } from '@eidermast/daemon'
import { DeploymentName, LogOutage, OPERATOR_TIMEOUT_MS, ProcessKind, resolveDeployment, RunningSystem } from '@eidermast/stand-ins'
import { afterAll, afterEach, beforeAll, describe, expect, test } from 'vitest'
import { callPipeline } from '../support/caller.js'

const RETENTION_MS = 6000
const ACTIVATION_TIMEOUT_MS = 12_000

let system: RunningSystem
let client: HttpLogClient
let share = 1

beforeAll(async () => {
  system = await RunningSystem.launch({
    deployment: resolveDeployment(DeploymentName.Small),
    retentionMs: RETENTION_MS,
    platformSettings: { 'log-retention-ms': String(RETENTION_MS) },
    entrySettings: { 'claim-memory-ms': '3000' },
  })
  client = new HttpLogClient({ url: system.logServiceUrl, timeoutMs: OPERATOR_TIMEOUT_MS })
})

afterEach(() => system.recover(), 30_000)

afterAll(async () => {
  await client.close()
  await system.stop()
})

/** Publishes a new share for an account and returns the offset at which it was accepted. */
async function publishShare(): Promise<number> {
  share++
  const publication = await publishChange(client, { kind: ObjectKind.Account, name: 'rider-app', value: { share } })
  expect(publication.outcome).toBe(PublishOutcome.Accepted)
  return publication.offset!
}

async function offsetOf(name: string): Promise<number> {
  const isEntry = system.find(name).kind === ProcessKind.Entry
  const status = isEntry ? await system.entryStatus(name) : await system.sideStatus(name)
  return status?.offset ?? -1
}

function daemons(): string[] {
  return [...system.list(ProcessKind.Entry), ...system.list(ProcessKind.Side)].map(({ name }) => name)
}

/** Measures for each process the time in milliseconds until it has reached an offset. */
async function measureActivation(offset: number): Promise<number[]> {
  const startedAt = performance.now()
  return Promise.all(daemons().map(async (name) => {
    await expect.poll(() => offsetOf(name), { timeout: ACTIVATION_TIMEOUT_MS, interval: 5 }).toBeGreaterThanOrEqual(offset)
    return performance.now() - startedAt
  }))
}

function show(title: string, milliseconds: number[]): void {
  if (!process.env.EIDERMAST_SHOW_FAULTS)
    return
  const sorted = [...milliseconds].sort((left, right) => left - right)
  const at = (part: number): string => sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))].toFixed(0)
  console.log(`${title}: ${sorted.length} readings, p50 ${at(0.5)} ms, p95 ${at(0.95)} ms, most ${at(1)} ms`)
}

describe('an accepted configuration', () => {
  test('becomes active on every process', async () => {
    const measured: number[] = []
    for (let change = 0; change < 10; change++)
      measured.push(...await measureActivation(await publishShare()))
    show('activation', measured)
    expect(measured.length).toBe(10 * daemons().length)
  })

  test('becomes active on every process if the log becomes unavailable immediately afterwards', async () => {
    const offset = await publishShare()
    await system.setFaults(system.logServiceUrl, { outage: LogOutage.Hang })
    show('activation with the log unavailable', await measureActivation(offset))
  })

  test('is not assumed to lack an account or a pipeline that may have been added since the log became unavailable', async () => {
    const [entryUrl] = system.entryUrls
    const denied = [
      { entryUrl, pipeline: 'rider-answer', input: 'x', account: 'added-later' },
      { entryUrl, pipeline: 'added-later', input: 'x' },
    ]
    const kinds = async (): Promise<unknown[]> => Promise.all(denied.map(async call => (await callPipeline(call)).kind))
    expect(await kinds()).toEqual([ErrorKind.UnknownAccount, ErrorKind.UnknownPipeline])
    await system.setFaults(system.logServiceUrl, { outage: LogOutage.Hang })
    await expect.poll(kinds, { timeout: ACTIVATION_TIMEOUT_MS }).toEqual([ErrorKind.NotReady, ErrorKind.NotReady])
    expect((await callPipeline({ entryUrl, pipeline: 'rider-answer', input: 'x' })).status).toBe(200)
    await system.setFaults(system.logServiceUrl, {})
    await expect.poll(kinds, { timeout: ACTIVATION_TIMEOUT_MS }).toEqual([ErrorKind.UnknownAccount, ErrorKind.UnknownPipeline])
  })

  test('is neither lost nor reverted if every process is restarted in turn while the log is unavailable', async () => {
    const offset = await publishShare()
    await measureActivation(offset)
    await system.setFaults(system.logServiceUrl, { outage: LogOutage.Refuse })
    for (const { name } of system.list(ProcessKind.Entry)) {
      await system.end(name, 'SIGKILL')
      await system.restart(name)
      await expect.poll(() => offsetOf(name), { timeout: 30_000 }).toBeGreaterThanOrEqual(offset)
    }
    const side = system.list(ProcessKind.Side)[0].name
    await system.end(side, 'SIGKILL')
    await system.setFaults(system.logServiceUrl, {})
    await system.restart(side)
    await system.publishNewAddresses()
    await expect.poll(() => offsetOf(side), { timeout: 30_000 }).toBeGreaterThanOrEqual(offset)
  })

  test('remains available through checkpoints after its records are dropped from the log', async () => {
    const firstOffset = async (): Promise<number> => (await client.read({ stream: CONFIGURATION_STREAM, from: 0, limit: 1, waitMs: 0 })).unwrap().firstOffset
    const offset = await publishShare()
    await expect.poll(firstOffset, { timeout: 30_000, interval: 200 }).toBeGreaterThan(offset)
    for (const { name } of system.list(ProcessKind.Entry)) {
      await system.end(name, 'SIGKILL')
      await system.restart(name)
    }
    await system.waitUntilReady()
    expect((await callPipeline({ entryUrl: system.entryUrls[0], pipeline: 'rider-answer', input: 'x' })).status).toBe(200)
    const configuration = await readConfiguration(client)
    expect(configuration?.get(ObjectKind.Account, 'rider-app')?.value.share).toBe(share)
  })

  test('is the base of a change published right after a log outage longer than the retention', async () => {
    await publishShare()
    await system.setFaults(system.logServiceUrl, { outage: LogOutage.Refuse })
    await wait(RETENTION_MS + 2000)
    await system.setFaults(system.logServiceUrl, {})
    await measureActivation(await publishShare())
  })

  test('is not reverted by a delayed copy of an older append', async () => {
    await system.setFaults(system.logServiceUrl, { repeatAppends: 1 })
    await publishShare()
    const newest = await publishShare()
    const nextOffset = async (): Promise<number> => (await client.read({ stream: CONFIGURATION_STREAM, from: newest, limit: 10, waitMs: 0 })).unwrap().nextOffset
    await expect.poll(nextOffset, { timeout: 10_000 }).toBeGreaterThan(newest + 1)
    const configuration = await readConfiguration(client)
    expect(configuration?.get(ObjectKind.Account, 'rider-app')).toMatchObject({ offset: newest, value: { share } })
  })
})
