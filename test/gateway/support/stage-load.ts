/**
 * Load on a stage coordinator without a network: requests at random times by a
 * seed, three stage services, and what their callers get. Plays under fake
 * timers.
 */
import type { Backend, PreparationFailure, PreparationRequest, PreparationStage, StageCallResult, StageClient, StageItem, StageLimits } from '@eidermast/gateway'
import { BackendRegistry, RouteTable, StageCallEnd, StageCoordinator } from '@eidermast/gateway'
import { vi } from 'vitest'
import { createConfiguration, createLog, createRecord, createStageLimits, NO_COLD_BOUND, NO_CRASHES, OPEN_INTAKE } from './fakes.js'
import { createRandom } from './random.js'

const FAILURE_DOMAINS = ['a', 'b', 'c', 'd', 'e', 'f']
/** Backend servers of each stage service. */
const BACKENDS: BackendCounts = { encode: 24, retrieve: 24, rerank: 24 }
const ENGINES = 60
const LIMITS: Record<string, StageLimits> = {
  encode: createStageLimits({ batch: 8, callMs: 240, itemMs: 26, resultMemoryBytes: 9_600_000 }),
  retrieve: createStageLimits({ batch: 18, callMs: 240, itemMs: 11, resultMemoryBytes: 2_000_000 }),
  rerank: createStageLimits({ batch: 24, callMs: 240, itemMs: 9, resultMemoryBytes: 260_000 }),
}
/** Milliseconds after its stages until a request's engine has read their results. */
const READ_MS = 150
/** Milliseconds until the last of them has ended. */
const REST_MS = 4000

/** Backend servers of each stage service. */
export interface BackendCounts {
  encode: number
  retrieve: number
  rerank: number
}

/** A time in which more requests of a kind come; in milliseconds from the start of the load. */
export interface Burst {
  from: number
  to: number
  factor: number
}

/** A kind of request. */
export interface LoadKind {
  /** Requests a second. */
  rate: number
  /** @default none */
  burst?: Burst
  priority: number
  targetMs: number
  /** Tokens of its own. */
  tokens: number
  stages: PreparationStage[]
}

/** What the callers of one kind got. */
export interface KindOutcome {
  asked: number
  /** Answered within the target. */
  inTime: number
  refused: number
  /** Times of the stages in milliseconds, the shortest first. */
  stageTimes: number[]
}

/** A time in which some backend servers take longer for each call; in milliseconds from the start of the load. */
export interface SlowTime {
  from: number
  to: number
  /** Share of the backend servers. */
  share: number
  /** Milliseconds more for each call. */
  moreMs: number
}

/** What differs between plays. */
export interface StageLoadOptions {
  /** Milliseconds for which requests come. @default 3000 */
  loadMs?: number
  /** Times that a refused caller comes back after the time that it was told. @default 0 */
  returns?: number
  /** @default none */
  slowTime?: SlowTime
  /** @default BACKENDS */
  backends?: BackendCounts
}

/** Three stages in a row, and one beside them whose large results are read at the end. */
export function createChain(besideItems: number): PreparationStage[] {
  return [
    { service: 'encode', dependsOn: [], resultBytes: 800_000, items: besideItems },
    { service: 'encode', dependsOn: [], resultBytes: 8000, items: 1 },
    { service: 'retrieve', dependsOn: [1], resultBytes: 60_000, items: 4 },
    { service: 'rerank', dependsOn: [2], resultBytes: 6000, items: 6 },
  ]
}

/** One stage with large results. */
export function createLargeStage(items: number): PreparationStage[] {
  return [{ service: 'encode', dependsOn: [], resultBytes: 800_000, items }]
}

/** Stage backend servers that take exactly the configured time, but for those that a slow time concerns. */
class ExactStageClient implements StageClient {
  private made = 0
  private readonly startedAt = performance.now()

  constructor(private readonly backends: BackendCounts, private readonly slowTime?: SlowTime) {}

  async run(backend: Backend, items: readonly StageItem[]): Promise<StageCallResult> {
    const { callMs, itemMs } = LIMITS[backend.service]
    await new Promise(resolve => setTimeout(resolve, callMs + itemMs * items.length + this.moreMs(backend)))
    return { end: StageCallEnd.Done, outcomes: items.map(() => ({ handle: `result-${this.made++}` })) }
  }

  async free(): Promise<boolean> {
    return true
  }

  async freeResultMemory(): Promise<undefined> {}

