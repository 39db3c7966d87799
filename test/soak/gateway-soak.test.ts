import type { Draw } from './support/soak-clients.js'
import { wait } from '@eidermast/common'
import { beforeAll, describe, expect, test } from 'vitest'
import { StoreFault } from '../platform/support/stand-in-store.js'
import { findViolation } from './support/answer-violations.js'
import { RequestKind, SoakClients } from './support/soak-clients.js'
import { SoakDeployment } from './support/soak-deployment.js'
import { createDraw, readSeeds } from './support/soak-seeds.js'

const STEPS = 10
/** Interval between the starts of two faults. */
const STEP_MS = 400
/** Duration of a fault. */
const PAUSE_MS = 900
/** Faults, which may overlap; each one ends by itself. */
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
    store.fault = [StoreFault.Busy, StoreFault.Reset, StoreFault.Truncated, StoreFault.Hanging][draw(4)]
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

describe('gateway processes under faults', () => {
  beforeAll(async () => {
    await import('../../platform/build.mjs' as string)
  })

  test.each(readSeeds())('uphold their guarantees under overlapping faults, and serve requests afterwards (seed %i)', async (seed) => {
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
      expect(clients.requests.map(sent => findViolation(sent, deployment.countRuns(sent.id))).filter(Boolean)).toEqual([])
      for (const kind of Object.values(RequestKind))
        expect(clients.requests.filter(sent => sent.kind === kind && sent.status === 200).length).toBeGreaterThan(0)
    }
    finally {
      await clients.stop()
      await deployment.stop()
    }
  })
})
