import type { StandInBackend } from '../platform/support/stand-in-backend.js'
import type { Draw } from './support/soak-clients.js'
import { wait } from '@eidermast/common'
import { beforeAll, describe, expect, test } from 'vitest'
import { StoreFault } from '../platform/support/stand-in-store.js'
import { findFault } from './support/answer-faults.js'
import { SoakClients } from './support/soak-clients.js'
import { SoakDeployment } from './support/soak-deployment.js'
import { createDraw, readSeeds } from './support/soak-seeds.js'
import { SoakTroubles } from './support/soak-troubles.js'
import { isWork, senderOf } from './support/soak-work.js'

const FAILURE_DOMAINS = ['zone-a', 'zone-b', 'zone-c']
const BACKENDS_EACH = 6
const STEPS = 16
const STEP_MS = 500
/** Time after its order until an evacuation is binding for connected gateways (setting `evacuation-ms`). */
const EVACUATION_MS = 2000
/** Time after a disruption until a gateway counts as connected again (setting `contact-ms`). */
const CONTACT_MS = 3000
/** Tolerance for request transit time on a busy machine. */
const SLACK_MS = 150
/** Minimum duration of an evacuation and maximum random extension, in milliseconds. */
const EVACUATED_MS = { least: 2500, more: 2500 }
/** How long backend servers are cold, in milliseconds, and the requests per second that one can take during that time. */
const COLD = { forMs: 2000, perSecond: 4, overshoot: 1.5, slack: 2 }
/** Maximum number of requests that a cold backend server may receive within any second. */
const COLD_BOUND = COLD.perSecond * COLD.overshoot + COLD.slack
/** How long a failure domain is without power. */
const POWERLESS_MS = 800
const OPERATOR_TOPIC = 'keyed.op'

/** A period in which a failure domain was evacuated, in milliseconds of the test clock. */
interface Evacuation {
  failureDomain: string
  from: number
  to: number
}

/** A deployment across failure domains, its random disruptions, and the checks on their effects. */
class DomainsRun {
  readonly deployment = new SoakDeployment({
    failureDomains: FAILURE_DOMAINS,
    backendsEach: BACKENDS_EACH,
    ownLines: true,
    plainService: { ColdStartS: COLD.forMs / 1000, ColdPerS: COLD.perSecond },
    platformSettings: [`evacuation-ms = ${EVACUATION_MS}`, `cold-overshoot = ${COLD.overshoot}`, `cold-slack = ${COLD.slack}`],
  })

  readonly underWay: Promise<void>[] = []
  readonly evacuations: Evacuation[] = []
  /** Start time of each cold backend server. */
  private readonly startedCold = new Map<StandInBackend, number>()
  /** Backend servers that lost power. */
  private readonly gone = new Set<StandInBackend>()
  private readonly troubles = new SoakTroubles(CONTACT_MS + SLACK_MS)
  private readonly steps: (() => Promise<void> | void)[] = [
    () => this.evacuate(),
    () => this.evacuate(),
    () => this.losePower(),
    () => this.disturbStore(),
    () => this.cutFromStore(),
    () => this.loseReads(),
    () => this.replaceGateway(),
  ]

  constructor(private readonly draw: Draw) {}

  step(): void {
    this.underWay.push(Promise.resolve(this.steps[this.draw(this.steps.length)]()))
  }

  /** Describes work from connected gateways that reached an evacuated failure domain too late. */
  lateArrivals(clients: SoakClients): string[] {
    return this.evacuations.flatMap(({ failureDomain, from, to }) => this.deployment.backends
      .filter(backend => backend.failureDomain === failureDomain)
      .flatMap(backend => backend.seen)
      .filter(seen => isWork(seen) && seen.at > from + EVACUATION_MS + SLACK_MS && seen.at < to && this.troubles.isInTouch(senderOf(seen, clients), seen.at))
      .map(seen => `${seen.path} reached ${failureDomain} ${Math.round(seen.at - from)} ms after the order`))
  }

  /** Describes cold backend servers that received more than COLD_BOUND requests within a second. */
  overrun(): string[] {
    return [...this.startedCold].flatMap(([backend, startedAt]) => {
      const arrivals = backend.seen.filter(seen => isWork(seen) && seen.at < startedAt + COLD.forMs).map(({ at }) => at)
      const most = Math.max(0, ...arrivals.map(from => arrivals.filter(at => at >= from && at < from + 1000).length))
      return most > COLD_BOUND ? [`${backend.id} got ${most} in a second`] : []
    })
  }

