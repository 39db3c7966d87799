import type { Draw, ToldRequest } from './support/soak-clients.js'
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'
import { beforeAll, describe, expect, test, vi } from 'vitest'
import { StoreFault } from '../platform/support/stand-in-store.js'
import { RequestKind, SoakClients } from './support/soak-clients.js'
import { SoakDeployment, STREAM_EVENTS } from './support/soak-deployment.js'

/** Seeds that CI plays; `SOAK_SEEDS=100-149` plays others by hand. */
const DEFAULT_SEEDS = [1, 2]
const STEPS = 10
const STEP_MS = 400
const PAUSE_MS = 900
/** Statuses that promise that a request has not run and never will. */
const PROMISES = new Set([408, 421, 429, 503])
const WHOLE_STREAM = Array.from({ length: STREAM_EVENTS }, (_, index) => `id: ${index + 1}\ndata: ${index + 1}\n\n`).join('')

function readSeeds(): number[] {
  const [first, last] = (process.env.SOAK_SEEDS ?? '').split('-').map(Number)
  return first > 0 ? Array.from({ length: (last || first) - first + 1 }, (_, index) => first + index) : DEFAULT_SEEDS
}

function createDraw(seed: number): Draw {
  const generator = xoroshiro128plus(seed)
  return bound => unsafeUniformIntDistribution(0, bound - 1, generator)
}

/** Faults, each of which ends by itself; they overlap. */
const FAULTS: ((deployment: SoakDeployment, draw: Draw) => Promise<void> | void)[] = [
  ({ gateways }, draw) => gateways[draw(gateways.length)].replace('SIGKILL'),
  ({ gateways }, draw) => gateways[draw(gateways.length)].replace('SIGTERM'),
  async ({ gateways }, draw) => {
    const gateway = gateways[draw(gateways.length)]
    gateway.signal('SIGSTOP')
    await new Promise(resolve => setTimeout(resolve, PAUSE_MS))
    gateway.signal('SIGCONT')
  },
  async ({ store }, draw) => {
    store.fault = [StoreFault.Busy, StoreFault.Reset, StoreFault.Cut, StoreFault.Silent][draw(4)]
    await new Promise(resolve => setTimeout(resolve, PAUSE_MS))
    store.fault = StoreFault.None
  },
  deployment => deployment.publish(),
  async (deployment, draw) => {
    const replica = deployment.replicas[draw(deployment.replicas.length)]
    deployment.list(replica, 'draining')
    await new Promise(resolve => setTimeout(resolve, PAUSE_MS))
    deployment.list(replica, 'ready')
  },
]

/** What a client was told against what replicas saw; undefined where it holds. */
function findFault(told: ToldRequest, runs: number): string | undefined {
  if (told.kind === RequestKind.Once && runs > 1)
    return `${told.id} may run once and ran ${runs} times`
  if (told.status === undefined)
    return undefined
  if (told.echoedId !== told.id)
    return `${told.id} got the answer of ${told.echoedId}`
  if (PROMISES.has(told.status) && runs > 0)
    return `${told.id} was told ${told.status} and ran ${runs} times`
  if (told.status !== 200 || told.body === undefined)
    return undefined
  const whole = told.kind === RequestKind.Stream ? WHOLE_STREAM : `answer to /${told.kind}/${told.id}`
  return told.body === whole ? undefined : `${told.id} got ${JSON.stringify(told.body)} as whole`
}

describe('a soak of gateways as processes', () => {
  beforeAll(async () => {
    await import('../../platform/build.mjs' as string)
  })

  test.each(readSeeds())('keeps its promises under faults that overlap, and serves when they are over (seed %i)', async (seed) => {
    const draw = createDraw(seed)
    const deployment = new SoakDeployment()
    await deployment.start()
    const clients = new SoakClients(deployment.gateways, draw)
    const faults: (Promise<void> | void)[] = []
    const allReady = (): Promise<void> => vi.waitFor(async () => expect(await Promise.all(deployment.gateways.map(gateway => gateway.isReady()))).not.toContain(false), { timeout: 30_000, interval: 100 })
    try {
      await allReady()
      clients.start()
      for (let step = 0; step < STEPS; step++) {
        faults.push(FAULTS[draw(FAULTS.length)](deployment, draw))
        await new Promise(resolve => setTimeout(resolve, STEP_MS))
      }
      await Promise.all(faults)
      await allReady()
      await clients.stop()
      expect(clients.told.map(told => findFault(told, deployment.runsOf(told.id))).filter(Boolean)).toEqual([])
      for (const kind of Object.values(RequestKind))
        expect(clients.told.filter(told => told.kind === kind && told.status === 200).length).toBeGreaterThan(0)
    }
    finally {
      await clients.stop()
      await deployment.stop()
    }
  })
})
