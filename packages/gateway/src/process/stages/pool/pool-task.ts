/**
 * A stage task as its pool works on it: which items wait, which have results.
 * Plain records of the pool; gone with the process, since the requesting
 * gateway asks the next coordinator.
 */
import type { StageItem } from '../../../connection/backends/stage-client.js'
import type { StageResult, StageTask } from '../../../request/stages/stage-task.js'

/** One item of a task. */
export interface PoolItem {
  task: PoolTask
  /** Number of the item within its stage. */
  index: number
  /** Calls in which it failed or that failed as a whole. */
  failures: number
}

/** A task in its pool. */
export interface PoolTask {
  stageTask: StageTask
  /** Items that are in no call and have no result. */
  waiting: PoolItem[]
  /** By the number of the item. */
  results: (StageResult | undefined)[]
  /** Items whose inputs count as fetched; minus infinity once an item was sent back to wait. */
  fetched: number
  ended: boolean
}

/** Creates a task all of whose items wait. */
export function createPoolTask(task: StageTask): PoolTask {
  const created: PoolTask = { stageTask: task, waiting: [], results: Array.from({ length: task.items }), fetched: 0, ended: false }
  created.waiting = created.results.map((_, index) => ({ task: created, index, failures: 0 }))
  return created
}

/** Bytes that the results of items will use. */
export function resultBytesOf(items: readonly PoolItem[]): number {
  return items.reduce((sum, item) => sum + item.task.stageTask.resultBytes, 0)
}

/** Bytes that a backend server fetches for items. */
export function inputBytesOf(items: readonly PoolItem[]): number {
  return items.reduce((sum, item) => sum + item.task.stageTask.inputs.reduce((total, input) => total + input.bytes, 0), 0)
}

/** Describes an item for its backend server. */
export function describeItem(item: PoolItem, now: number): StageItem {
  const { stageTask: task } = item.task
  return {
    requestId: task.requestId,
    stage: task.stage,
    index: item.index,
    remainingMs: Math.max(1, Math.round(task.deadlineAt - now)),
    key: task.key,
    inputs: task.inputs.length > 0 ? task.inputs.map(input => input.handle) : undefined,
  }
}
