/**
 * Gateways and a pool of backend servers that send flow-control notices, and a
 * client that sends requests to the gateways in round-robin order.
 */
import type { StartedGateway } from './in-process-gateway.js'
import type { NoticeBackend } from './notice-pool.js'
import { wait } from '@eidermast/common'
import { request } from 'undici'
import { expect, vi } from 'vitest'
import { startGateway } from './in-process-gateway.js'
import { requestIdAt, startNoticePool } from './notice-pool.js'
import { makeStageResults, STAGE_LIMITS } from './stand-in-stages.js'
import { StandInStore } from './stand-in-store.js'

const SERVICE = 'plain'
const GATEWAYS = 3
const STAGE_BACKENDS = 2
/** Time that a backend server takes for a request. */
const WORK_MS = 10
const DEADLINE_MS = 2000
const STAGE_SERVICE = 'encode'
const ROUTE = { Host: 'host.example', Type: 'idempotent', Service: SERVICE, TimeoutMs: 4000, TargetLatencyMs: 1000, MaxAttempts: 2 }
const CONFIGURATION = {
  Version: 3,
  Routes: [
    { ...ROUTE, Name: 'plain', PathPrefix: '/plain/' },
    { ...ROUTE, Name: 'staged', PathPrefix: '/staged/', Phases: [{ Service: STAGE_SERVICE, WatchRevision: [], SizeBytes: 1000 }] },
  ],
  Services: [{ Name: SERVICE, MaxConnections: 60 }, { Name: STAGE_SERVICE, MaxConnections: 60, Segments: STAGE_LIMITS }],
  Limits: { MaxHeaderBytes: 8000, MaxBodyBytes: 1000, HeaderTimeoutMs: 3000, IdleTimeoutMs: 5000 },
}

/** A response as the client received it. */
export interface Answer {
  requestId: string
  status: number
  /** Seconds; undefined if the response has no `Retry-After`. */
  retryAfter: number | undefined
  tookMs: number
}

/** Gateways, their store and the backend servers. */
export class NoticeDeployment {
  readonly store = new StandInStore()
  pool: NoticeBackend[] = []
  /** Backend servers of the stage service. */
  stages: NoticeBackend[] = []
  gateways: StartedGateway[] = []
  /** When the client sent each request, in milliseconds of the test's clock. */
  readonly sentAt = new Map<string, number>()
  private sent = 0

  async start(size: number): Promise<void> {
    const address = await this.store.start()
    this.pool = await startNoticePool(this.store, { service: SERVICE, size, workMs: WORK_MS })
    this.stages = await startNoticePool(this.store, { service: STAGE_SERVICE, size: STAGE_BACKENDS, workMs: 0, respond: makeStageResults() })
    this.store.put('keyed.op', 'config', CONFIGURATION)
    this.gateways = await Promise.all(Array.from({ length: GATEWAYS }, (_, index) => startGateway(`gateway-${index}`, address)))
    await vi.waitFor(() => {
      for (const { gateway } of this.gateways) {
        expect(gateway.registry.size).toBe(size + STAGE_BACKENDS)
        expect(gateway.members.count).toBe(GATEWAYS)
      }
    }, { timeout: 5000 })
  }

  async stop(): Promise<void> {
    await Promise.all(this.gateways.map(({ gateway }) => gateway.close()))
    await Promise.all([this.store.stop(), ...[...this.pool, ...this.stages].map(({ server }) => server.stop())])
  }

  /** Sends requests at a fixed rate for `forMs`; returns the responses. */
  async sendFor(forMs: number, perSecond: number, path = '/plain/x'): Promise<Answer[]> {
    const answers: Promise<Answer>[] = []
    const endAt = performance.now() + forMs
    while (performance.now() < endAt) {
      answers.push(this.send(path))
      await wait(1000 / perSecond)
    }
    return Promise.all(answers)
  }

  private async send(path: string): Promise<Answer> {
    const index = this.sent++ % this.gateways.length
    const requestId = requestIdAt(`gateway-${index}`, this.sent)
    const sentAt = performance.now()
    this.sentAt.set(requestId, sentAt)
    const headers = { 'host': 'host.example', 'attempt-id': requestId, 'deadline-ms': String(DEADLINE_MS), 'chunk-count': '2', 'chunk-key': 'key' }
    const response = await request(`${this.gateways[index].address}${path}`, { method: 'POST', headers, body: '' })
    await response.body.dump()
    const retryAfter = response.headers['retry-after']
    return {
      requestId,
      status: response.statusCode,
      retryAfter: retryAfter === undefined ? undefined : Number(retryAfter),
      tookMs: performance.now() - sentAt,
    }
  }
}
