import type { RequestHandler } from '../platform/support/stand-in-backend.js'
import type { Departure, LeavingScenario } from './support/leaving-scenario.js'
import type { Draw } from './support/soak-clients.js'
import { wait } from '@eidermast/common'
import { beforeAll, describe, test } from 'vitest'
import { answerCompletely } from '../platform/support/stand-in-backend.js'
import { StoreFault } from '../platform/support/stand-in-store.js'
import { removeRandomBackend, runLeavingScenario } from './support/leaving-scenario.js'
import { SoakDeployment } from './support/soak-deployment.js'
import { createDraw, readSeeds } from './support/soak-seeds.js'

/** How long a leaving backend server continues to serve, as some do in production. */
const SERVING_AFTER_LEAVE_MS = 7000
/** Time after which a connected gateway must not send it any request (setting `drain-ms`). */
const DRAIN_MS = 2000
/** Time after a store disruption until gateways count as connected again (setting `contact-ms`). */
const CONTACT_MS = 3000
/** Tolerance for request transit time on a busy machine. */
const TOLERANCE_MS = 150
/** One in this many answers takes longer than DRAIN_MS. */
const SLOW_ANSWER_EVERY = 3
const SLOW_ANSWER_MS = 2500
/** Leaves each of the three gateways two connections to a plain backend server, so that calls are queued. */
const PLAIN_CONNECTIONS = 8
const BACKENDS_EACH = 4

/** A period in which the store was disrupted, in milliseconds of the test clock. */
interface Disruption {
  from: number
  to: number
}

class LeavingRun implements LeavingScenario {
  readonly steps = 12
  readonly stepMs = 600
  readonly deployment: SoakDeployment
  readonly departures: Departure[] = []
  private readonly disruptions: Disruption[] = []
  private fault: Promise<void> = Promise.resolve()

  constructor(private readonly draw: Draw) {
    let answers = 0
    const plainAnswer: RequestHandler = async (seen, response) => {
      await wait(answers++ % SLOW_ANSWER_EVERY === 0 ? SLOW_ANSWER_MS : 20)
      await answerCompletely()(seen, response)
    }
    this.deployment = new SoakDeployment({ plainConnections: PLAIN_CONNECTIONS, plainAnswer, backendsEach: BACKENDS_EACH })
  }

  /** Makes a backend server leave, with or without announcing it, or disrupts the store. */
  step(): void {
    if (this.draw(2) === 0)
      removeRandomBackend(this.deployment, this.departures, this.draw)
    else
      this.fault = this.fault.then(() => this.disruptStore())
  }

  /** Describes work that reached a backend server later than connected gateways may send it. */
  lateArrivals(): string[] {
    return this.departures.flatMap(({ backend, at }) => {
      const latest = this.latestArrivalAfter(at)
      return backend.seen
        .filter(({ at: arrivedAt, path }) => path !== '/-/stage-free' && path !== '/-/report' && arrivedAt > latest)
        .map(({ at: arrivedAt, path }) => `${path} reached ${backend.id} ${Math.round(arrivedAt - at)} ms after it had left, ${Math.round(arrivedAt - latest)} ms late`)
    })
  }

  async settle(): Promise<void> {
    await this.fault
    const last = this.departures.at(-1)
    if (last)
      await wait(Math.max(0, last.at + SERVING_AFTER_LEAVE_MS - performance.now()))
  }

  private async disruptStore(): Promise<void> {
    const { store } = this.deployment
    const kind = this.draw(5)
    if (kind === 4)
      return store.deleteHistory('keyed.servers')
    const from = performance.now()
    store.fault = [StoreFault.Busy, StoreFault.Reset, StoreFault.Hanging, StoreFault.Hanging][kind]
    await wait(300 + this.draw(1200))
    store.fault = StoreFault.None
    this.disruptions.push({ from, to: performance.now() })
  }

  /** Returns the latest time at which a request may reach a backend server that left: DRAIN_MS and tolerance, counted from the time at which gateways were connected. */
  private latestArrivalAfter(leftAt: number): number {
    let from = leftAt
    for (const { from: disruptedFrom, to } of this.disruptions) {
      if (disruptedFrom <= from + DRAIN_MS && to + CONTACT_MS > from)
        from = to + CONTACT_MS
    }
    return from + DRAIN_MS + TOLERANCE_MS
  }
}

describe('backend servers that leave but continue to serve', () => {
  beforeAll(async () => {
    await import('../../platform/build.mjs' as string)
  })

  test.each(readSeeds())('receive no work from connected gateways after the drain time, despite store failures and slow answers (seed %i)', async (seed) => {
    const draw = createDraw(seed)
    const run = new LeavingRun(draw)
    await runLeavingScenario(run, draw)
  })
})
