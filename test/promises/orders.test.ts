import type { WeightStore } from '@eidermast/daemon'
import { wait } from '@eidermast/common'
import { Configuration, HttpLogClient, NO_OFFSET, ObjectKind, OrderResult, PlacementReconciler, SideMetrics, WeightState } from '@eidermast/daemon'
import { DeploymentName, resolveDeployment, RunningSystem } from '@eidermast/stand-ins'
import { request } from 'undici'
import { afterAll, afterEach, beforeAll, describe, expect, test } from 'vitest'
import { callPipeline } from '../support/caller.js'
import { createBackend, createChange, FakeBackend } from '../support/fixtures.js'
import { changeBackend } from '../support/operator.js'

/** Backend servers of a language model: the engine of the first checks fences, that of the second does not. */
const FENCE_CHECKING_BACKEND = 'language-model-1'
const UNCHECKED_BACKEND = 'language-model-2'

let system: RunningSystem
let client: HttpLogClient

beforeAll(async () => {
  system = await RunningSystem.launch({ deployment: resolveDeployment(DeploymentName.Small) })
  client = new HttpLogClient({ url: system.logServiceUrl })
})

afterEach(() => system.recover(), 30_000)

afterAll(async () => {
  await client.close()
  await system.stop()
})

interface EngineOrders {
  orders: { fence: number, version: string }[]
  current: { fence: number, version: string }
}

async function readOrders(name: string): Promise<EngineOrders> {
  return await (await request(`${system.find(`${name}.backend`).url}/orders`)).body.json() as EngineOrders
}

async function publishVersion(name: string, version: string): Promise<void> {
  await changeBackend(client, name, { version })
}

async function waitForVersion(name: string, version: string): Promise<void> {
  await expect.poll(async () => (await readOrders(name)).current.version, { timeout: 15_000 }).toBe(version)
}

describe('orders to engines', () => {
  test.each([FENCE_CHECKING_BACKEND, UNCHECKED_BACKEND])('are applied in the order of their fences (%s)', async (name) => {
    for (const version of ['v2', 'v3', 'v1']) {
      await publishVersion(name, version)
      await waitForVersion(name, version)
    }
    const fences = (await readOrders(name)).orders.map(order => order.fence)
    expect(fences).toEqual([...fences].sort((left, right) => left - right))
  })

  test.each([FENCE_CHECKING_BACKEND, UNCHECKED_BACKEND])('from a paused side that has been replaced have no effect (%s)', async (name) => {
    await system.setFaults(system.weightStoreUrl, { delayMs: 600 })
    await publishVersion(name, 'v2')
    await wait(300)
    const paused = system.find(name)
    system.signal(name, 'SIGSTOP')
    await system.setFaults(system.weightStoreUrl, {})
    await system.restart(name)
    await system.publishNewAddresses()
    await publishVersion(name, 'v3')
    await waitForVersion(name, 'v3')
    process.kill(paused.pid, 'SIGCONT')
    await wait(1500)
    const { current } = await readOrders(name)
    process.kill(paused.pid, 'SIGKILL')
    await publishVersion(name, 'v1')
    await waitForVersion(name, 'v1')
    expect(current.version).toBe('v3')
  })

  test('are sent again to a restarted engine, which then serves requests', async () => {
    for (const name of [FENCE_CHECKING_BACKEND, UNCHECKED_BACKEND]) {
      await system.end(`${name}.backend`, 'SIGKILL')
      await system.restart(`${name}.backend`)
      await waitForVersion(name, 'v1')
    }
    await system.waitUntilReady()
    const headers = { 'eidermast-deadline-ms': '20000' }
    expect(await callPipeline({ entryUrl: system.entryUrls[0], pipeline: 'rider-answer', input: 'x', headers })).toMatchObject({ status: 200 })
  })

  test('for weights that do not exist in the store leave the engine unchanged', async () => {
    await publishVersion(FENCE_CHECKING_BACKEND, 'absent-1')
    await wait(700)
    const { current } = await readOrders(FENCE_CHECKING_BACKEND)
    await publishVersion(FENCE_CHECKING_BACKEND, 'v1')
    await waitForVersion(FENCE_CHECKING_BACKEND, 'v1')
    expect(current.version).toBe('v1')
  })
})

describe('a placement reconciler', () => {
  const presentWeights: WeightStore = { find: async () => WeightState.Present }

  function createReconciler(options: { known?: boolean, confirms?: boolean, pauseMs?: number, checksOrders?: boolean }): PlacementReconciler {
    const { known = true, confirms = true, pauseMs = 0, checksOrders = false } = options
    const configuration = new Configuration()
    configuration.fold(0, createChange(ObjectKind.Backend, 'b', NO_OFFSET, createBackend({ model: 'm', version: 'v1', checksOrders })))
    let clock = 0
    return new PlacementReconciler({
      backendName: 'b',
      configuration,
      backend: new FakeBackend(),
      weights: presentWeights,
      metrics: new SideMetrics(),
      configurationStatus: {
        isKnown: known,
        confirmLatest: async () => {
          clock += pauseMs
          return confirms
        },
      },
      now: () => clock,
    })
  }

  test.each([
    ['sends an order that the log confirms', {}, OrderResult.Applied],
    ['sends no order before the latest configuration is known', { known: false }, OrderResult.NotYet],
    ['sends no unconfirmed order if the engine does not check fences', { confirms: false }, OrderResult.NotConfirmed],
    ['sends no order if the process was paused since the confirmation was requested', { pauseMs: 5000 }, OrderResult.NotConfirmed],
    ['needs no confirmation if the engine checks fences', { confirms: false, checksOrders: true }, OrderResult.Applied],
  ])('%s', async (_name, options, result) => {
    expect(await createReconciler(options).reconcile()).toBe(result)
  })
})
