/**
 * A stage task as processed by its pool: which items are queued and which have
 * results. Plain records that are lost with the process; the requesting gateway
 * then asks the next coordinator.
 */
import type { StageItem } from '../../../connection/backends/stage-client.js'
import type { StageResult, StageTask } from '../../../request/stages/stage-task.js'

/** One item of a task. */
export interface PoolItem {
  task: PoolTask
  /** Index of the item within its stage. */
  index: number
  /** Calls that failed, or in which this item failed. */
  failures: number
}

/** A task in its pool. */
export interface PoolTask {
  stageTask: StageTask
  /** Items that are in no call and have no result. */
  waiting: PoolItem[]
  /** Indexed like the items. */
  results: (StageResult | undefined)[]
  /** Items whose inputs count as fetched; negative infinity once an item was queued again. */
  fetchedItems: number
  ended: boolean
}

/** Creates a task with all items queued. */
export function createPoolTask(task: StageTask): PoolTask {
  const created: PoolTask = { stageTask: task, waiting: [], results: Array.from({ length: task.items }), fetchedItems: 0, ended: false }
  created.waiting = created.results.map((_, index) => ({ task: created, index, failures: 0 }))
  return created
}

/** Expected total size of the results of items, in bytes. */
export function resultBytesOf(items: readonly PoolItem[]): number {
  return items.reduce((sum, item) => sum + item.task.stageTask.resultBytes, 0)
}

/** Total size of the inputs that a backend server fetches for items, in bytes. */
export function inputBytesOf(items: readonly PoolItem[]): number {
  return items.reduce((sum, item) => sum + item.task.stageTask.inputs.reduce((total, input) => total + input.bytes, 0), 0)
}

/** Converts an item to the form sent to its backend server. */
export function describeItem(item: PoolItem, now: number): StageItem {
  const { stageTask } = item.task
  return {
    requestId: stageTask.requestId,
    stage: stageTask.stage,
    index: item.index,
    remainingMs: Math.max(1, Math.round(stageTask.deadlineAt - now)),
    key: stageTask.key,
    inputs: stageTask.inputs.length > 0 ? stageTask.inputs.map(input => input.handle) : undefined,
  }
}
