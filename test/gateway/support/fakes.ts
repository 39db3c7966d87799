/**
 * Fakes for the gateway's interfaces: a log that keeps its lines, an in-memory
 * stage service, and factories for records.
 */
import type { LogFields } from '@eidermast/common'
import type { BackendRecord, ColdStartLimiter, Configuration, CrashMonitor, IntakeGate, ItemOutcome, Route, StageCallResult, StageClient, StageItem, StageLimits, StreamContinuations } from '@eidermast/gateway'
import { EventLog } from '@eidermast/common'
import { Backend, ItemFailure, StageCallEnd } from '@eidermast/gateway'

/** Creates a log that keeps its lines. */
export function createLog(): { log: EventLog, lines: LogFields[] } {
  const lines: LogFields[] = []
  return { log: new EventLog({ write: line => lines.push(JSON.parse(line)) }, { process: 'test' }), lines }
}

export function createRecord(overrides: Partial<BackendRecord> = {}): BackendRecord {
  return { id: 'replica-a', service: 'encode', address: '127.0.0.1:1', failureDomain: 'zone-a', capacity: 1, draining: false, ...overrides }
}

export function createBackend(overrides: Partial<BackendRecord> = {}): Backend {
  return new Backend(createRecord(overrides))
}

export function createStageLimits(overrides: Partial<StageLimits> = {}): StageLimits {
  return { concurrency: 1, batch: 4, callMs: 100, itemMs: 10, resultMemoryBytes: 1000, resultLifetimeMs: 4000, bandwidthMbps: 10_000, ...overrides }
}

export function createRoute(overrides: Partial<Route> = {}): Route {
  return {
    name: 'route',
    host: 'host.example',
    pathPrefix: '/a/',
    streaming: false,
    repeatable: true,
    resumable: false,
    timeoutMs: 1000,
    targetLatencyMs: 200,
    targetGapMs: 400,
    priority: 1,
    services: [{ service: 'plain', weight: 1 }],
    maxAttempts: 2,
    stages: [],
    public: true,
    ...overrides,
  }
}

export function createConfiguration(overrides: Partial<Configuration> = {}): Configuration {
  return {
    version: 1,
    routes: [createRoute()],
    services: [{ name: 'plain', maxConnections: 50 }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3000, idleTimeoutMs: 5000 },
    accounts: [],
    ...overrides,
  }
}

/** A crash monitor that knows of no crashes and records none. */
export const NO_CRASHES: CrashMonitor = { noteBroken: async () => {}, noteAnswered: () => {}, crashCount: () => 0, refusal: () => undefined }

/** Records no streams, in services that name no versions. */
export const NO_STREAMS: Pick<StreamContinuations, 'namesVersions' | 'versionAgeMs' | 'recordBegun'> = { namesVersions: () => false, versionAgeMs: () => Number.POSITIVE_INFINITY, recordBegun: () => {} }

/** A call received by a fake stage backend server. */
export interface FakeStageCall {
  backendId: string
  items: readonly StageItem[]
}

/** The outcome of a call: the same for all items, a failure for some items, or no response. */
export type StageBehaviour = (call: FakeStageCall) => StageCallEnd | ((item: StageItem) => ItemFailure | undefined) | 'silent'

/**
 * An in-memory stage service with one slot per backend server. Results last until
 * they are freed or their backend server is killed.
 */
export class FakeStageService implements StageClient {
  readonly calls: FakeStageCall[] = []
  readonly freed: string[] = []
  readonly live = new Map<string, string>()
  behaviour: StageBehaviour = () => StageCallEnd.Done
  /** Duration of a deletion, in milliseconds. */
  freeDelayMs = 0
  /** Free result memory that the backend servers report, in bytes. */
  reportedFreeBytes: number | undefined
  private handleCount = 0

  constructor(private readonly limits: StageLimits) {}

  async run(backend: Backend, items: readonly StageItem[], signal: AbortSignal): Promise<StageCallResult> {
    const call = { backendId: backend.id, items }
    this.calls.push(call)
    const behaviour = this.behaviour(call)
    if (behaviour === 'silent') {
      await new Promise(resolve => signal.addEventListener('abort', resolve))
      return { end: StageCallEnd.Broken, outcomes: [] }
    }
    if (typeof behaviour === 'string' && behaviour !== StageCallEnd.Done)
      return { end: behaviour, outcomes: [] }
    const failureOf = typeof behaviour === 'function' ? behaviour : () => undefined
    const missing = items.map(item => item.inputs?.some(handle => !this.live.has(handle)) ?? false)
    await new Promise(resolve => setTimeout(resolve, this.limits.callMs + this.limits.itemMs * items.length))
    const outcomes = items.map((item, index) => this.createOutcome(backend, missing[index] ? ItemFailure.InputGone : failureOf(item)))
    return { end: StageCallEnd.Done, outcomes }
  }

  async free(_backend: Backend, handles: readonly string[]): Promise<boolean> {
    if (this.freeDelayMs > 0)
      await new Promise(resolve => setTimeout(resolve, this.freeDelayMs))
    for (const handle of handles) {
      this.freed.push(handle)
      this.live.delete(handle)
    }
    return true
  }

  async freeResultMemory(): Promise<number | undefined> {
    return this.reportedFreeBytes
  }

  /** Ends a backend server, which loses its results. */
  kill(backendId: string): void {
    for (const [handle, backend] of this.live) {
      if (backend === backendId)
        this.live.delete(handle)
    }
  }

  private createOutcome(backend: Backend, failure: ItemFailure | undefined): ItemOutcome {
    if (failure)
      return { failure }
    const handle = `${backend.id}/${this.handleCount++}`
    this.live.set(handle, backend.id)
    return { handle }
  }
}

/** A gate for backend servers that accept all requests. */
export const OPEN_INTAKE: IntakeGate = { waitMs: () => 0, recordSent: () => {}, handleResponse: () => {} }

/** Allows any number of requests to cold backend servers. */
export const UNLIMITED_COLD_STARTS: Pick<ColdStartLimiter, 'mayTake' | 'note'> = { mayTake: () => true, note: () => {} }