  /** Evacuates a random failure domain, unless an evacuation is already active. */
  private async evacuate(): Promise<void> {
    if (this.evacuations.some(({ to }) => to > performance.now()))
      return
    const failureDomain = this.drawDomain()
    const evacuation = { failureDomain, from: performance.now(), to: Number.POSITIVE_INFINITY }
    this.evacuations.push(evacuation)
    this.deployment.store.put(OPERATOR_TOPIC, `evacuate/${failureDomain}`, {})
    await wait(EVACUATED_MS.least + this.draw(EVACUATED_MS.more))
    evacuation.to = performance.now()
    this.deployment.store.put(OPERATOR_TOPIC, `evacuate/${failureDomain}`, undefined)
  }

  /** Simulates a power loss of a failure domain: its gateways restart, and its plain backend servers come back cold and under new ids. */
  private async losePower(): Promise<void> {
    const failureDomain = this.drawDomain()
    const lost = this.deployment.backends.filter(backend => backend.service === 'plain' && backend.failureDomain === failureDomain && !this.gone.has(backend))
    lost.forEach(backend => this.gone.add(backend))
    const gateways = this.deployment.gateways.flatMap((_, number) => this.deployment.failureDomainOf(number) === failureDomain ? [number] : [])
    await Promise.all([...lost.map(backend => backend.stop()), ...gateways.map(number => this.replace(number))])
    await wait(POWERLESS_MS)
    for (const backend of lost) {
      this.deployment.unlist(backend)
      const returned = await this.deployment.addBackend('plain', `${backend.id}+`, failureDomain, COLD.forMs)
      this.startedCold.set(returned, performance.now())
    }
  }

  private async disturbStore(): Promise<void> {
    const trouble = this.troubles.begin()
    const { store } = this.deployment
    store.fault = [StoreFault.Busy, StoreFault.Reset, StoreFault.Silent][this.draw(3)]
    await wait(300 + this.draw(900))
    store.fault = StoreFault.None
    store.dropHistory(OPERATOR_TOPIC)
    trouble.to = performance.now()
  }

  private async cutFromStore(): Promise<void> {
    const gateway = this.draw(this.deployment.gateways.length)
    const trouble = this.troubles.begin(gateway)
    const line = this.deployment.lines[gateway]
    line.isCut = true
    line.silenceOpenConnections()
    await wait(300 + this.draw(3000))
    line.isCut = false
    trouble.to = performance.now()
  }

  private loseReads(): void {
    const gateway = this.draw(this.deployment.gateways.length)
    this.deployment.lines[gateway].silenceOpenConnections()
    this.troubles.add(gateway, performance.now(), performance.now())
  }

  private replaceGateway(): Promise<void> {
    return this.replace(this.draw(this.deployment.gateways.length))
  }

  private async replace(gateway: number): Promise<void> {
    const trouble = this.troubles.begin(gateway)
    await this.deployment.gateways[gateway].replace(this.draw(2) === 0 ? 'SIGKILL' : 'SIGTERM')
    trouble.to = performance.now()
  }

  private drawDomain(): string {
    return FAILURE_DOMAINS[this.draw(FAILURE_DOMAINS.length)]
  }
}

describe('failure domains that are evacuated, lose power and come back cold', () => {
  beforeAll(async () => {
    await import('../../platform/build.mjs' as string)
  })

  test.each(readSeeds())('get no work after the order, and no more than they withstand while cold, and nothing runs twice (seed %i)', async (seed) => {
    const draw = createDraw(seed)
    const run = new DomainsRun(draw)
    await run.deployment.start()
    const clients = new SoakClients(run.deployment.gateways, draw)
    try {
      await run.deployment.waitUntilReady()
      clients.start()
      for (let step = 0; step < STEPS; step++) {
        run.step()
        await wait(STEP_MS)
      }
      await Promise.all(run.underWay)
      await run.deployment.waitUntilReady()
      await clients.stop()
      expect(run.lateArrivals(clients)).toEqual([])
      expect(run.overrun()).toEqual([])
      expect(clients.requests.map(sent => findFault(sent, run.deployment.runsOf(sent.id))).filter(Boolean)).toEqual([])
      expect(clients.requests.filter(sent => sent.status === 200).length).toBeGreaterThan(clients.requests.length / 3)
    }
    finally {
      await clients.stop()
      await run.deployment.stop()
    }
  })
})
