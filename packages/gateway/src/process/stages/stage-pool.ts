/**
 * The backend servers of one stage service and the tasks that wait for them. Items
 * of all requests are gathered into batches: whole tasks first, near their
 * inputs and readers where waiting for that failure domain costs no target.
 */
import type { EventLog } from '@eidermast/common'
import type { Backend } from '../../connection/backend.js'
import type { StageProgress } from '../../connection/preparation.js'
import type { ItemOutcome, StageCallResult, StageClient, StageItem } from '../../connection/stage-client.js'
import type { ResultHolder, StageResult, StageTask, StageTaskQueue, SubmittedTask } from '../../request/stages/stage-task.js'
import type { StageLimits } from '../../version/configuration.js'
import type { ServicePace } from './stage-admission.js'
import { createBoundedSignal } from '@eidermast/common'
import { ItemFailure, StageCallEnd } from '../../connection/stage-client.js'
import { crossingBytes } from '../../request/stages/stage-task.js'
import { StageBackend } from './stage-backend.js'
import { compareTasks } from './stage-order.js'

/** A call is given up after its expected time times this, and a margin. */
const TIMEOUT_FACTOR = 2.5
const TIMEOUT_MARGIN_MS = 400
/** Longest that a task waits for a backend server of the better failure domain, in milliseconds. */
const MAX_DOMAIN_WAIT_MS = 400
/** Time kept before a target when a task waits for the better failure domain, in milliseconds. */
const TARGET_MARGIN_MS = 150
/** Bytes to another failure domain that weigh as much as one millisecond of waiting. */
const CROSSING_BYTES_PER_MS = 4000
/** More than this part of a batch waiting fills calls whatever the failure domain. */
const PRESSED_SHARE = 0.5
const MAX_ITEM_FAILURES = 3
const BITS_PER_BYTE = 8
/** Both links and a busy backend server: factor and margin over the plain time of a fetch. */
const FETCH_FACTOR = 3
const FETCH_MARGIN_MS = 80
/** Part of the speed of full batches that is reached under load. */
const BATCH_EFFICIENCY = 0.8
/** How long the calls of the coordinator before are reckoned with, in milliseconds. */
const OTHER_COORDINATOR_MS = 1500
const RESULT_SIZE_WEIGHT = 0.05
const FREE_DELAY_MS = 5

interface ItemWork {
  task: TaskState
  index: number
  attempts: number
}

interface TaskState {
  task: StageTask
  waiting: ItemWork[]
  results: (StageResult | undefined)[]
  fetched: number
  ended: boolean
}

/** Says whether items may be sent once more, and counts them. */
export interface RepeatAllowance {
  takeRepeats: (service: string, count: number) => boolean
}

/** Gathers and runs the items of one service. */
export class StagePool implements StageTaskQueue {
  private readonly backends = new Map<string, StageBackend>()
  private queue: TaskState[] = []
  private typicalResultBytes = 0
  private otherCoordinatorUntil = 0
  private readonly toFree = new Map<ResultHolder, string[]>()

  constructor(
    readonly service: string,
    private limits: StageLimits,
    private readonly client: StageClient,
    private readonly repeats: RepeatAllowance,
    private readonly log: EventLog,
  ) {}

  setLimits(limits: StageLimits): void {
    this.limits = limits
    for (const backend of this.backends.values())
      backend.limits = limits
  }

  /** Holds exactly the backend servers that take new work; results of others stay readable. */
  setBackends(backends: readonly Backend[]): void {
    const listed = new Set(backends.map(backend => backend.id))
    for (const id of [...this.backends.keys()]) {
      if (!listed.has(id))
        this.backends.delete(id)
    }
    for (const backend of backends) {
      if (!this.backends.has(backend.id))
        this.addBackend(backend)
    }
    this.dispatch()
  }

  /** Expected time of one call, in milliseconds. */
  typicalCallMs(): number {
    return this.limits.callMs + this.limits.itemMs * this.limits.batch * 0.6
  }

  /** Items a call under load: results of one call are still held while the next one is made. */
  private sustainedBatch(): number {
    if (this.typicalResultBytes === 0)
      return this.limits.batch
    const held = this.limits.resultMemoryBytes / this.typicalResultBytes / 2
    return Math.max(1, Math.min(this.limits.batch, held))
  }

  get waitingItems(): number {
    return this.queue.reduce((sum, state) => sum + state.waiting.length, 0)
  }

