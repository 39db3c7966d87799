import type { Draw } from './support/soak-clients.js'
import process from 'node:process'
import { wait } from '@eidermast/common'
import { request } from 'undici'
import { beforeAll, describe, expect, test } from 'vitest'
import { retryTimes, worstExcess } from '../platform/support/retry-window.js'
import { breakRuns } from '../platform/support/stand-in-backend.js'
import { StoreFault } from '../platform/support/stand-in-store.js'
import { SoakDeployment } from './support/soak-deployment.js'
import { createDraw, readSeeds } from './support/soak-seeds.js'

const ALLOWANCE = { ratio: 0.2, extra: 30, windowMs: 3000 }
const BACKENDS = 6
/** Backend servers answer one run in twenty. */
const BROKEN_RUNS = 19
const RUNS = 20
const WORK_MS = 20
const REQUEST_INTERVAL_MS = 50
/** Time before the first disruption: longer than the window, so that all gateways use the whole of their parts. */
const CALM_MS = 4000
const STEPS = 14
const FAULTS = [StoreFault.Busy, StoreFault.Reset, StoreFault.Hanging]
const STEP_MS = 800

class RetryRun {
  readonly deployment = new SoakDeployment({
    plainAnswer: breakRuns(BROKEN_RUNS, RUNS, WORK_MS),
    backendsEach: BACKENDS,
    ownLines: true,
    retry: [`ratio = ${ALLOWANCE.ratio}`, `extra = ${ALLOWANCE.extra}`, `window-ms = ${ALLOWANCE.windowMs}`],
  })

  /** Monotonic times in milliseconds. */
  readonly sentAt: number[] = []
  private readonly pending: Promise<unknown>[] = []
  private isSending = true

  constructor(private readonly draw: Draw) {}

  /** Sends requests to random gateways until `stop` is called. */
  async send(): Promise<void> {
    while (this.isSending) {
      const id = this.sentAt.push(performance.now())
      const { address } = this.deployment.gateways[this.draw(this.deployment.gateways.length)]
      const headers = { 'host': 'host.example', 'attempt-id': `id-${id}`, 'deadline-ms': '3000' }
      // Most runs break, and gateways are down at times.
      this.pending.push(request(`${address}/plain/x`, { method: 'POST', headers, body: 'x' }).then(({ body }) => body.dump()).catch(() => {}))
      await wait(REQUEST_INTERVAL_MS)
    }
  }

  async stop(): Promise<void> {
    this.isSending = false
    await Promise.all(this.pending)
  }

  /** Disrupts one gateway, all of them, or the store. */
  step(): void {
    const { deployment } = this
    const { gateways, lines } = deployment
    const gateway = this.draw(gateways.length)
    const steps: (() => Promise<unknown>)[] = [
      () => gateways[gateway].replace('SIGKILL'),
      () => gateways[gateway].replace('SIGTERM'),
      () => Promise.all(gateways.map(each => each.replace('SIGKILL'))),
      () => Promise.all(gateways.map(each => each.replace('SIGTERM'))),
      () => deployment.pause(gateway, 300 + this.draw(2000)),
      () => deployment.disconnectFromStore(gateway, 300 + this.draw(4000)),
      async () => lines[gateway].stallOpenConnections(),
      () => deployment.failStore(FAULTS[this.draw(FAULTS.length)], 300 + this.draw(4000)),
    ]
    this.pending.push(steps[this.draw(steps.length)]())
  }
}

describe('the retries of all gateways together, while gateways and the store fail', () => {
  beforeAll(async () => {
    await import('../../platform/build.mjs' as string)
  })

  test.each(readSeeds([4]))('stay within the budget in any window (seed %i)', async (seed) => {
    const run = new RetryRun(createDraw(seed))
    const { deployment, sentAt } = run
    await deployment.start()
    try {
      await deployment.waitUntilReady()
      const sending = run.send()
      await wait(CALM_MS)
      for (let step = 0; step < STEPS; step++) {
        run.step()
        await wait(STEP_MS)
      }
      await run.stop()
      await sending
      const arrivals = deployment.backends.filter(({ service }) => service === 'plain').flatMap(({ seen }) => seen)
      const retries = retryTimes(arrivals)
      const excess = worstExcess(retries, sentAt, ALLOWANCE)
      if (process.env.EIDERMAST_SHOW_FAULTS)
        console.log(`seed ${seed}: ${sentAt.length} requests, ${retries.length} retries, at least ${-excess} fewer than allowed in any window`)
      expect(retries.length).toBeGreaterThan(0)
      expect(excess).toBeLessThanOrEqual(0)
    }
    finally {
      await run.stop()
      await deployment.stop()
    }
  }, 60_000)
})
