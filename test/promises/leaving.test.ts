import { wait } from '@eidermast/common'
import { BackendOrder, HttpLogClient, ObjectKind, PublishOutcome, readConfiguration } from '@eidermast/daemon'
import { DeploymentName, LogOutage, resolveDeployment, RunningSystem } from '@eidermast/stand-ins'
import { afterAll, afterEach, beforeAll, describe, expect, test } from 'vitest'
import { changeBackend } from '../support/operator.js'
import { CallerRecord } from '../support/oracle.js'

/** Limit that the promise "after a few seconds" is tested against. */
const MAX_LAST_RUN_DELAY_MS = 5000
const BASE_OBSERVATION_MS = 2000
const SEND_INTERVAL_MS = 15
const LEAVING_BACKEND = 'encoder-1'

let system: RunningSystem
let client: HttpLogClient

beforeAll(async () => {
  const small = resolveDeployment(DeploymentName.Small)
  system = await RunningSystem.launch({ deployment: { ...small, entries: 3 } })
  client = new HttpLogClient({ url: system.logServiceUrl })
})

afterEach(() => system.recover(async () => {
  await publishOrder(BackendOrder.In)
  await system.setVirtualMachines(system.listedVirtualMachines.map(machine => ({ ...machine, state: 'live' as const })))
}), 30_000)

afterAll(async () => {
  await client.close()
  await system.stop()
})

async function publishOrder(order: BackendOrder): Promise<void> {
  const configuration = await readConfiguration(client)
  if (configuration!.get(ObjectKind.Backend, LEAVING_BACKEND)!.value.order === order)
    return
  const publication = await changeBackend(client, LEAVING_BACKEND, { order })
  expect(publication.outcome).toBe(PublishOutcome.Accepted)
}

/** Sends requests to all entries while a backend server leaves; returns the delay between its leaving and its last run. */
async function measureLastRunDelay(leave: () => Promise<void>): Promise<number> {
  const record = new CallerRecord()
  const sends: Promise<unknown>[] = []
  const timer = setInterval(() => {
    const url = system.entryUrls[record.requests.length % system.entryUrls.length]
    sends.push(record.send(record.begin('rider-answer', `question ${record.requests.length}`, false), url, { 'eidermast-deadline-ms': '20000' }))
  }, SEND_INTERVAL_MS)
  await expect.poll(() => system.runTimes(LEAVING_BACKEND).length, { timeout: 10_000 }).toBeGreaterThan(5)
  await leave()
  const leftAt = Date.now()
  await wait(BASE_OBSERVATION_MS + MAX_LAST_RUN_DELAY_MS / 2)
  clearInterval(timer)
  await Promise.all(sends)
  expect(record.violations(system)).toEqual([])
  const lastRunDelayMs = Math.max(0, system.runTimes(LEAVING_BACKEND).at(-1)! - leftAt)
  if (process.env.EIDERMAST_SHOW_FAULTS)
    console.log(`last run ${lastRunDelayMs} ms after leaving; answers ${JSON.stringify(record.summarize())}`)
  return lastRunDelayMs
}

describe('a leaving backend server gets no new work after a few seconds', () => {
  test('if ordered out by operators', async () => {
    expect(await measureLastRunDelay(() => publishOrder(BackendOrder.Out))).toBeLessThan(MAX_LAST_RUN_DELAY_MS)
  })

  test('if ordered out by operators, with an outage of the log directly afterwards', async () => {
    const leave = async (): Promise<void> => {
      await publishOrder(BackendOrder.Out)
      await system.setFaults(system.logServiceUrl, { outage: LogOutage.Refuse })
    }
    expect(await measureLastRunDelay(leave)).toBeLessThan(MAX_LAST_RUN_DELAY_MS)
  })

  test('if ordered out by operators, even from an entry that was frozen meanwhile', async () => {
    const leave = async (): Promise<void> => {
      system.signal('entry-1', 'SIGSTOP')
      await publishOrder(BackendOrder.Out)
      await wait(1000)
      system.signal('entry-1', 'SIGCONT')
    }
    expect(await measureLastRunDelay(leave)).toBeLessThan(MAX_LAST_RUN_DELAY_MS)
  })

  test('if listed as leaving by the platform', async () => {
    const listed = system.listedVirtualMachines.map(machine => machine.name === LEAVING_BACKEND
      ? { ...machine, state: 'leaving' as const }
      : machine)
    expect(await measureLastRunDelay(() => system.setVirtualMachines(listed))).toBeLessThan(MAX_LAST_RUN_DELAY_MS)
  })

  test('if its side reports that it is stopping', async () => {
    expect(await measureLastRunDelay(async () => system.signal(LEAVING_BACKEND, 'SIGTERM'))).toBeLessThan(MAX_LAST_RUN_DELAY_MS)
  })

  test('if it reports itself that it is leaving, during an outage of the log and the VM list', async () => {
    await system.setFaults(system.logServiceUrl, { outage: LogOutage.Refuse })
    await system.setFaults(system.virtualMachineListUrl, { out: true })
    expect(await measureLastRunDelay(async () => system.signal(`${LEAVING_BACKEND}.backend`, 'SIGTERM'))).toBeLessThan(MAX_LAST_RUN_DELAY_MS)
  })
})
