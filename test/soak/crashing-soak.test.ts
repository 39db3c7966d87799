import type { ReceivedRequest } from '../platform/support/stand-in-backend.js'
import type { Draw, SentRequest } from './support/soak-clients.js'
import process from 'node:process'
import { wait } from '@eidermast/common'
import { request } from 'undici'
import { beforeAll, describe, expect, test } from 'vitest'
import { CRASHING_BODY } from '../platform/support/crashing-pool.js'
import { StoreFault } from '../platform/support/stand-in-store.js'
import { RequestKind, SoakClients } from './support/soak-clients.js'
import { SoakDeployment } from './support/soak-deployment.js'
import { createDraw, readSeeds } from './support/soak-seeds.js'

/** Milliseconds after the third end within which gateways in touch know, and after trouble from which one is in touch (settings, `contact-ms`). */
const CONTACT_MS = 3000
/** Times that such a request may be sent to backend servers by gateways in touch later than that. */
const SENT_AFTER = 3
/** Milliseconds for the way of a request on a machine that has other work. */
const SLACK_MS = 150
const STEPS = 18
const STEP_MS = 600
/** Milliseconds in which crashing requests still come when all trouble is over. */
const SETTLE_MS = 4500
/** Milliseconds between crashing requests; there are two of them. */
const CRASHING_INTERVAL_MS = 250
const PATHS = ['/plain/crash-a', '/plain/crash-b']
const POOL_SIZE = 10
/** Backend servers that end together without a cause. */
const END_TOGETHER = 3

/** A time in which a gateway was in trouble; in milliseconds of the test's clock. */
interface Trouble {
  /** Absent where all were. */
  gateway?: number
  from: number
  to: number
}

class CrashingRun {
  readonly deployment = new SoakDeployment({ plainPoolSize: POOL_SIZE, ownLines: true })
  private readonly troubles: Trouble[] = []
  private readonly underWay: Promise<unknown>[] = []
  private isSending = true
  private sent = 0

  constructor(private readonly draw: Draw) {}

  /** Sends the crashing requests to gateways as they come, until it is stopped. */
  async sendCrashing(): Promise<void> {
    while (this.isSending) {
      const gateway = this.draw(this.deployment.gateways.length)
      const id = `crashing-${gateway}-${this.sent++}`
      const { address } = this.deployment.gateways[gateway]
      const options = { method: 'POST' as const, body: CRASHING_BODY, headers: { 'host': 'host.example', 'attempt-id': id, 'deadline-ms': '2000' } }
      // What callers of such a request get is not looked at: a gateway may be down.
      this.underWay.push(request(`${address}${PATHS[this.draw(PATHS.length)]}`, options).then(({ body }) => body.dump()).catch(() => {}))
      await wait(CRASHING_INTERVAL_MS)
    }
  }

  async stop(): Promise<void> {
    this.isSending = false
    await Promise.all(this.underWay)
  }

  /** Brings trouble to a gateway, to the store, or to backend servers. */
  step(): void {
    const { gateways, lines, plainPool } = this.deployment
    const gateway = this.draw(gateways.length)
    const steps: (() => Promise<void> | void)[] = [
      () => gateways[gateway].replace('SIGKILL'),
      () => gateways[gateway].replace('SIGTERM'),
      () => this.pause(gateway),
      () => this.cut(gateway),
      () => lines[gateway].stallOpenConnections(),
    ]
    const common: (() => Promise<void> | void)[] = [() => this.failStore(), () => plainPool!.crashSome(END_TOGETHER)]
    const number = this.draw(steps.length + common.length)
    if (number < steps.length)
      this.trouble(gateway, steps[number])
    else
      this.trouble(undefined, common[number - steps.length])
  }

  /** Crashing requests that gateways in touch sent too late, where there are more than may be. */
  sentTooLate(): string[] {
    return PATHS.flatMap((path) => {
      const late = this.deployment.plainPool!.receivedAfterThirdCrash(CONTACT_MS + SLACK_MS, path).filter(seen => this.isInTouch(seen))
      return late.length > SENT_AFTER ? late.map(seen => `${path} of ${seen.headers['attempt-id']} at ${Math.round(seen.at)} ms`) : []
    })
  }

  private trouble(gateway: number | undefined, bring: () => Promise<void> | void): void {
    const trouble: Trouble = { gateway, from: performance.now(), to: Number.POSITIVE_INFINITY }
    this.troubles.push(trouble)
    this.underWay.push(Promise.resolve(bring()).then(() => trouble.to = performance.now()))
  }

  private async pause(gateway: number): Promise<void> {
    const child = this.deployment.gateways[gateway]
    child.signal('SIGSTOP')
    await wait(300 + this.draw(2000))
    child.signal('SIGCONT')
  }

  private async cut(gateway: number): Promise<void> {
    const line = this.deployment.lines[gateway]
    line.isPartitioned = true
    line.stallOpenConnections()
    await wait(300 + this.draw(2000))
    line.isPartitioned = false
  }

  private async failStore(): Promise<void> {
    const { store } = this.deployment
    store.fault = [StoreFault.Busy, StoreFault.Reset, StoreFault.Hanging][this.draw(3)]
    await wait(300 + this.draw(2000))
    store.fault = StoreFault.None
  }

  /** Prints what came of a run, where that was asked for. */
  show(seed: number, { requests }: SoakClients): void {
    if (!process.env.EIDERMAST_SHOW_FAULTS)
      return
    const { crashes: ends } = this.deployment.plainPool!
    const byPath = PATHS.map(path => ends.filter(end => end.path === path).length)
    const plain = requests.filter(sent => sent.kind === RequestKind.Plain && sent.status !== undefined)
    const answered = plain.filter(({ status }) => status === 200)
    console.log(`seed ${seed}: ${ends.length} ends, ${byPath.join(' and ')} under the two requests; ${answered.length} of ${plain.length} others answered`)
  }

  /** Whether the gateway that sent a request has been in touch. */
  private isInTouch(seen: ReceivedRequest): boolean {
    const gateway = Number(String(seen.headers['attempt-id']).split('-')[1])
    return !this.troubles.some(trouble => (trouble.gateway ?? gateway) === gateway
      && trouble.from < seen.at && trouble.to + CONTACT_MS + SLACK_MS > seen.at)
  }
}

function isRefusedForCrashes({ body }: SentRequest): boolean {
  return body?.includes('"kind":"quarantined"') ?? false
}

describe('requests that end backend servers, while gateways, store and backend servers fail', () => {
  beforeAll(async () => {
    await import('../../platform/build.mjs' as string)
  })

  test.each(readSeeds())('are sent on no more by gateways in touch, and no other request is refused for them (seed %i)', async (seed) => {
    const draw = createDraw(seed)
    const run = new CrashingRun(draw)
    const { deployment } = run
    await deployment.start()
    const clients = new SoakClients(deployment.gateways, draw)
    try {
      await deployment.waitUntilReady()
      clients.start()
      const crashing = run.sendCrashing()
      for (let step = 0; step < STEPS; step++) {
        run.step()
        await wait(STEP_MS)
      }
      await wait(SETTLE_MS)
      await run.stop()
      await crashing
      await clients.stop()
      for (const path of PATHS)
        expect(deployment.plainPool!.crashes.filter(end => end.path === path).length).toBeGreaterThan(0)
      expect(run.sentTooLate()).toEqual([])
      expect(clients.requests.filter(isRefusedForCrashes)).toEqual([])
      run.show(seed, clients)
    }
    finally {
      await run.stop()
      await clients.stop()
      await deployment.stop()
    }
  })
})