  /** For a while nothing is taken for fetched before its call ends: calls of others may go before. */
  expectOtherCoordinator(): void {
    this.otherCoordinatorUntil = performance.now() + OTHER_COORDINATOR_MS
  }

  /** Speed of the service with the backend servers that can be used. */
  pace(): ServicePace {
    const backends = [...this.backends.values()]
    const speed = backends.reduce((sum, backend) => sum + 1 / backend.slownessFactor, 0)
    return { backends: speed, itemMs: (this.limits.callMs / this.sustainedBatch() + this.limits.itemMs) / BATCH_EFFICIENCY, callMs: this.typicalCallMs() }
  }

  /** Takes a task and begins it as soon as a backend server suits. */
  submit(task: StageTask): SubmittedTask {
    const state: TaskState = { task, waiting: [], results: Array.from({ length: task.items }), fetched: 0, ended: false }
    for (let index = 0; index < task.items; index++)
      state.waiting.push({ task: state, index, attempts: 0 })
    this.queue.push(state)
    this.typicalResultBytes += (task.resultBytes - this.typicalResultBytes) * RESULT_SIZE_WEIGHT
    this.dispatch()
    return { cancel: () => this.cancel(state), isUnderWay: () => state.waiting.length === 0 && !state.ended }
  }

  /** Takes results of an earlier coordinator over; undefined where one of them cannot be used. */
  adopt(progress: StageProgress): StageResult[] | undefined {
    const now = performance.now()
    const backends = progress.results.map(result => this.backends.get(result.backend))
    if (backends.includes(undefined))
      return undefined
    return progress.results.map(({ handle, bytes, remainingMs }, index) => {
      const backend = backends[index]!
      backend.adopt(handle, bytes, remainingMs, now)
      return { handle, holder: backend, bytes }
    })
  }

  /** Asks every backend server for the room that it has left. */
  readFreeMemory(): void {
    for (const backend of this.backends.values())
      this.readFreeMemoryOf(backend)
  }

  /** Gives a result up. */
  free(result: StageResult): void {
    const { handle, holder } = result
    if (!holder.markFreeing(handle))
      return
    const handles = this.toFree.get(holder)
    if (handles) {
      handles.push(handle)
      return
    }
    this.toFree.set(holder, [handle])
    setTimeout(() => this.flushFrees(holder), FREE_DELAY_MS)
  }

  /** Lets waiting tasks end that can no longer be in time, and begins what can be begun. */
  dispatch(): void {
    const now = performance.now()
    this.endLateTasks(now)
    this.endTasksWithoutInputs(now)
    for (const backend of this.backends.values())
      backend.expire(now)
    if (this.queue.length === 0)
      return
    this.queue.sort((left, right) => compareTasks(left.task, right.task))
    const idle = [...this.backends.values()].filter(backend => backend.isIdle(now))
    idle.sort((left, right) => left.callTime(1) - right.callTime(1) || right.freeBytes() - left.freeBytes())
    for (const backend of idle) {
      const batch = this.collect(backend, now)
      if (batch.length > 0)
        void this.run(backend, batch, now)
    }
  }

  private addBackend(backend: Backend): void {
    const stageBackend = new StageBackend(backend, this.limits)
    this.backends.set(backend.id, stageBackend)
    this.readFreeMemoryOf(stageBackend)
  }

  private readFreeMemoryOf(backend: StageBackend): void {
    void this.client.freeResultMemory(backend.backend).then((bytes) => {
      if (bytes !== undefined)
        backend.readFreeMemoryOf(bytes, performance.now())
    })
  }

  private endLateTasks(now: number): void {
    const late = this.queue.filter(state => state.waiting.length > 0 && now + this.limits.callMs > state.task.deadlineAt)
    for (const state of late)
      this.fail(state, ItemFailure.Late)
  }

  /** A call for items whose inputs have ended would cost its time and bring nothing. */
  private endTasksWithoutInputs(now: number): void {
    const lacking = this.queue.filter(state => state.waiting.length > 0 && state.task.inputs.some(input => !input.holder.isReadable(input.handle, now)))
    for (const state of lacking)
      this.fail(state, ItemFailure.InputGone)
  }

  /**
   * Picks the items of the next call of an idle backend server: first the tasks that
   * do best here; where much waits, others after them, since a full batch
   * costs less than the bytes between failure domains.
   */
  private collect(backend: StageBackend, now: number): ItemWork[] {
    const batch: ItemWork[] = []
    this.fill(batch, backend, task => this.suits(task, backend, now))
    if (this.waitingItems > this.limits.batch * PRESSED_SHARE)
      this.fill(batch, backend, () => true)
    this.queue = this.queue.filter(state => state.waiting.length > 0)
    return batch
  }

