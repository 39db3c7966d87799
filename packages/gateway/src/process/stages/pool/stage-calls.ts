/**
 * Runs the calls of one stage service and applies their outcomes: results go to
 * their tasks, failed items back to the queue or to the failure of their task.
 * Owns the calls in progress; relies on the client to answer or abort each. When
 * the process exits, results of its calls expire at their backend servers.
 */
import type { ItemOutcome, StageCallResult } from '../../../connection/backends/stage-client.js'
import type { StageLimits } from '../../../version/configuration.js'
import type { ResultDeleter } from '../backend/result-deleter.js'
import type { StageBackend } from '../backend/stage-backend.js'
import type { ItemFailureCause } from './item-retry.js'
import type { StagePoolDependencies } from './pool-dependencies.js'
import type { PoolItem } from './pool-task.js'
import type { TaskQueue } from './task-queue.js'
import { createTimeoutSignal, wait } from '@eidermast/common'
import { ItemFailure, StageCallEnd } from '../../../connection/backends/stage-client.js'
import { logBackendPaused, logStageCall } from '../stage-log.js'
import { callTimeoutMs } from './call-timeout.js'
import { COORDINATOR_OVERLAP_MS, inputsFetchedAfterMs } from './input-fetch-time.js'
import { countsAsFailure, decideItemRetry } from './item-retry.js'
import { describeItem, inputBytesOf, resultBytesOf } from './pool-task.js'

/**
 * Longest time that the items of a broken call wait for the check whether their
 * backend server crashed. If they were sent again before its result, an item that
 * crashes backend servers could reach the next one first. The check takes 20 ms if
 * the VM is reachable; the limit bounds the delay if the VM has failed.
 */
const MAX_CRASH_CHECK_MS = 100

/** Runs calls of one service. */
export class StageCalls {
  private otherCoordinatorUntil = 0

  /** `dispatch` is called after a call or a pause has ended, to start waiting work. */
  constructor(
    private readonly service: string,
    private readonly dependencies: StagePoolDependencies,
    private readonly queue: TaskQueue,
    private readonly resultDeleter: ResultDeleter,
    private readonly dispatch: () => void,
  ) {}

  /** Until COORDINATOR_OVERLAP_MS from now, inputs count as fetched only when their call ends: another coordinator may be active. */
  expectOtherCoordinator(): void {
    this.otherCoordinatorUntil = performance.now() + COORDINATOR_OVERLAP_MS
  }

  /** Runs items on a backend server; resolves when their outcomes are applied. */
  async run(backend: StageBackend, items: readonly PoolItem[], limits: StageLimits, startedAt: number): Promise<void> {
    backend.startCall(items.length, resultBytesOf(items), startedAt)
    const timeoutMs = callTimeoutMs(backend.expectedCallMs(items.length))
    const fetchTimer = this.startFetchTimer(items, limits, startedAt)
    const timeout = createTimeoutSignal(timeoutMs)
    const result = await this.dependencies.client.run(backend.backend, items.map(item => describeItem(item, startedAt)), timeout.signal)
    timeout.dispose()
    clearTimeout(fetchTimer)
    const tookMs = performance.now() - startedAt
    logStageCall(this.dependencies.log, this.service, backend, items, result, tookMs)
    if (result.end === StageCallEnd.Done)
      this.applyOutcomes(backend, items, result, tookMs)
    else
      await this.handleCallFailure(backend, items, result.end)
    this.dispatch()
  }

  private startFetchTimer(items: readonly PoolItem[], limits: StageLimits, startedAt: number): NodeJS.Timeout | undefined {
    const fetchedAfterMs = inputsFetchedAfterMs({
      inputBytes: inputBytesOf(items),
      bandwidthMbps: limits.bandwidthMbps,
      mayQueueBehindOther: startedAt < this.otherCoordinatorUntil,
    })
    return fetchedAfterMs === undefined ? undefined : setTimeout(() => reportFetched(items), fetchedAfterMs)
  }

  private applyOutcomes(backend: StageBackend, items: readonly PoolItem[], { outcomes }: StageCallResult, tookMs: number): void {
    const now = performance.now()
    backend.succeed(items.length, tookMs, outcomes.every(outcome => 'handle' in outcome), now)
    items.forEach((item, position) => {
      if ('failure' in outcomes[position])
        backend.memory.release(item.task.stageTask.resultBytes)
    })
    if (outcomes.some(outcome => 'failure' in outcome && outcome.failure === ItemFailure.NoMemory))
      backend.pauseForMemory(now)
    items.forEach((item, position) => this.applyOutcome(backend, item, outcomes[position], now))
  }

  private applyOutcome(backend: StageBackend, item: PoolItem, outcome: ItemOutcome, now: number): void {
    if ('failure' in outcome)
      return this.retry([item], outcome.failure)
    const { resultBytes } = item.task.stageTask
    backend.memory.hold(outcome.handle, resultBytes, now)
    const result = { handle: outcome.handle, holder: backend.memory, bytes: resultBytes }
    if (item.task.ended)
      this.resultDeleter.free(result)
    else
      this.queue.addResult(item, result)
  }

  private async handleCallFailure(backend: StageBackend, items: readonly PoolItem[], end: Exclude<StageCallEnd, StageCallEnd.Done>): Promise<void> {
    const pauseMs = backend.fail(performance.now())
    const bytes = resultBytesOf(items)
    if (end === StageCallEnd.Broken) {
      backend.memory.holdBrokenCall(bytes, performance.now())
      await this.noteBroken(backend, items)
    }
    else {
      backend.memory.release(bytes)
    }
    logBackendPaused(this.dependencies.log, this.service, backend, end, pauseMs)
    setTimeout(this.dispatch, pauseMs)
    this.retry(items, end)
  }

  /** Resolves when it is known whether the backend server crashed, or after MAX_CRASH_CHECK_MS. */
  private async noteBroken({ backend }: StageBackend, items: readonly PoolItem[]): Promise<void> {
    const fingerprints = [...new Set(items.flatMap(item => item.task.stageTask.fingerprint ?? []))]
    await Promise.race([this.dependencies.crashes.noteBroken(backend, fingerprints), wait(MAX_CRASH_CHECK_MS)])
  }

  /** Queues items for another call, or fails their tasks. */
  private retry(items: readonly PoolItem[], cause: ItemFailureCause): void {
    const unfinished = items.filter(item => !item.task.ended)
    for (const item of unfinished) {
      if (countsAsFailure(cause))
        item.failures++
      const decision = decideItemRetry(cause, item.failures, () => this.dependencies.retryBudget.takeRetry(this.service))
      if (!decision.isRetried)
        this.queue.fail(item.task, decision.failure)
    }
    this.queue.requeue(unfinished)
  }
}

/** Notifies the tasks whose inputs are all fetched. */
function reportFetched(items: readonly PoolItem[]): void {
  for (const { task } of items) {
    task.fetchedItems++
    if (task.fetchedItems === task.stageTask.items && !task.ended)
      task.stageTask.listener.inputsFetched()
  }
}
