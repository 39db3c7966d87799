import type { ReceivedRequest } from '../platform/support/stand-in-backend.js'
import type { Draw } from './support/soak-clients.js'
import { wait } from '@eidermast/common'
import { beforeAll, describe, expect, test } from 'vitest'
import { NoticeBackend } from '../platform/support/notice-pool.js'
import { StoreFault } from '../platform/support/stand-in-store.js'
import { NoticeChecks } from './support/notice-checks.js'
import { SoakClients } from './support/soak-clients.js'
import { SoakDeployment } from './support/soak-deployment.js'
import { SoakDisruptions } from './support/soak-disruptions.js'
import { createDraw, readSeeds } from './support/soak-seeds.js'
import { findSender, isWork } from './support/soak-work.js'

const STEPS = 24
const STEP_MS = 500
const BACKENDS_EACH = 6
/** Backend servers of each service that never send a notice, so that some capacity is always available. */
const SILENT_BACKENDS_EACH = 2
const RATE_LIMITS = ['0', '0.5', '1', '1.3', '2', '5']
const RETRY_AFTER_S = ['0.8', '1.5', '3']
/** Minimum fraction of requests that must succeed despite the disruptions. */
const SERVED_SHARE = 0.6

class NoticeRun {
  readonly deployment = new SoakDeployment({ backendsEach: BACKENDS_EACH })
  readonly backends: NoticeBackend[] = []
  private readonly disruptions = new SoakDisruptions(0)
  private readonly pending: Promise<void>[] = []

  constructor(private readonly draw: Draw) {}

  /** Makes backend servers that receive client requests send notices, except SILENT_BACKENDS_EACH of each service. */
  addNotices(clients: SoakClients): void {
    const gatewayOf = (seen: ReceivedRequest): string => isWork(seen) ? `gateway-${findSender(seen, clients)}` : 'none'
    for (const service of ['plain', 'model']) {
      const backends = this.deployment.backends.filter(backend => backend.service === service)
      for (const backend of backends.slice(SILENT_BACKENDS_EACH))
        this.backends.push(new NoticeBackend(backend, { respond: backend.respond, senderOf: gatewayOf }))
    }
  }

  step(): void {
    if (this.draw(3) > 0)
      return this.changeNotice(this.backends[this.draw(this.backends.length)])
    this.pending.push(this.disrupt())
  }

  async settle(): Promise<void> {
    await Promise.all(this.pending)
  }

  /** Whether a gateway was restarted or paused between two times. */
  isExempt(gateway: string, from: number, to: number): boolean {
    return this.disruptions.overlaps(Number(gateway.split('-')[1]), from, to)
  }

  /** Changes the notice of a backend server at random; a leaving one keeps its notice. */
  private changeNotice(backend: NoticeBackend): void {
    if (backend.notice?.headers['Server-Leaving'] !== undefined)
      return
    const kind = this.draw(5)
    if (kind === 0)
      backend.notice = undefined
    else if (kind === 1)
      backend.notice = { headers: { 'Retry-After': RETRY_AFTER_S[this.draw(RETRY_AFTER_S.length)] }, rejects: true }
    else if (kind === 2 && this.draw(2) === 0)
      backend.notice = { headers: { 'Server-Leaving': '1' } }
    else
      backend.notice = { headers: { 'Server-Limit': RATE_LIMITS[this.draw(RATE_LIMITS.length)] } }
  }

  private async disrupt(): Promise<void> {
    const { gateways, store } = this.deployment
    const number = this.draw(gateways.length)
    const kind = this.draw(4)
    if (kind === 0) {
      store.fault = [StoreFault.Busy, StoreFault.Reset, StoreFault.Hanging][this.draw(3)]
      await wait(500 + this.draw(1500))
      store.fault = StoreFault.None
      return
    }
    const disruption = this.disruptions.begin(number)
    if (kind === 1) {
      gateways[number].signal('SIGSTOP')
      await wait(200 + this.draw(1000))
      gateways[number].signal('SIGCONT')
    }
    else {
      await gateways[number].replace(kind === 2 ? 'SIGKILL' : 'SIGTERM')
    }
    disruption.to = performance.now()
  }
}

describe('backend servers that announce limits', () => {
  beforeAll(async () => {
    await import('../../platform/build.mjs' as string)
  })

  test.each(readSeeds())('receive no more than that from informed gateways, while gateways are killed and paused and the store fails (seed %i)', async (seed) => {
    const draw = createDraw(seed)
    const run = new NoticeRun(draw)
    await run.deployment.start()
    const clients = new SoakClients(run.deployment.gateways, draw)
    run.addNotices(clients)
    try {
      await run.deployment.waitUntilReady()
      clients.start()
      for (let step = 0; step < STEPS; step++) {
        run.step()
        await wait(STEP_MS)
      }
      await run.settle()
      await clients.stop()
      const sentAt = new Map(clients.requests.map(sent => [sent.id, sent.sentAt]))
      const checks = new NoticeChecks((...parameters) => run.isExempt(...parameters), id => sentAt.get(id))
      expect(run.backends.flatMap(({ periods }) => periods).length).toBeGreaterThan(0)
      expect(run.backends.flatMap(backend => checks.violations(backend))).toEqual([])
      const served = clients.requests.filter(({ status }) => status === 200)
      expect(served.length).toBeGreaterThan(SERVED_SHARE * clients.requests.length)
    }
    finally {
      await clients.stop()
      await run.deployment.stop()
    }
  })
})
