import type { Draw, SentRequest } from './support/soak-clients.js'
import { wait } from '@eidermast/common'
import { beforeAll, describe, expect, test } from 'vitest'
import { StoreFault } from '../platform/support/stand-in-store.js'
import { RequestKind, SoakClients } from './support/soak-clients.js'
import { SoakDeployment, STREAM_EVENTS } from './support/soak-deployment.js'
import { createDraw, readSeeds } from './support/soak-seeds.js'

const STEPS = 10
/** Milliseconds between the beginnings of two faults. */
const STEP_MS = 400
/** Milliseconds that a fault lasts. */
const PAUSE_MS = 900
/** Statuses that promise that a request has not run and never will. */
const PROMISES = new Set([408, 421, 429, 503])
const WHOLE_STREAM = Array.from({ length: STREAM_EVENTS }, (_, index) => `id: ${index + 1}\ndata: ${index + 1}\n\n`).join('')

/** Faults, each of which ends by itself; they overlap. */
const FAULTS: ((deployment: SoakDeployment, draw: Draw) => Promise<void> | void)[] = [
  ({ gateways }, draw) => gateways[draw(gateways.length)].replace('SIGKILL'),
  ({ gateways }, draw) => gateways[draw(gateways.length)].replace('SIGTERM'),
  async ({ gateways }, draw) => {
    const gateway = gateways[draw(gateways.length)]
    gateway.signal('SIGSTOP')
    await wait(PAUSE_MS)
    gateway.signal('SIGCONT')
  },
  async ({ store }, draw) => {
    store.fault = [StoreFault.Busy, StoreFault.Reset, StoreFault.Cut, StoreFault.Silent][draw(4)]
    await wait(PAUSE_MS)
    store.fault = StoreFault.None
  },
  deployment => deployment.publish(),
  async (deployment, draw) => {
    const backend = deployment.backends[draw(deployment.backends.length)]
    deployment.list(backend, 'draining')
    await wait(PAUSE_MS)
    deployment.list(backend, 'ready')
  },
]

/** What is wrong with a request's answer, by the runs that backend servers saw; undefined where nothing is. */
function findFault(sent: SentRequest, runs: number): string | undefined {
  if (sent.kind === RequestKind.Once && runs > 1)
    return `${sent.id} may run once and ran ${runs} times`
  if (sent.status === undefined)
    return undefined
  if (sent.echoedId !== sent.id)
    return `${sent.id} got the answer of ${sent.echoedId}`
  if (PROMISES.has(sent.status) && runs > 0)
    return `${sent.id} was answered ${sent.status} and ran ${runs} times`
  if (sent.status !== 200 || sent.body === undefined)
    return undefined
  const whole = sent.kind === RequestKind.Stream ? WHOLE_STREAM : `answer to /${sent.kind}/${sent.id}`
  return sent.body === whole ? undefined : `${sent.id} got ${JSON.stringify(sent.body)} as whole`
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
    try {
      await deployment.waitUntilReady()
      clients.start()
      for (let step = 0; step < STEPS; step++) {
        faults.push(FAULTS[draw(FAULTS.length)](deployment, draw))
        await wait(STEP_MS)
      }
      await Promise.all(faults)
      await deployment.waitUntilReady()
      await clients.stop()
      expect(clients.requests.map(sent => findFault(sent, deployment.runsOf(sent.id))).filter(Boolean)).toEqual([])
      for (const kind of Object.values(RequestKind))
        expect(clients.requests.filter(sent => sent.kind === kind && sent.status === 200).length).toBeGreaterThan(0)
    }
    finally {
      await clients.stop()
      await deployment.stop()
    }
  })
})
