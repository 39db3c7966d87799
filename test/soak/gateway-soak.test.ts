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
    const backend = deployment.backends[draw(deployment.backends.length)]
    deployment.list(backend, 'draining')
    await new Promise(resolve => setTimeout(resolve, PAUSE_MS))
    deployment.list(backend, 'ready')
  },
]

/** What a client was told against what backend servers saw; undefined where it holds. */
function findFault(reported: ToldRequest, runs: number): string | undefined {
  if (reported.kind === RequestKind.Once && runs > 1)
    return `${reported.id} may run once and ran ${runs} times`
  if (reported.status === undefined)
    return undefined
  if (reported.echoedId !== reported.id)
    return `${reported.id} got the answer of ${reported.echoedId}`
  if (PROMISES.has(reported.status) && runs > 0)
    return `${reported.id} was told ${reported.status} and ran ${runs} times`
  if (reported.status !== 200 || reported.body === undefined)
    return undefined
  const whole = reported.kind === RequestKind.Stream ? WHOLE_STREAM : `answer to /${reported.kind}/${reported.id}`
  return reported.body === whole ? undefined : `${reported.id} got ${JSON.stringify(reported.body)} as whole`
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
      expect(clients.reported.map(reported => findFault(reported, deployment.runsOf(reported.id))).filter(Boolean)).toEqual([])
      for (const kind of Object.values(RequestKind))
        expect(clients.reported.filter(reported => reported.kind === kind && reported.status === 200).length).toBeGreaterThan(0)
    }
    finally {
      await clients.stop()
      await deployment.stop()
    }
  })
})
