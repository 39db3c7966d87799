import type { StandInBackend } from '../platform/support/stand-in-backend.js'
import type { Draw } from './support/soak-clients.js'
import { wait } from '@eidermast/common'
import { beforeAll, describe, expect, test } from 'vitest'
import { StoreFault } from '../platform/support/stand-in-store.js'
import { findViolation } from './support/answer-violations.js'
import { SoakClients } from './support/soak-clients.js'
import { SoakDeployment } from './support/soak-deployment.js'
import { SoakDisruptions } from './support/soak-disruptions.js'
import { createDraw, readSeeds } from './support/soak-seeds.js'
import { findSender, isWork } from './support/soak-work.js'

const FAILURE_DOMAINS = ['zone-a', 'zone-b', 'zone-c']
const BACKENDS_EACH = 6
const STEPS = 16
const STEP_MS = 500
/** Time after its order until an evacuation is binding for connected gateways (setting `evacuation-ms`). */
const EVACUATION_MS = 2000
/** Time after a disruption until a gateway counts as connected again (setting `contact-ms`). */
const CONTACT_MS = 3000
/** Tolerance for request transit time on a busy machine. */
const TOLERANCE_MS = 150
/** Minimum duration of an evacuation and maximum random extension, in milliseconds. */
const EVACUATION_DURATION_MS = { min: 2500, maxExtra: 2500 }
/** How long backend servers are cold, in milliseconds, and the requests per second that one can take during that time. */
const COLD = { forMs: 2000, perSecond: 4, overshoot: 1.5, slack: 2 }
/** Maximum number of requests that a cold backend server may receive within any second. */
const MAX_COLD_REQUESTS = COLD.perSecond * COLD.overshoot + COLD.slack
/** How long a failure domain is without power. */
const POWER_LOSS_MS = 800
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

  readonly pending: Promise<void>[] = []
  readonly evacuations: Evacuation[] = []
  /** Start time of each cold backend server. */
  private readonly startedCold = new Map<StandInBackend, number>()
  /** Backend servers that lost power. */
  private readonly poweredOff = new Set<StandInBackend>()
  private readonly disruptions = new SoakDisruptions(CONTACT_MS + TOLERANCE_MS)
  private readonly steps: (() => Promise<void> | void)[] = [
    () => this.evacuate(),
    () => this.evacuate(),
    () => this.losePower(),
    () => this.disruptStore(),
    () => this.disconnectFromStore(),
    () => this.loseReads(),
    () => this.replaceGateway(),
  ]

  constructor(private readonly draw: Draw) {}

  step(): void {
    this.pending.push(Promise.resolve(this.steps[this.draw(this.steps.length)]()))
  }

  /** Describes work from connected gateways that reached an evacuated failure domain too late. */
  lateArrivals(clients: SoakClients): string[] {
    return this.evacuations.flatMap(({ failureDomain, from, to }) => this.deployment.backends
      .filter(backend => backend.failureDomain === failureDomain)
      .flatMap(backend => backend.seen)
      .filter(seen => isWork(seen) && seen.at > from + EVACUATION_MS + TOLERANCE_MS && seen.at < to && this.disruptions.wasConnected(findSender(seen, clients), seen.at))
      .map(seen => `${seen.path} reached ${failureDomain} ${Math.round(seen.at - from)} ms after the evacuation order`))
  }

  /** Describes cold backend servers that received more than MAX_COLD_REQUESTS requests within a second. */
  overloadedColdBackends(): string[] {
    return [...this.startedCold].flatMap(([backend, startedAt]) => {
      const arrivals = backend.seen.filter(seen => isWork(seen) && seen.at < startedAt + COLD.forMs).map(({ at }) => at)
      const most = Math.max(0, ...arrivals.map(from => arrivals.filter(at => at >= from && at < from + 1000).length))
      return most > MAX_COLD_REQUESTS ? [`${backend.id} received ${most} requests within a second`] : []
    })
  }

  /** Evacuates a random failure domain, unless an evacuation is already active. */
  private async evacuate(): Promise<void> {
    if (this.evacuations.some(({ to }) => to > performance.now()))
      return
    const failureDomain = this.pickFailureDomain()
    const evacuation = { failureDomain, from: performance.now(), to: Number.POSITIVE_INFINITY }
    this.evacuations.push(evacuation)
    this.deployment.store.put(OPERATOR_TOPIC, `evacuate/${failureDomain}`, {})
    await wait(EVACUATION_DURATION_MS.min + this.draw(EVACUATION_DURATION_MS.maxExtra))
    evacuation.to = performance.now()
    this.deployment.store.put(OPERATOR_TOPIC, `evacuate/${failureDomain}`, undefined)
  }

  /** Simulates a power loss of a failure domain: its gateways restart, and its plain backend servers come back cold and under new ids. */
  private async losePower(): Promise<void> {
    const failureDomain = this.pickFailureDomain()
    const lost = this.deployment.backends.filter(backend => backend.service === 'plain' && backend.failureDomain === failureDomain && !this.poweredOff.has(backend))
    lost.forEach(backend => this.poweredOff.add(backend))
    const gateways = this.deployment.gateways.flatMap((_, number) => this.deployment.failureDomainOf(number) === failureDomain ? [number] : [])
    await Promise.all([...lost.map(backend => backend.stop()), ...gateways.map(number => this.replace(number))])
    await wait(POWER_LOSS_MS)
    for (const backend of lost) {
      this.deployment.unlist(backend)
      const returned = await this.deployment.addBackend('plain', `${backend.id}+`, failureDomain, COLD.forMs)
      this.startedCold.set(returned, performance.now())
    }
  }

  private async disruptStore(): Promise<void> {
    const disruption = this.disruptions.begin()
    const { store } = this.deployment
    store.fault = [StoreFault.Busy, StoreFault.Reset, StoreFault.Hanging][this.draw(3)]
    await wait(300 + this.draw(900))
    store.fault = StoreFault.None
    store.deleteHistory(OPERATOR_TOPIC)
    disruption.to = performance.now()
  }

  private async disconnectFromStore(): Promise<void> {
    const gateway = this.draw(this.deployment.gateways.length)
    const disruption = this.disruptions.begin(gateway)
    const line = this.deployment.lines[gateway]
    line.isPartitioned = true
    line.stallOpenConnections()
    await wait(300 + this.draw(3000))
    line.isPartitioned = false
    disruption.to = performance.now()
  }

  private loseReads(): void {
    const gateway = this.draw(this.deployment.gateways.length)
    this.deployment.lines[gateway].stallOpenConnections()
    this.disruptions.add(gateway, performance.now(), performance.now())
  }

  private replaceGateway(): Promise<void> {
    return this.replace(this.draw(this.deployment.gateways.length))
  }

  private async replace(gateway: number): Promise<void> {
    const disruption = this.disruptions.begin(gateway)
    await this.deployment.gateways[gateway].replace(this.draw(2) === 0 ? 'SIGKILL' : 'SIGTERM')
    disruption.to = performance.now()
  }

  private pickFailureDomain(): string {
    return FAILURE_DOMAINS[this.draw(FAILURE_DOMAINS.length)]
  }
}

describe('failure domains that are evacuated, lose power and restart cold', () => {
  beforeAll(async () => {
    await import('../../platform/build.mjs' as string)
  })

  test.each(readSeeds())('receive no work after an evacuation and no more than the limit while cold, and nothing runs twice (seed %i)', async (seed) => {
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
      await Promise.all(run.pending)
      await run.deployment.waitUntilReady()
      await clients.stop()
      expect(run.lateArrivals(clients)).toEqual([])
      expect(run.overloadedColdBackends()).toEqual([])
      expect(clients.requests.map(sent => findViolation(sent, run.deployment.countRuns(sent.id))).filter(Boolean)).toEqual([])
      expect(clients.requests.filter(sent => sent.status === 200).length).toBeGreaterThan(clients.requests.length / 3)
    }
    finally {
      await clients.stop()
      await run.deployment.stop()
    }
  })
})
