/**
 * Stand-in backend servers with one slot and a queue, each with its own speed, and
 * gateways that send to them.
 */
import type { StartedGateway } from './in-process-gateway.js'
import type { ReceivedRequest } from './stand-in-backend.js'
import { wait } from '@eidermast/common'
import { request } from 'undici'
import { expect, vi } from 'vitest'
import { createRandom } from '../../gateway/support/random.js'
import { processNow } from '../../support/process-clock.js'
import { startGateway } from './in-process-gateway.js'
import { requestIdHeader, StandInBackend } from './stand-in-backend.js'
import { StandInStore } from './stand-in-store.js'

const SERVICE = 'plain'
const ROUTE = { Name: 'plain', Host: 'host.example', PathPrefix: '/plain/', Type: 'idempotent', Service: SERVICE, TimeoutMs: 4000, TargetLatencyMs: 1000, MaxAttempts: 2 }
const CONFIGURATION = {
  Version: 3,
  Routes: [ROUTE],
  Services: [{ Name: SERVICE, MaxConnections: 60 }],
  Limits: { MaxHeaderBytes: 8000, MaxBodyBytes: 1000, HeaderTimeoutMs: 3000, IdleTimeoutMs: 5000 },
}
/** Requests that may wait at a backend server. */
const QUEUE = 6
const DEADLINE_MS = 2000

/** What the load header of a backend server has. */
export enum LoadHeader {
  Slowness = 'slowness',
  /** Without the fourth figure. */
  Load = 'load',
  None = 'none',
}

/** One slot and a queue. */
class UnevenBackend {
  served = 0
  private there = 0
  private free: Promise<void> = Promise.resolve()

  constructor(readonly server: StandInBackend, readonly usualMs: number, public slowness: number, private readonly header: LoadHeader) {
    server.respond = async (seen, response) => {
      if (this.there > QUEUE) {
        response.writeHead(503, { ...this.headers(seen), 'Not-Executed': '1' })
        return void response.end()
      }
      this.there++
      const turn = this.free
      this.free = turn.then(() => response.destroyed ? undefined : wait(this.usualMs * this.slowness))
      await this.free
      this.there--
      this.served++
      response.writeHead(200, { ...this.headers(seen), 'Server-Signature': 'signed' })
      response.end('whole')
    }
  }

  private headers(seen: ReceivedRequest): Record<string, string> {
    const load = `${Math.min(1, this.there)},${Math.max(0, this.there - 1)},1${this.header === LoadHeader.Slowness ? `,${this.slowness * 100}` : ''}`
    return { ...requestIdHeader(seen), ...(this.header === LoadHeader.None ? {} : { 'Replica-Load': load }) }
  }
}

export interface UnevenPoolOptions {
  gateways: number
  header: LoadHeader
  /** Slowness of each backend server. */
  slownesses: readonly number[]
  usualMs: number
  /** Lines of the section `[load]`. */
  load?: readonly string[]
}

/** An answer as the client received it. */
export interface UnevenAnswer {
  status: number
  /** Without the time in which this process, which runs clients, gateways and backend servers, waited for a processor. */
  tookMs: number
}

/** Gateways, their store and the pool. */
export class UnevenPool {
  readonly store = new StandInStore()
  backends: UnevenBackend[] = []
  gateways: StartedGateway[] = []
  private sent = 0

  constructor(private readonly options: UnevenPoolOptions) {}

  async start(): Promise<void> {
    const { slownesses, usualMs, header, gateways, load = ['backend-speed = measured'] } = this.options
    const address = await this.store.start()
    this.backends = await Promise.all(slownesses.map(async (slowness, index) => {
      const server = new StandInBackend(`${SERVICE}-${index}`, SERVICE)
      await server.start()
      this.store.put('keyed.servers', server.id, { ...server.entry(), Capacity: 1 })
      return new UnevenBackend(server, usualMs, slowness, header)
    }))
    this.store.put('keyed.op', 'config', CONFIGURATION)
    this.gateways = await Promise.all(Array.from({ length: gateways }, (_, index) => startGateway(`gateway-${index}`, address, { load })))
    await vi.waitFor(() => {
      for (const { gateway } of this.gateways) {
        expect(gateway.registry.size).toBe(slownesses.length)
        expect(gateway.members.count).toBe(gateways)
      }
    }, { timeout: 5000 })
  }

  async stop(): Promise<void> {
    await Promise.all(this.gateways.map(({ gateway }) => gateway.close()))
    await Promise.all([this.store.stop(), ...this.backends.map(({ server }) => server.stop())])
  }

  /** Sends requests at random intervals for `forMs` to the gateways in turn; returns the answers. */
  async sendFor(forMs: number, perSecond: number, seed: number, gateways = this.gateways): Promise<UnevenAnswer[]> {
    const random = createRandom(seed)
    const answers: Promise<UnevenAnswer>[] = []
    const startedAt = performance.now()
    for (let at = 0; at < forMs; at += -Math.log(1 - random()) * 1000 / perSecond) {
      await wait(Math.max(0, startedAt + at - performance.now()))
      answers.push(this.send(gateways[this.sent++ % gateways.length], this.sent))
    }
    return Promise.all(answers)
  }

  private async send({ address }: StartedGateway, number: number): Promise<UnevenAnswer> {
    const sentAt = processNow()
    const headers = { 'host': 'host.example', 'attempt-id': `request-${number}`, 'deadline-ms': String(DEADLINE_MS) }
    const response = await request(`${address}/plain/x`, { method: 'POST', headers, body: '' })
    await response.body.dump()
    return { status: response.statusCode, tookMs: processNow() - sentAt }
  }
}

/** The time within which a part (0 to 1) of the requests was answered, in milliseconds; a request without an answer counts as infinite. */
export function answeredWithinMs(answers: readonly UnevenAnswer[], part: number): number {
  const times = answers.map(({ status, tookMs }) => status === 200 ? tookMs : Number.POSITIVE_INFINITY).toSorted((left, right) => left - right)
  return times[Math.ceil(times.length * part) - 1]
}
