/**
 * Decides which items make the next call of an idle backend server.
 *
 * Inputs: waiting tasks in their order, places of a call (items), free result
 * memory (bytes, as accounted for now), and for each task whether it should
 * run at this backend server rather than wait for another failure domain.
 * Rule: tasks that suit are added whole while places and memory last; a task
 * is split only where it opens the call. Where more than PRESSED_SHARE of a
 * call still waits, the remaining places are filled with any other tasks.
 * Why: a call has a large fixed cost (240 ms on the users' sites), so under
 * load a full call is worth more than the bytes that cross failure domains;
 * a split task waits for two calls. Full calls before domains at every load
 * (trial e) and a least cost of both (trials g, i, l) gained nothing.
 * Set by: commits 3ac7f7b and cb069cb, see the constant.
 * Log event: `stage-call` (items, requests, resultMemoryBytes).
 */
import type { StageTask } from '../../../request/stages/stage-task.js'
import type { PoolTask } from './pool-task.js'

/**
 * Calls are filled whatever the failure domain where more than this share of a
 * call waits: commit 3ac7f7b (with another change; firmasur scale-1 0.42 to
 * 0.70, trouble-2 0.61 to 0.97). Half and twice of it not measured.
 */
const PRESSED_SHARE = 0.5

/** Why items are in a call. */
export enum BatchReason {
  /** Their task should run at this backend server. */
  SuitsDomain = 'suits-domain',
  /** Much waits, and the call had places left. */
  FillsCall = 'fills-call',
}

/** The first waiting items of a task, chosen for a call. */
export interface BatchPart {
  task: PoolTask
  items: number
  reason: BatchReason
}

/** What the items of a call are chosen from. */
export interface BatchInput {
  /** In the order in which they should run. */
  tasks: readonly PoolTask[]
  /** Places of one call. */
  maxItems: number
  /** Result memory that may be reserved, in bytes. */
  freeBytes: number
  /** Whether a task should run here now. */
  suits: (task: StageTask) => boolean
}

/** Chooses the items of the next call; empty where none should run here now. */
export function chooseBatch(input: BatchInput): BatchPart[] {
  const parts: BatchPart[] = []
  fill(parts, input, BatchReason.SuitsDomain)
  const waiting = input.tasks.reduce((sum, task) => sum + task.waiting.length, 0)
  if (waiting - countItems(parts) > input.maxItems * PRESSED_SHARE)
    fill(parts, input, BatchReason.FillsCall)
  return parts
}

function fill(parts: BatchPart[], { tasks, maxItems, freeBytes, suits }: BatchInput, reason: BatchReason): void {
  for (const task of tasks) {
    const places = maxItems - countItems(parts)
    if (places <= 0)
      return
    const waiting = task.waiting.length - countItems(parts.filter(part => part.task === task))
    const withinMemory = Math.floor((freeBytes - reservedBytes(parts)) / task.stageTask.resultBytes)
    const items = Math.min(places, withinMemory, waiting)
    const maySplit = parts.length === 0
    if (items <= 0 || (items < waiting && !maySplit))
      continue
    if (reason === BatchReason.FillsCall || suits(task.stageTask))
      parts.push({ task, items, reason })
  }
}

function countItems(parts: readonly BatchPart[]): number {
  return parts.reduce((sum, part) => sum + part.items, 0)
}

/** Bytes that the results of the chosen items will use. */
function reservedBytes(parts: readonly BatchPart[]): number {
  return parts.reduce((sum, { task, items }) => sum + items * task.stageTask.resultBytes, 0)
}
