/**
 * The tasks of one stage service that have items waiting, in the order of
 * `stage-order.ts`, and the one place where a task ends. Owns them until they end;
 * tasks whose items are all in calls are held by those calls. Gone with the
 * process.
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

  /** Results of tasks that end without success are passed to `free`. */
  constructor(private readonly free: (result: StageResult) => void) {}

  /** Each has an item waiting. */
  get tasks(): readonly PoolTask[] {
    return this.queued
  }

  /** Items that are in no call and have no result. */
  get waitingItems(): number {
    return this.queued.reduce((sum, task) => sum + task.waiting.length, 0)
  }

  add(task: StageTask): PoolTask {
    const added = createPoolTask(task)
    this.queued.push(added)
    return added
  }

  /** Puts the tasks in their order for calls that take some milliseconds. */
  sort(callMs: number, now: number): void {
    const ranked = this.queued.map(task => ({ task, effectiveRank: effectiveRank(task.stageTask, callMs, now) }))
    this.queued = ranked.sort((left, right) => left.effectiveRank - right.effectiveRank).map(({ task }) => task)
  }

  /** Takes the chosen items out. */
  take(entries: readonly BatchEntry[]): PoolItem[] {
    const items = entries.flatMap(entry => entry.task.waiting.splice(0, entry.items))
    this.queued = this.queued.filter(task => task.waiting.length > 0)
    return items
  }

  /** Lets items wait again. Their task's inputs are kept until it ends, since they are fetched once more. */
  requeue(items: readonly PoolItem[]): void {
    for (const item of items) {
      const { task } = item
      if (task.ended)
        continue
      task.waiting.push(item)
      task.fetched = Number.NEGATIVE_INFINITY
      if (!this.queued.includes(task))
        this.queued.push(task)
    }
  }

  /** Records the result of an item, and completes the task with its last one. */
  addResult(item: PoolItem, result: StageResult): void {
    const { task } = item
    task.results[item.index] = result
    if (task.results.includes(undefined))
      return
    task.ended = true
    task.stageTask.listener.completed(task.results as StageResult[])
  }

  /** Fails a task; one that has ended reported its end already, for another of its items. */
  fail(task: PoolTask, failure: ItemFailure): void {
    if (task.ended)
      return
    this.end(task)
    task.stageTask.listener.failed(failure)
  }

  /** Ends a task without a report. */
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