  /** Adds whole tasks to a batch while there are places and room; a task is split only where it begins a call. */
  private fill(batch: ItemWork[], backend: StageBackend, accepts: (task: StageTask) => boolean): void {
    for (const state of this.queue) {
      const places = this.limits.batch - batch.length
      if (places <= 0)
        return
      const room = backend.freeBytes() - batchBytes(batch)
      const fitting = Math.min(places, Math.floor(room / state.task.resultBytes), state.waiting.length)
      const whole = fitting === state.waiting.length
      if (fitting <= 0 || !(whole || batch.length === 0) || !accepts(state.task))
        continue
      batch.push(...state.waiting.splice(0, fitting))
    }
  }

  /** Whether a task should run here now rather than wait for a backend server in a better failure domain. */
  private suits(task: StageTask, backend: StageBackend, now: number): boolean {
    const costHere = crossingBytes(task, backend.failureDomain) / CROSSING_BYTES_PER_MS
    if (costHere < 1)
      return true
    const callMs = backend.callTime(task.items)
    const latest = Math.min(MAX_DOMAIN_WAIT_MS, costHere, task.targetAt - now - callMs - task.remainingMs - TARGET_MARGIN_MS)
    for (const other of this.backends.values()) {
      if (other === backend || !other.isUsable(now) || crossingBytes(task, other.failureDomain) / CROSSING_BYTES_PER_MS >= costHere)
        continue
      if (other.startsIn(now) + other.callTime(task.items) - callMs < latest)
        return false
    }
    return true
  }

  private async run(backend: StageBackend, batch: ItemWork[], startedAt: number): Promise<void> {
    backend.begin(batch.length, batchBytes(batch), startedAt)
    const timeoutMs = backend.callTime(batch.length) * TIMEOUT_FACTOR + TIMEOUT_MARGIN_MS
    const fetchMs = startedAt < this.otherCoordinatorUntil ? undefined : this.fetchTime(batch)
    const fetchTimer = fetchMs === undefined ? undefined : setTimeout(() => this.reportFetched(batch), fetchMs)
    const timeout = createBoundedSignal(timeoutMs)
    const result = await this.client.run(backend.backend, batch.map(work => describeItem(work, startedAt)), timeout.signal)
    timeout.dispose()
    clearTimeout(fetchTimer)
    const tookMs = performance.now() - startedAt
    this.log.write('stage-call', { service: this.service, backend: backend.backend.id, failureDomain: backend.failureDomain, items: batch.length, tookMs: Math.round(tookMs), expectedMs: Math.round(backend.callTime(batch.length)), end: result.end, failures: describeFailures(result), resultMemoryBytes: backend.freeBytes(), requests: [...new Set(batch.map(work => work.task.task.requestId))].join(',') })
    if (result.end === StageCallEnd.Done)
      this.take(backend, batch, result, tookMs)
    else
      this.takeFailure(backend, batch, result.end)
    this.dispatch()
  }

  /** Time after which the backend server has fetched a batch's inputs, in milliseconds. */
  private fetchTime(batch: readonly ItemWork[]): number | undefined {
    const bytes = batch.reduce((sum, work) => sum + work.task.task.inputs.reduce((total, input) => total + input.bytes, 0), 0)
    if (bytes === 0 || this.limits.bandwidthMbps <= 0)
      return undefined
    return bytes * BITS_PER_BYTE / (this.limits.bandwidthMbps * 1000) * FETCH_FACTOR + FETCH_MARGIN_MS
  }

  private reportFetched(batch: readonly ItemWork[]): void {
    for (const work of batch) {
      const state = work.task
      state.fetched++
      if (state.fetched === state.task.items && !state.ended)
        state.task.listener.inputsFetched()
    }
  }

  private take(backend: StageBackend, batch: readonly ItemWork[], result: StageCallResult, tookMs: number): void {
    const now = performance.now()
    backend.succeed(batch.length, tookMs, result.outcomes.every(outcome => 'handle' in outcome))
    this.releaseUnused(backend, batch, result)
    if (result.outcomes.some(outcome => 'failure' in outcome && outcome.failure === ItemFailure.NoMemory))
      backend.pauseForMemory(now)
    batch.forEach((work, position) => this.takeOutcome(backend, work, result.outcomes[position], now))
  }

