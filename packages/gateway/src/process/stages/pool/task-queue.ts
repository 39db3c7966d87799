/**
 * The tasks of one stage service that have waiting items, in the order of
 * `stage-order.ts`, and the only place where a task ends. Owns them until they
 * end; tasks whose items are all in calls are referenced by those calls only.
 * Lost with the process.
 */
import type { ItemFailure } from '../../../connection/backends/stage-client.js'
import type { StageResult, StageTask } from '../../../request/stages/stage-task.js'
import type { PoolItem, PoolTask } from './pool-task.js'
import type { BatchEntry } from './stage-batch.js'
import { effectiveRank } from '../stage-order.js'
import { createPoolTask } from './pool-task.js'

/** Waiting tasks of one service. */
export class TaskQueue {
  private queued: PoolTask[] = []

  /** `free` receives the results of tasks that end without success. */
  constructor(private readonly free: (result: StageResult) => void) {}

  /** Tasks with at least one waiting item. */
  get tasks(): readonly PoolTask[] {
    return this.queued
  }

  /** Number of items that are in no call and have no result. */
  get waitingItems(): number {
    return this.queued.reduce((sum, task) => sum + task.waiting.length, 0)
  }

  add(task: StageTask): PoolTask {
    const added = createPoolTask(task)
    this.queued.push(added)
    return added
  }

  /** Sorts the tasks by effective rank, given the expected duration of a call. */
  sort(callMs: number, now: number): void {
    const ranked = this.queued.map(task => ({ task, effectiveRank: effectiveRank(task.stageTask, callMs, now) }))
    this.queued = ranked.sort((left, right) => left.effectiveRank - right.effectiveRank).map(({ task }) => task)
  }

  /** Removes the selected items from the queue and returns them. */
  take(entries: readonly BatchEntry[]): PoolItem[] {
    const items = entries.flatMap(entry => entry.task.waiting.splice(0, entry.items))
    this.queued = this.queued.filter(task => task.waiting.length > 0)
    return items
  }

  /** Queues items again. Their task's inputs are kept until it ends, since they are fetched once more. */
  requeue(items: readonly PoolItem[]): void {
    for (const item of items) {
      const { task } = item
      if (task.ended)
        continue
      task.waiting.push(item)
      task.fetchedItems = Number.NEGATIVE_INFINITY
      if (!this.queued.includes(task))
        this.queued.push(task)
    }
  }

  /** Records the result of an item, and completes its task with the last one. */
  addResult(item: PoolItem, result: StageResult): void {
    const { task } = item
    task.results[item.index] = result
    if (task.results.includes(undefined))
      return
    task.ended = true
    task.stageTask.listener.completed(task.results as StageResult[])
  }

  /** Fails a task; does nothing if it has already ended because of another item. */
  fail(task: PoolTask, failure: ItemFailure): void {
    if (task.ended)
      return
    this.end(task)
    task.stageTask.listener.failed(failure)
  }

  /** Ends a task without notifying its listener. */
  cancel(task: PoolTask): void {
    if (!task.ended)
      this.end(task)
  }

  private end(task: PoolTask): void {
    task.ended = true
    this.queued = this.queued.filter(other => other !== task)
    for (const result of task.results) {
      if (result)
        this.free(result)
    }
  }
}
