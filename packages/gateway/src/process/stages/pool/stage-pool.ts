/**
 * The backend servers of one stage service and the tasks that wait for them.
 * Whenever a task arrives or a call ends, each idle backend server gets a batch
 * of items, which may belong to several requests. Owns both for the lifetime of the
 * process; relies on the registry for the backend servers. Nothing is persisted:
 * if the process exits, the requesting gateways ask the next coordinator.
 */
import type { Backend } from '../../../connection/backends/backend.js'
import type { StageProgress } from '../../../connection/peers/preparation.js'
import type { StageResult, StageTask, StageTaskQueue, SubmittedTask } from '../../../request/stages/stage-task.js'
import type { StageLimits } from '../../../version/configuration.js'
import type { ServiceThroughput } from '../stage-admission.js'
import type { StagePoolDependencies } from './pool-dependencies.js'
import type { PoolItem } from './pool-task.js'
import type { CallCapacity } from './stage-batch.js'
import { ItemFailure } from '../../../connection/backends/stage-client.js'
import { ResultDeleter } from '../backend/result-deleter.js'
import { StageBackend } from '../backend/stage-backend.js'
import { CallForecasts } from './call-forecasts.js'
import { decideCallItems } from './call-size.js'
import { isIsolated, isQuarantined } from './crash-isolation.js'
import { findBetterDomain } from './domain-wait.js'
import { estimateThroughput, typicalCallMs, updateTypicalResultBytes } from './service-throughput.js'
import { selectBatch } from './stage-batch.js'
import { StageCalls } from './stage-calls.js'
import { TaskQueue } from './task-queue.js'
import { cannotMeetDeadline, findHopelessTasks, hasUnreadableInput } from './waiting-task-failure.js'

/** Batches and runs the items of one service. */
export class StagePool implements StageTaskQueue {
  private readonly backends = new Map<string, StageBackend>()
  private readonly queue: TaskQueue
  private readonly resultDeleter: ResultDeleter
  private readonly calls: StageCalls
  private typicalResultBytes = 0

  constructor(
    service: string,
    private limits: StageLimits,
    private readonly dependencies: StagePoolDependencies,
  ) {
    const { client } = dependencies
    const dispatch = (): void => this.dispatch()
    this.resultDeleter = new ResultDeleter(client, dependencies.intake, dispatch)
    this.queue = new TaskQueue(result => this.free(result))
    this.calls = new StageCalls(service, dependencies, this.queue, this.resultDeleter, dispatch)
  }

  setLimits(limits: StageLimits): void {
    this.limits = limits
    for (const backend of this.backends.values())
      backend.setLimits(limits)
  }

  /** Replaces the backend servers that take new work; results of removed ones stay readable. */
  setBackends(backends: readonly Backend[]): void {
    const listed = new Set(backends.map(backend => backend.id))
    for (const id of [...this.backends.keys()]) {
      if (!listed.has(id))
        this.backends.delete(id)
    }
    for (const backend of backends) {
      if (this.backends.has(backend.id))
        continue
      const added = new StageBackend(backend, this.limits, this.dependencies.intake, this.dependencies.slowdowns)
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

  /** Throughput of the service with its current backend servers. */
  throughput(): ServiceThroughput {
    const now = performance.now()
    return this.throughputOf(backend => backend.slowdownFactor(now))
  }

  submit(task: StageTask): SubmittedTask {
    const submitted = this.queue.add(task)
    this.typicalResultBytes = updateTypicalResultBytes(this.typicalResultBytes, task.resultBytes)
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
    this.resultDeleter.free(result)
  }

  /** Queries the free result memory of every backend server. */
  readFreeMemory(): void {
    for (const backend of this.backends.values())
      this.readFreeMemoryOf(backend)
  }

  /** Another coordinator may use the same backend servers for a while. */
  expectOtherCoordinator(): void {
    this.calls.expectOtherCoordinator()
  }

  /** Fails waiting tasks that can no longer succeed, and starts calls on idle backend servers. */
  dispatch(): void {
    const now = performance.now()
    this.failTasks(ItemFailure.Late, task => cannotMeetDeadline(task, this.limits.callMs, now))
    this.failTasks(ItemFailure.InputGone, task => hasUnreadableInput(task, now))
    this.failTasks(ItemFailure.Quarantined, task => isQuarantined(task, this.dependencies.crashes))
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

  /** Fails waiting tasks that the work ahead of them leaves no time for. */
  failHopelessTasks(): void {
    const now = performance.now()
    this.queue.sort(this.typicalCallMs(), now)
    for (const task of findHopelessTasks(this.queue.tasks, this.throughputOf(backend => backend.lastingSlowdownFactor()), now))
      this.queue.fail(task, ItemFailure.Late)
  }

  private throughputOf(slowdownFactor: (backend: StageBackend) => number): ServiceThroughput {
    return estimateThroughput(this.limits, [...this.backends.values()].map(slowdownFactor), this.typicalResultBytes)
  }

  private readFreeMemoryOf({ backend, memory }: StageBackend): void {
    void this.dependencies.client.freeResultMemory(backend).then((bytes) => {
      if (bytes !== undefined)
        memory.recordReportedFree(bytes, performance.now())
    })
  }

  private failTasks(failure: ItemFailure, shouldFail: (task: StageTask) => boolean): void {
    for (const task of this.queue.tasks.filter(({ stageTask }) => shouldFail(stageTask)))
      this.queue.fail(task, failure)
  }

  /** Idle backend servers, the fastest first; among equally fast ones, those with the most free memory. */
  private idleBackends(now: number): StageBackend[] {
    const idle = [...this.backends.values()].filter(backend => backend.isIdle(now))
    return idle.sort((left, right) => left.expectedCallMs(1) - right.expectedCallMs(1) || right.memory.freeBytes() - left.memory.freeBytes())
  }

  private takeBatch(backend: StageBackend, now: number): PoolItem[] {
    const forecasts = new CallForecasts(this.backends.values(), now)
    const batch = selectBatch({
      tasks: this.queue.tasks,
      isIsolated: task => isIsolated(task, this.dependencies.crashes),
      maxItems: this.limits.batch,
      targetItems: decideCallItems(this.queue.waitingItems, forecasts, this.limits.callMs),
      freeBytes: backend.memory.freeBytes(),
      betterDomain: task => findBetterDomain(task, backend, forecasts, now),
      nextCalls: domain => this.nextCalls(forecasts.inDomain(domain)),
    })
    return this.queue.take(batch)
  }

  /** Capacity of the next calls of some backend servers. */
  private nextCalls(backends: readonly StageBackend[]): CallCapacity {
    return {
      slots: backends.length * this.limits.batch,
      freeBytes: backends.reduce((sum, backend) => sum + backend.memory.freeBytes(), 0),
    }
  }
}