  private moreMs({ id, service }: Backend): number {
    const { from, to, share, moreMs } = this.slowTime ?? { from: 0, to: 0, share: 0, moreMs: 0 }
    const elapsedMs = performance.now() - this.startedAt
    const isConcerned = Number(id.split('-')[1]) < share * this.backends[service as keyof BackendCounts]
    return isConcerned && elapsedMs >= from && elapsedMs < to ? moreMs : 0
  }
}

function createLoadedCoordinator(backends: BackendCounts, slowTime?: SlowTime): StageCoordinator {
  const { log } = createLog()
  const registry = new BackendRegistry(log)
  const coordinator = new StageCoordinator(registry, { client: new ExactStageClient(backends, slowTime), retryBudget: { takeRetry: () => true }, coldPace: NO_COLD_BOUND, intake: OPEN_INTAKE, crashes: NO_CRASHES, log })
  const services = Object.entries(LIMITS).map(([name, stage]) => ({ name, maxConnections: 9, stage }))
  coordinator.applyConfiguration(new RouteTable(createConfiguration({ services })))
  const counts = [...Object.entries(backends).map(([service, count]) => ({ service, count: count as number })), { service: 'model', count: ENGINES }]
  for (const { service, count } of counts) {
    for (let number = 0; number < count; number++)
      registry.upsert(createRecord({ id: `${service}-${number}`, service, failureDomain: FAILURE_DOMAINS[number % FAILURE_DOMAINS.length] }))
  }
  return coordinator
}

/** Plays requests of some kinds by a seed; the outcomes are in the order of the kinds. Needs fake timers. */
export async function playStageLoad(kinds: readonly LoadKind[], seed: number, { loadMs = 3000, returns = 0, slowTime, backends = BACKENDS }: StageLoadOptions = {}): Promise<KindOutcome[]> {
  const coordinator = createLoadedCoordinator(backends, slowTime)
  const random = createRandom(seed)
  const outcomes = kinds.map((): KindOutcome => ({ asked: 0, inTime: 0, refused: 0, stageTimes: [] }))
  const totalRateAt = (at: number): number => kinds.reduce((sum, kind) => sum + rateAt(kind, at), 0)
  const draw = (at: number): number => {
    let left = random() * totalRateAt(at)
    return Math.max(0, kinds.findIndex(kind => (left -= rateAt(kind, at)) < 0))
  }
  let number = 0
  for (let at = 0; at < loadMs; at += -Math.log(1 - random()) * 1000 / totalRateAt(at)) {
    const kind = draw(at)
    const request = describe(kinds[kind], `request-${number++}`, FAILURE_DOMAINS[Math.floor(random() * FAILURE_DOMAINS.length)])
    outcomes[kind].asked++
    setTimeout(() => void ask(coordinator, request, outcomes[kind], returns), at)
  }
  await vi.advanceTimersByTimeAsync(loadMs + REST_MS)
  coordinator.stop()
  outcomes.forEach(({ stageTimes }) => stageTimes.sort((left, right) => left - right))
  return outcomes
}

function describe({ stages, priority, targetMs, tokens }: LoadKind, requestId: string, failureDomain: string): PreparationRequest {
  const prompt = [{ id: requestId, tokens }]
  return { requestId, stages, key: requestId, priority, targetMs, deadlineMs: 8000, isRetry: false, failureDomain, service: 'model', prompt }
}

async function ask(coordinator: StageCoordinator, request: PreparationRequest, outcome: KindOutcome, returns: number): Promise<void> {
  const askedAt = performance.now()
  const result = await coordinator.prepare(request, new AbortController().signal)
  if (result.isErr()) {
    comeBack(coordinator, request, outcome, returns, result.error)
    return
  }
  const tookMs = performance.now() - askedAt
  outcome.stageTimes.push(tookMs)
  if (tookMs + READ_MS <= request.targetMs)
    outcome.inTime++
  setTimeout(() => coordinator.release(request.requestId), READ_MS)
}

/** A refused caller asks again after the time that it was told, if it comes back; its target counts from then. */
function comeBack(coordinator: StageCoordinator, request: PreparationRequest, outcome: KindOutcome, returns: number, { retryAfterMs }: PreparationFailure): void {
  if (returns === 0) {
    outcome.refused++
    return
  }
  setTimeout(() => void ask(coordinator, { ...request, isRetry: true }, outcome, returns - 1), retryAfterMs)
}

/** Requests of a kind in a second, at a moment of the load in milliseconds. */
function rateAt({ rate, burst }: LoadKind, at: number): number {
  return burst && at >= burst.from && at < burst.to ? rate * burst.factor : rate
}
