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

/** Time after the last crash that a cause may take until connected gateways know of it, and time after a disruption until a gateway counts as connected again (setting `contact-ms`). */
const CONTACT_MS = 3000
/** How often connected gateways may still send such a request to backend servers after that time. */
const MAX_SENT_LATE = 3
/** Tolerance for request transit time on a busy machine. */
const TOLERANCE_MS = 150
const STEPS = 18
const FAULTS = [StoreFault.Busy, StoreFault.Reset, StoreFault.Hanging]
const STEP_MS = 600
/** How long crashing requests continue after the last disruption. */
const SETTLE_MS = 4500
/** Interval between crashing requests, of which there are three kinds. */
const CRASHING_INTERVAL_MS = 160
/** Prompt part that crashes every backend server that runs a request with it. */
const CRASHING_PART = 'dead'
/** Prompt part that such requests share with sound ones. */
const ACCOUNT_PART = 'account'

/** A kind of crashing requests. */
interface CrashingKind {
  path: string
  /** Crashes by such requests after which all connected gateways learn the cause. */
  knownAfterCrashes: number
  /** Whether the requests differ, and have CRASHING_PART in common. */
  sharesPart: boolean
}

const CRASHING_KINDS: readonly CrashingKind[] = [
  { path: '/plain/crash-a', knownAfterCrashes: 3, sharesPart: false },
  { path: '/plain/crash-b', knownAfterCrashes: 3, sharesPart: false },
  { path: '/plain/crash-part', knownAfterCrashes: 5, sharesPart: true },
]
const POOL_SIZE = 10
/** Number of backend servers that crash together for unrelated reasons. */
const CONCURRENT_CRASHES = 3

/** A period in which a gateway was disrupted, in milliseconds of the test clock. */
interface Disruption {
  /** Undefined if all gateways were affected. */
  gateway?: number
  from: number
  to: number
}

function isFatal({ body, headers }: ReceivedRequest): boolean {
  return body === CRASHING_BODY || String(headers['prompt-prefix']).includes(`${CRASHING_PART}:`)
}

class CrashingRun {
  readonly deployment = new SoakDeployment({ plainPoolSize: POOL_SIZE, isFatal, ownLines: true })
  private readonly disruptions: Disruption[] = []
  private readonly pending: Promise<unknown>[] = []
  private readonly soundBodies: Promise<string | undefined>[] = []
  private isSending = true
  private sent = 0

  constructor(private readonly draw: Draw) {}

  /** Sends crashing requests to random gateways until `stop` is called. */
  async sendCrashing(): Promise<void> {
    while (this.isSending) {
      const gateway = this.draw(this.deployment.gateways.length)
      const { path, sharesPart } = CRASHING_KINDS[this.draw(CRASHING_KINDS.length)]
      const id = `crashing-${gateway}-${this.sent++}`
      // The answers to crashing requests are not checked, because the gateway may be down.
      void this.send({ gateway, path, id, body: sharesPart ? id : CRASHING_BODY, parts: sharesPart ? [ACCOUNT_PART, CRASHING_PART, id] : [] })
      const soundId = `sound-${gateway}-${this.sent++}`
      this.soundBodies.push(this.send({ gateway, path: '/plain/sound', id: soundId, body: soundId, parts: [ACCOUNT_PART, soundId] }))
      await wait(CRASHING_INTERVAL_MS)
    }
  }

  /** Sends a request; returns the response body, or undefined if there was none. */
  private send({ gateway, path, id, body, parts }: { gateway: number, path: string, id: string, body: string, parts: readonly string[] }): Promise<string | undefined> {
    const { address } = this.deployment.gateways[gateway]
    const headers = { 'host': 'host.example', 'attempt-id': id, 'deadline-ms': '2000', 'prompt-prefix': parts.map(part => `${part}:10`).join(',') }
    const sent = request(`${address}${path}`, { method: 'POST', body, headers }).then(response => response.body.text(), () => undefined)
    this.pending.push(sent)
    return sent
  }

  /** Sound requests with ACCOUNT_PART that were refused as causes of crashes. */
  async soundRefused(): Promise<(string | undefined)[]> {
    return (await Promise.all(this.soundBodies)).filter(body => body?.includes('"kind":"quarantined"'))
  }

