import type { Leave, LeavingPlay } from './support/leaving-servers.js'
import type { Draw, SoakClients } from './support/soak-clients.js'
import { wait } from '@eidermast/common'
import { beforeAll, describe, expect, test } from 'vitest'
import { leaveOne, playLeaving } from './support/leaving-servers.js'
import { SoakDeployment } from './support/soak-deployment.js'
import { createDraw, readSeeds } from './support/soak-seeds.js'
import { SoakTroubles } from './support/soak-troubles.js'
import { isWork, senderOf } from './support/soak-work.js'

/** Time after which connected gateways must not send requests to a backend server that left (setting `drain-ms`). */
const DRAIN_MS = 2000
/** Time after a disruption until a gateway counts as connected again (setting `contact-ms`). */
const CONTACT_MS = 3000
/** Tolerance for request transit time on a busy machine. */
const SLACK_MS = 150
/** How long requests continue after the last step. */
const SETTLE_MS = 5500
const BACKENDS_EACH = 6

class LostReadsRun implements LeavingPlay {
  readonly steps = 16
  readonly stepMs = 500
  readonly deployment = new SoakDeployment({ backendsEach: BACKENDS_EACH, ownLines: true })
  readonly leaves: Leave[] = []
  private readonly troubles = new SoakTroubles(CONTACT_MS + SLACK_MS)
  private readonly underWay: Promise<void>[] = []

  constructor(private readonly draw: Draw) {}

  /** Makes a backend server leave, or disrupts one gateway or all gateways. */
  step(): void {
    const gateway = this.draw(this.deployment.gateways.length)
    const kind = this.draw(8)
    if (kind < 4)
      leaveOne(this.deployment, this.leaves, this.draw)
    else if (kind < 6)
      this.silence([gateway])
    else if (kind === 6)
      this.silence(this.deployment.gateways.map((_, index) => index))
    else
      this.underWay.push(this.draw(2) === 0 ? this.cut(gateway) : this.replace(gateway))
  }

  async settle(): Promise<void> {
    await Promise.all(this.underWay)
    await wait(SETTLE_MS)
  }

  /** Describes work from connected gateways that reached a backend server too late. */
  lateArrivals(clients: SoakClients): string[] {
    return this.leaves.flatMap(({ backend, at: leftAt }) => backend.seen
      .filter(seen => isWork(seen) && seen.at > leftAt + DRAIN_MS + SLACK_MS && this.troubles.isInTouch(senderOf(seen, clients), seen.at))
      .map(seen => `${seen.path} of gateway ${senderOf(seen, clients)} reached ${backend.id} ${Math.round(seen.at - leftAt)} ms after it had left`))
  }

  private silence(gateways: number[]): void {
    const now = performance.now()
    for (const gateway of gateways) {
      this.deployment.lines[gateway].silenceOpenConnections()
      this.troubles.add(gateway, now, now)
    }
  }

  private async cut(gateway: number): Promise<void> {
    const line = this.deployment.lines[gateway]
    const trouble = this.troubles.begin(gateway)
    line.isCut = true
    line.silenceOpenConnections()
    await wait(300 + this.draw(3000))
    line.isCut = false
    trouble.to = performance.now()
  }

  private async replace(gateway: number): Promise<void> {
    const trouble = this.troubles.begin(gateway)
    await this.deployment.gateways[gateway].replace(this.draw(2) === 0 ? 'SIGKILL' : 'SIGTERM')
    trouble.to = performance.now()
  }
}

describe('backend servers that leave while gateways lose their reads of the list', () => {
  beforeAll(async () => {
    await import('../../platform/build.mjs' as string)
  })

  test.each(readSeeds())('get no work from gateways in touch after the drain bound (seed %i)', async (seed) => {
    const draw = createDraw(seed)
    const run = new LostReadsRun(draw)
    await playLeaving(run, draw)
    expect(run.leaves.some(({ backend }) => backend.seen.some(isWork))).toBe(true)
  })
})
