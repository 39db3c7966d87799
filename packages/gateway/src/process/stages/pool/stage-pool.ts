/**
 * The backend servers of one stage service and the tasks that wait for them.
 * Whenever a task arrives or a call ends, each idle backend server gets a batch
 * of items of all requests. Owns both while the process lives; relies on the
 * registry for the backend servers. Nothing is kept when the process dies: the
 * requesting gateways ask the next coordinator.
 */
import type { Backend } from '../../../connection/backends/backend.js'
import type { StageProgress } from '../../../connection/peers/preparation.js'
import type { StageResult, StageTask, StageTaskQueue, SubmittedTask } from '../../../request/stages/stage-task.js'
import type { StageLimits } from '../../../version/configuration.js'
import type { ServicePace } from '../stage-admission.js'
import type { StagePoolParts } from './pool-parts.js'
import type { PoolItem } from './pool-task.js'
import type { CallCapacity } from './stage-batch.js'
import { ItemFailure } from '../../../connection/backends/stage-client.js'
import { ResultFrees } from '../backend/result-frees.js'
import { StageBackend } from '../backend/stage-backend.js'
import { CallForecasts } from './call-forecasts.js'
import { decideCallItems } from './call-size.js'
import { isRefused, travelsAlone } from './crash-isolation.js'
import { findBetterDomain } from './domain-wait.js'
import { estimatePace, typicalCallMs, updateTypicalBytes } from './service-pace.js'
import { chooseBatch } from './stage-batch.js'
import { StageCalls } from './stage-calls.js'
import { TaskQueue } from './task-queue.js'
import { isTooLate, lacksInput } from './waiting-end.js'

/** Batches and runs the items of one service. */
export class StagePool implements StageTaskQueue {
  private readonly backends = new Map<string, StageBackend>()
  private readonly queue: TaskQueue
  private readonly frees: ResultFrees
  private readonly calls: StageCalls
  private typicalResultBytes = 0

  constructor(
    service: string,
    private limits: StageLimits,
    private readonly parts: StagePoolParts,
  ) {
    const { client } = parts
    const dispatch = (): void => this.dispatch()
    this.frees = new ResultFrees(client, parts.intake, dispatch)
    this.queue = new TaskQueue(result => this.free(result))
    this.calls = new StageCalls(service, parts, this.queue, this.frees, dispatch)
  }

  setLimits(limits: StageLimits): void {
    this.limits = limits
    for (const backend of this.backends.values())
      backend.setLimits(limits)
  }

  /** Holds exactly the backend servers that take new work; results of others stay readable. */
  setBackends(backends: readonly Backend[]): void {
    const listed = new Set(backends.map(backend => backend.id))
    for (const id of [...this.backends.keys()]) {
      if (!listed.has(id))
        this.backends.delete(id)
    }
    for (const backend of backends) {
      if (this.backends.has(backend.id))
        continue
      const added = new StageBackend(backend, this.limits, this.parts.intake)
      this.backends.set(backend.id, added)
      this.readFreeMemoryOf(added)
    }
    this.dispatch()
  }

  get hasWaitingTasks(): boolean {
    return this.queue.tasks.length > 0
  }

  typicalCallMs(): number {
    return typicalCallMs(this.limits)
  }

  /** Pace of the service with the backend servers that take work. */
  pace(): ServicePace {
    const now = performance.now()
    const slownessFactors = [...this.backends.values()].map(backend => backend.slownessFactor(now))
    return estimatePace(this.limits, slownessFactors, this.typicalResultBytes)
  }

  submit(task: StageTask): SubmittedTask {
    const submitted = this.queue.add(task)
    this.typicalResultBytes = updateTypicalBytes(this.typicalResultBytes, task.resultBytes)
    this.dispatch()
    return {
      cancel: () => this.queue.cancel(submitted),
      isInFlight: () => submitted.waiting.length === 0 && !submitted.ended,
    }
  }

  adopt(progress: StageProgress): StageResult[] | undefined {
    const now = performance.now()
    const backends = progress.results.map(result => this.backends.get(result.backend))
    if (backends.includes(undefined))
      return undefined
    return progress.results.map(({ handle, bytes, remainingMs }, index) => {
      const holder = backends[index]!.memory
      holder.adopt(handle, bytes, remainingMs, now)
      return { handle, holder, bytes }
    })
  }

  free(result: StageResult): void {
    this.frees.free(result)
  }

  /** Asks every backend server how much result memory is free. */
  readFreeMemory(): void {
    for (const backend of this.backends.values())
      this.readFreeMemoryOf(backend)
  }

  /** Another coordinator may be at work at the same backend servers for a while. */
  expectOtherCoordinator(): void {
    this.calls.expectOtherCoordinator()
  }

  /** Fails waiting tasks that cannot be served any more, and starts what can be started. */
  dispatch(): void {
    const now = performance.now()
    this.failTasks(ItemFailure.Late, task => isTooLate(task, this.limits.callMs, now))
    this.failTasks(ItemFailure.InputGone, task => lacksInput(task, now))
    this.failTasks(ItemFailure.Quarantined, task => isRefused(task, this.parts.crashes))
    for (const backend of this.backends.values())
      backend.memory.expire(now)
    const idle = this.hasWaitingTasks ? this.idleBackends(now) : []
    if (idle.length === 0)
      return
    this.queue.sort(this.typicalCallMs(), now)
    for (const backend of idle) {
      if (!this.hasWaitingTasks)
        return
      const items = this.takeBatch(backend, now)
      if (items.length > 0)
        void this.calls.run(backend, items, this.limits, now)
    }
  }

  private readFreeMemoryOf({ backend, memory }: StageBackend): void {
    void this.parts.client.freeResultMemory(backend).then((bytes) => {
      if (bytes !== undefined)
        memory.recordReportedFree(bytes, performance.now())
    })
  }

  private failTasks(failure: ItemFailure, isHopeless: (task: StageTask) => boolean): void {
    for (const task of this.queue.tasks.filter(({ stageTask }) => isHopeless(stageTask)))
      this.queue.fail(task, failure)
  }

  /** The fastest come first, of equal ones those with the most free memory. */
  private idleBackends(now: number): StageBackend[] {
    const idle = [...this.backends.values()].filter(backend => backend.isIdle(now))
    return idle.sort((left, right) => left.callTime(1) - right.callTime(1) || right.memory.freeBytes() - left.memory.freeBytes())
  }

  private takeBatch(backend: StageBackend, now: number): PoolItem[] {
    const forecasts = new CallForecasts(this.backends.values(), now)
    const parts = chooseBatch({
      tasks: this.queue.tasks,
      travelsAlone: task => travelsAlone(task, this.parts.crashes),
      maxItems: this.limits.batch,
      enoughItems: decideCallItems(this.queue.waitingItems, forecasts, this.limits.callMs),
      freeBytes: backend.memory.freeBytes(),
      betterDomain: task => findBetterDomain(task, backend, forecasts, now),
      nextCalls: domain => this.nextCalls(forecasts.inDomain(domain)),
    })
    return this.queue.take(parts)
  }

  /** What the next calls of some backend servers can take. */
  private nextCalls(backends: readonly StageBackend[]): CallCapacity {
    return {
      places: backends.length * this.limits.batch,
      freeBytes: backends.reduce((sum, backend) => sum + backend.memory.freeBytes(), 0),
    }
  }
}
