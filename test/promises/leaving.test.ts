import { wait } from '@eidermast/common'
import { BackendOrder, HttpLogClient, ObjectKind, PublishOutcome, readConfiguration } from '@eidermast/daemon'
import { DeploymentName, LogOutage, resolveDeployment, RunningSystem } from '@eidermast/stand-ins'
import { afterAll, afterEach, beforeAll, describe, expect, test } from 'vitest'
import { changeBackend } from '../support/operator.js'
import { CallerRecord } from '../support/oracle.js'

/** Milliseconds: what "a few seconds" is held to. */
const FEW_SECONDS_MS = 5000
const WATCHED_MS = 2000
const SEND_EVERY_MS = 15
const LEAVING = 'encoder-1'

let system: RunningSystem
let client: HttpLogClient

beforeAll(async () => {
  const small = resolveDeployment(DeploymentName.Small)
  system = await RunningSystem.launch({ deployment: { ...small, entries: 3 } })
  client = new HttpLogClient({ url: system.logServiceUrl })
})

afterEach(() => system.recover(async () => {
  await order(BackendOrder.In)
  await system.setVirtualMachines(system.listedVirtualMachines.map(machine => ({ ...machine, state: 'live' as const })))
}), 30_000)

afterAll(async () => {
  await client.close()
  await system.stop()
})

async function order(wanted: BackendOrder): Promise<void> {
  const configuration = await readConfiguration(client)
  if (configuration!.get(ObjectKind.Backend, LEAVING)!.value.order === wanted)
    return
  const publication = await changeBackend(client, LEAVING, { order: wanted })
  expect(publication.outcome).toBe(PublishOutcome.Accepted)
}

/** Sends requests to every entry while a backend server leaves; returns when it got its last run, after the leave. */
async function measureLastRun(leave: () => Promise<void>): Promise<number> {
  const record = new CallerRecord()
  const sends: Promise<unknown>[] = []
  const timer = setInterval(() => {
    const url = system.entryUrls[record.requests.length % system.entryUrls.length]
    sends.push(record.send(record.begin('rider-answer', `question ${record.requests.length}`, false), url, { 'eidermast-deadline-ms': '20000' }))
  }, SEND_EVERY_MS)
  await expect.poll(() => system.runTimes(LEAVING).length, { timeout: 10_000 }).toBeGreaterThan(5)
  await leave()
  const leftAt = Date.now()
  await wait(WATCHED_MS + FEW_SECONDS_MS / 2)
  clearInterval(timer)
  await Promise.all(sends)
  expect(record.violations(system)).toEqual([])
  const lastRunMs = Math.max(0, system.runTimes(LEAVING).at(-1)! - leftAt)
  if (process.env.EIDERMAST_SHOW_FAULTS)
    console.log(`last run ${lastRunMs} ms after the leave; answers ${JSON.stringify(record.summarize())}`)
  return lastRunMs
}

describe('a leaving backend server gets no new work after a few seconds', () => {
  test('by the operators\' order', async () => {
    expect(await measureLastRun(() => order(BackendOrder.Out))).toBeLessThan(FEW_SECONDS_MS)
  })

  test('by the operators\' order, with the log out straight after', async () => {
    const leave = async (): Promise<void> => {
      await order(BackendOrder.Out)
      await system.setFaults(system.logServiceUrl, { outage: LogOutage.Refuse })
    }
    expect(await measureLastRun(leave)).toBeLessThan(FEW_SECONDS_MS)
  })

  test('by the operators\' order, whatever an entry believes that was frozen meanwhile', async () => {
    const leave = async (): Promise<void> => {
      system.signal('entry-1', 'SIGSTOP')
      await order(BackendOrder.Out)
      await wait(1000)
      system.signal('entry-1', 'SIGCONT')
    }
    expect(await measureLastRun(leave)).toBeLessThan(FEW_SECONDS_MS)
  })

  test('by the platform\'s list', async () => {
    const listed = system.listedVirtualMachines.map(machine => machine.name === LEAVING
      ? { ...machine, state: 'leaving' as const }
      : machine)
    expect(await measureLastRun(() => system.setVirtualMachines(listed))).toBeLessThan(FEW_SECONDS_MS)
  })

  test('by its side\'s report', async () => {
    expect(await measureLastRun(async () => system.signal(LEAVING, 'SIGTERM'))).toBeLessThan(FEW_SECONDS_MS)
  })

  test('by its own report, with the log and the list out', async () => {
    await system.setFaults(system.logServiceUrl, { outage: LogOutage.Refuse })
    await system.setFaults(system.virtualMachineListUrl, { out: true })
    expect(await measureLastRun(async () => system.signal(`${LEAVING}.backend`, 'SIGTERM'))).toBeLessThan(FEW_SECONDS_MS)
  })
})