  async stop(): Promise<void> {
    this.isSending = false
    await Promise.all(this.pending)
  }

  /** Disrupts a gateway, the store, or backend servers. */
  step(): void {
    const { deployment } = this
    const { gateways, lines, plainPool } = deployment
    const gateway = this.draw(gateways.length)
    const steps: (() => Promise<void> | void)[] = [
      () => gateways[gateway].replace('SIGKILL'),
      () => gateways[gateway].replace('SIGTERM'),
      () => deployment.pause(gateway, 300 + this.draw(2000)),
      () => deployment.disconnectFromStore(gateway, 300 + this.draw(2000)),
      () => lines[gateway].stallOpenConnections(),
    ]
    const common: (() => Promise<void> | void)[] = [() => deployment.failStore(FAULTS[this.draw(FAULTS.length)], 300 + this.draw(2000)), () => plainPool!.crashSome(CONCURRENT_CRASHES)]
    const number = this.draw(steps.length + common.length)
    if (number < steps.length)
      this.disrupt(gateway, steps[number])
    else
      this.disrupt(undefined, common[number - steps.length])
  }

  /** Describes the crashing requests that connected gateways sent too late, if there are more than allowed. */
  sentTooLate(): string[] {
    return CRASHING_KINDS.flatMap(({ path, knownAfterCrashes }) => {
      const late = this.deployment.plainPool!.receivedAfterCrash(knownAfterCrashes, CONTACT_MS + TOLERANCE_MS, path).filter(seen => this.wasConnected(seen))
      return late.length > MAX_SENT_LATE ? late.map(seen => `${path} of ${seen.headers['attempt-id']} at ${Math.round(seen.at)} ms`) : []
    })
  }

  private disrupt(gateway: number | undefined, action: () => Promise<void> | void): void {
    const disruption: Disruption = { gateway, from: performance.now(), to: Number.POSITIVE_INFINITY }
    this.disruptions.push(disruption)
    this.pending.push(Promise.resolve(action()).then(() => disruption.to = performance.now()))
  }

  /** Prints a summary of the run if EIDERMAST_SHOW_FAULTS is set. */
  printSummary(seed: number, { requests }: SoakClients): void {
    if (!process.env.EIDERMAST_SHOW_FAULTS)
      return
    const { crashes: ends } = this.deployment.plainPool!
    const byPath = CRASHING_KINDS.map(({ path }) => ends.filter(end => end.path === path).length)
    const plain = requests.filter(sent => sent.kind === RequestKind.Plain && sent.status !== undefined)
    const answered = plain.filter(({ status }) => status === 200)
    console.log(`seed ${seed}: ${ends.length} crashes, ${byPath.join(', ')} during the three kinds of crashing requests; ${answered.length} of ${plain.length} other requests answered`)
  }

  /** Whether the gateway that sent a request was connected. */
  private wasConnected(seen: ReceivedRequest): boolean {
    const gateway = Number(String(seen.headers['attempt-id']).split('-')[1])
    return !this.disruptions.some(disruption => (disruption.gateway ?? gateway) === gateway
      && disruption.from < seen.at && disruption.to + CONTACT_MS + TOLERANCE_MS > seen.at)
  }
}

function isQuarantined({ body }: SentRequest): boolean {
  return body?.includes('"kind":"quarantined"') ?? false
}

describe('requests that crash backend servers, while gateways, store and backend servers fail', () => {
  beforeAll(async () => {
    await import('../../platform/build.mjs' as string)
  })

  test.each(readSeeds())('are no longer sent by connected gateways, and no other request is refused because of them (seed %i)', async (seed) => {
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
      for (const { path } of CRASHING_KINDS)
        expect(deployment.plainPool!.crashes.filter(end => end.path === path).length).toBeGreaterThan(0)
      expect(run.sentTooLate()).toEqual([])
      expect(clients.requests.filter(isQuarantined)).toEqual([])
      expect(await run.soundRefused()).toEqual([])
      run.printSummary(seed, clients)
    }
    finally {
      await run.stop()
      await clients.stop()
      await deployment.stop()
    }
  })
})