  /** What was not made takes no room. */
  private releaseUnused(backend: StageBackend, batch: readonly ItemWork[], result: StageCallResult): void {
    batch.forEach((work, position) => {
      if ('failure' in result.outcomes[position])
        backend.releaseBytes(work.task.task.resultBytes)
    })
  }

  private takeOutcome(backend: StageBackend, work: ItemWork, outcome: ItemOutcome, now: number): void {
    const { task } = work.task
    if ('failure' in outcome) {
      this.takeItemFailure(work, outcome.failure)
      return
    }
    backend.hold(outcome.handle, task.resultBytes, now)
    const stageResult = { handle: outcome.handle, holder: backend, bytes: task.resultBytes }
    if (work.task.ended) {
      this.free(stageResult)
      return
    }
    work.task.results[work.index] = stageResult
    if (work.task.results.every(entry => entry !== undefined))
      this.complete(work.task)
  }

  private takeItemFailure(work: ItemWork, failure: ItemFailure): void {
    if (work.task.ended)
      return
    if (failure === ItemFailure.Late || failure === ItemFailure.InputGone)
      this.fail(work.task, failure)
    else
      this.retry([work])
  }

  private takeFailure(backend: StageBackend, batch: readonly ItemWork[], end: StageCallEnd): void {
    const pauseMs = backend.fail(performance.now())
    const bytes = batchBytes(batch)
    if (end === StageCallEnd.Broken)
      backend.holdLostCall(bytes, performance.now())
    else
      backend.releaseBytes(bytes)
    this.log.write('stage-backend-paused', { service: this.service, backend: backend.backend.id, reason: end, milliseconds: pauseMs })
    setTimeout(() => this.dispatch(), pauseMs)
    if (end === StageCallEnd.NotSent)
      this.putBack(batch)
    else
      this.retry(batch)
  }

  /** Sends items once more, within the budget. */
  private retry(batch: readonly ItemWork[]): void {
    const live = batch.filter(work => !work.task.ended)
    for (const work of live) {
      work.attempts++
      if (work.attempts >= MAX_ITEM_FAILURES || !this.repeats.takeRepeats(this.service, 1))
        this.fail(work.task, ItemFailure.Error)
    }
    this.putBack(live)
  }

  private putBack(batch: readonly ItemWork[]): void {
    for (const work of batch) {
      const state = work.task
      if (state.ended)
        continue
      state.waiting.push(work)
      state.fetched = Number.NEGATIVE_INFINITY
      if (!this.queue.includes(state))
        this.queue.push(state)
    }
  }

  private cancel(state: TaskState): void {
    if (state.ended)
      return
    this.end(state)
  }

  private complete(state: TaskState): void {
    state.ended = true
    state.task.listener.completed(state.results as StageResult[])
  }

  private fail(state: TaskState, failure: ItemFailure): void {
    this.end(state)
    state.task.listener.failed(failure)
  }

  private end(state: TaskState): void {
    state.ended = true
    this.queue = this.queue.filter(other => other !== state)
    for (const result of state.results) {
      if (result)
        this.free(result)
    }
  }

  private flushFrees(holder: ResultHolder): void {
    const handles = this.toFree.get(holder) ?? []
    this.toFree.delete(holder)
    void this.client.free(holder.backend, handles).then((freed) => {
      if (!freed)
        return
      handles.forEach(handle => holder.drop(handle))
      this.dispatch()
    })
  }
}

/** Room that the results of a batch take, in bytes. */
function batchBytes(batch: readonly ItemWork[]): number {
  return batch.reduce((sum, work) => sum + work.task.task.resultBytes, 0)
}

function describeItem(work: ItemWork, now: number): StageItem {
  const { task } = work.task
  return {
    requestId: task.requestId,
    stage: task.stage,
    index: work.index,
    remainingMs: Math.max(1, Math.round(task.deadlineAt - now)),
    key: task.key,
    inputs: task.inputs.length > 0 ? task.inputs.map(input => input.handle) : undefined,
  }
}

/** Failures of a call's items by kind, such as `no-room:2`; undefined where there were none. */
function describeFailures(result: StageCallResult): string | undefined {
  const counts = new Map<ItemFailure, number>()
  for (const outcome of result.outcomes) {
    if ('failure' in outcome)
      counts.set(outcome.failure, (counts.get(outcome.failure) ?? 0) + 1)
  }
  return counts.size === 0 ? undefined : [...counts].map(([kind, count]) => `${kind}:${count}`).join(',')
}
