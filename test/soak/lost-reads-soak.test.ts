import type { Departure, LeavingScenario } from './support/leaving-scenario.js'
import type { Draw, SoakClients } from './support/soak-clients.js'
import { wait } from '@eidermast/common'
import { beforeAll, describe, expect, test } from 'vitest'
import { removeRandomBackend, runLeavingScenario } from './support/leaving-scenario.js'
import { SoakDeployment } from './support/soak-deployment.js'
import { SoakDisruptions } from './support/soak-disruptions.js'
import { createDraw, readSeeds } from './support/soak-seeds.js'
import { findSender, isWork } from './support/soak-work.js'

/** Time after which connected gateways must not send requests to a backend server that left (setting `drain-ms`). */
const DRAIN_MS = 2000
/** Time after a disruption until a gateway counts as connected again (setting `contact-ms`). */
const CONTACT_MS = 3000
/** Tolerance for request transit time on a busy machine. */
const TOLERANCE_MS = 150
/** How long requests continue after the last step. */
const SETTLE_MS = 5500
const BACKENDS_EACH = 6

class LostReadsRun implements LeavingScenario {
  readonly steps = 16
  readonly stepMs = 500
  readonly deployment = new SoakDeployment({ backendsEach: BACKENDS_EACH, ownLines: true })
  readonly departures: Departure[] = []
  private readonly disruptions = new SoakDisruptions(CONTACT_MS + TOLERANCE_MS)
  private readonly pending: Promise<void>[] = []

  constructor(private readonly draw: Draw) {}

  /** Makes a backend server leave, or disrupts one gateway or all gateways. */
  step(): void {
    const gateway = this.draw(this.deployment.gateways.length)
    const kind = this.draw(8)
    if (kind < 4)
      removeRandomBackend(this.deployment, this.departures, this.draw)
    else if (kind < 6)
      this.silence([gateway])
    else if (kind === 6)
      this.silence(this.deployment.gateways.map((_, index) => index))
    else
      this.pending.push(this.draw(2) === 0 ? this.disconnectFromStore(gateway) : this.replace(gateway))
  }

  async settle(): Promise<void> {
    await Promise.all(this.pending)
    await wait(SETTLE_MS)
  }

  /** Describes work from connected gateways that reached a backend server too late. */
  lateArrivals(clients: SoakClients): string[] {
    return this.departures.flatMap(({ backend, at: leftAt }) => backend.seen
      .filter(seen => isWork(seen) && seen.at > leftAt + DRAIN_MS + TOLERANCE_MS && this.disruptions.wasConnected(findSender(seen, clients), seen.at))
      .map(seen => `${seen.path} of gateway ${findSender(seen, clients)} reached ${backend.id} ${Math.round(seen.at - leftAt)} ms after it had left`))
  }

  private silence(gateways: number[]): void {
    const now = performance.now()
    for (const gateway of gateways) {
      this.deployment.lines[gateway].stallOpenConnections()
      this.disruptions.add(gateway, now, now)
    }
  }

  private async disconnectFromStore(gateway: number): Promise<void> {
    const line = this.deployment.lines[gateway]
    const disruption = this.disruptions.begin(gateway)
    line.isPartitioned = true
    line.stallOpenConnections()
    await wait(300 + this.draw(3000))
    line.isPartitioned = false
    disruption.to = performance.now()
  }

  private async replace(gateway: number): Promise<void> {
    const disruption = this.disruptions.begin(gateway)
    await this.deployment.gateways[gateway].replace(this.draw(2) === 0 ? 'SIGKILL' : 'SIGTERM')
    disruption.to = performance.now()
  }
}

describe('backend servers that leave while list reads of gateways are lost', () => {
  beforeAll(async () => {
    await import('../../platform/build.mjs' as string)
  })

  test.each(readSeeds())('receive no work from connected gateways after the drain time (seed %i)', async (seed) => {
    const draw = createDraw(seed)
    const run = new LostReadsRun(draw)
    await runLeavingScenario(run, draw)
    expect(run.departures.some(({ backend }) => backend.seen.some(isWork))).toBe(true)
  })
})
