import { BackendOrder, HttpLogClient, MemberState } from '@eidermast/daemon'
import { DeploymentName, resolveDeployment, RunningSystem } from '@eidermast/stand-ins'
import { afterAll, beforeAll, describe, expect, test, vi } from 'vitest'
import { runsOf, smallAnswer } from '../support/caller.js'
import { CutMoment, CuttingProxy, LARGE_INPUT_LENGTH } from '../support/cutting-proxy.js'
import { changeBackend } from '../support/operator.js'
import { CallerRecord } from '../support/oracle.js'

const ENCODER = 'encoder-1'
/** On an overloaded machine the log can exceed its default timeout of one second. A failed claim would leave no call to cut. */
const LOG_TIMEOUT_SETTINGS = { 'log-timeout-ms': '5000' }

let system: RunningSystem
let proxy: CuttingProxy

beforeAll(async () => {
  system = await RunningSystem.launch({ deployment: resolveDeployment(DeploymentName.Small), platformSettings: LOG_TIMEOUT_SETTINGS })
  proxy = new CuttingProxy(system.find(ENCODER).peer!)
  const address = await proxy.listen()
  const client = new HttpLogClient({ url: system.logServiceUrl })
  await changeBackend(client, ENCODER, { address })
  await changeBackend(client, 'encoder-2', { order: BackendOrder.Out })
  await client.close()
  const onlyOneInForce = async (): Promise<boolean> =>
    await stateOf(ENCODER) === MemberState.Available && await stateOf('encoder-2') === MemberState.OrderedOut
  await vi.waitUntil(onlyOneInForce, { timeout: 15_000, interval: 50 })
  await system.setServiceFaults('encoder', { slowFactor: 50 })
})

afterAll(async () => {
  proxy.close()
  await system.stop()
})

/** Returns the state of a backend server as reported by the first entry. */
async function stateOf(backend: string): Promise<string | undefined> {
  const status = await system.entryStatus('entry-1')
  return status?.detail.find(line => line.subject === backend)?.text
}

const CUTS = Object.values(CutMoment).flatMap(moment => [
  [moment, 'departure-alert', true],
  [moment, 'rider-answer', false],
] as const)

describe('a lost connection between an entry and a side', () => {
  const title = '%s: a request to %s runs at most once if it is unrepeatable, and no answer falsely states that nothing ran'
  test.each(CUTS)(title, async (moment, pipeline, unrepeatable) => {
    const record = new CallerRecord()
    const sent = record.begin(pipeline, `cut ${moment} `.padEnd(LARGE_INPUT_LENGTH, 'x'), unrepeatable)
    const cutsBefore = proxy.cuts
    proxy.cutAt(moment)
    const answer = await record.send(sent, system.entryUrls[0], { 'eidermast-deadline-ms': '20000' })
    expect(proxy.cuts, 'the connection was cut').toBe(cutsBefore + 1)
    expect(record.violations(system)).toEqual([])
    if (unrepeatable) {
      expect(answer?.output).toBe(smallAnswer(pipeline, sent.input))
      expect(runsOf(system, sent.requestId)).toEqual([1, 1, 1, 1])
    }
    else {
      expect(answer?.ran ?? 'whole').not.toBe('none')
    }
    await expect.poll(() => stateOf(ENCODER), { timeout: 10_000 }).toBe('in-force')
  })
})
