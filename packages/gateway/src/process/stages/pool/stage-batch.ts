/**
 * Decides which items form the next call of an idle backend server.
 *
 * Inputs: waiting tasks in scheduling order, slots of a call (items), free result
 * memory (bytes, as accounted for now), the better failure domain of each task,
 * if there is one, and the capacity of the next calls there.
 * Rule: tasks without a better failure domain are added whole while slots and
 * memory last; a task is split only if it is the first of the call. The remaining
 * slots are filled with tasks whose better failure domain has no slots or no
 * memory for them in its next calls.
 * Why: a call has a large fixed cost (200 to 240 ms in production), so a full
 * call is worth more than the cross-domain bytes it saves; but items that the
 * next call in their own domain takes anyway would cross domains for nothing. A
 * split task waits for two calls. An isolated task is the only one of its call.
 * Log event: `stage-call` (items, requests, resultMemoryBytes).
 */
import type { StageTask } from '../../../request/stages/stage-task.js'
import type { PoolTask } from './pool-task.js'

/** Why items are in a call. */
export enum BatchReason {
  /** No other failure domain is better for their task. */
  SuitsDomain = 'suits-domain',
  /** The next calls in the better failure domain of their task are full, and this call had slots left. */
  FillsCall = 'fills-call',
}

/** The first waiting items of a task, selected for a call. */
export interface BatchEntry {
  task: PoolTask
  items: number
  reason: BatchReason
}

/** Inputs of the selection. */
export interface BatchInput {
  /** In scheduling order. */
  tasks: readonly PoolTask[]
  /** Whether a task must not share a call (`crash-isolation.ts`). */
  isIsolated: (task: StageTask) => boolean
  /** Slots of one call. */
  maxItems: number
  /** Number of items after which no further task is added (`call-size.ts`). */
  targetItems: number
  /** Result memory that may be reserved, in bytes. */
  freeBytes: number
  /** The failure domain that a task should wait for; undefined if it should run here now. */
  betterDomain: (task: StageTask) => string | undefined
  /** Capacity of the next calls in a failure domain. */
  nextCalls: (failureDomain: string) => CallCapacity
}

/** Capacity of calls. */
export interface CallCapacity {
  /** Number of items. */
  slots: number
  /** Result memory, in bytes. */
  freeBytes: number
}

/** Selects the items of the next call; empty if none should run here now. */
export function selectBatch(input: BatchInput): BatchEntry[] {
  const entries: BatchEntry[] = []
  const { local, overflow } = partitionByDomain(input)
  addTasks(entries, local, input, BatchReason.SuitsDomain)
  addTasks(entries, overflow, input, BatchReason.FillsCall)
  return entries
}

/** Tasks that should run here, and tasks that exceed the capacity of the next calls in their better failure domain. */
function partitionByDomain({ tasks, betterDomain, nextCalls }: BatchInput): { local: PoolTask[], overflow: PoolTask[] } {
  const local: PoolTask[] = []
  const overflow: PoolTask[] = []
  const capacities = new Map<string, CallCapacity>()
  for (const task of tasks) {
    const domain = betterDomain(task.stageTask)
    if (domain === undefined) {
      local.push(task)
      continue
    }
    const capacity = capacities.get(domain) ?? nextCalls(domain)
    capacities.set(domain, capacity)
    capacity.slots -= task.waiting.length
    capacity.freeBytes -= task.waiting.length * task.stageTask.resultBytes
    if (capacity.slots < 0 || capacity.freeBytes < 0)
      overflow.push(task)
  }
  return { local, overflow }
}

function addTasks(entries: BatchEntry[], tasks: readonly PoolTask[], input: BatchInput, reason: BatchReason): void {
  const { maxItems, targetItems, freeBytes, isIsolated } = input
  for (const task of tasks) {
    const [first] = entries
    if (first && (isIsolated(first.task.stageTask) || isIsolated(task.stageTask)))
      continue
    const selectedCount = countItems(entries)
    const slots = maxItems - selectedCount
    if (slots <= 0 || selectedCount >= targetItems)
      return
    const waiting = task.waiting.length
    const withinMemory = Math.floor((freeBytes - reservedBytes(entries)) / task.stageTask.resultBytes)
    const items = Math.min(slots, withinMemory, waiting)
    const maySplit = entries.length === 0
    if (items > 0 && (items === waiting || maySplit))
      entries.push({ task, items, reason })
  }
}

function countItems(entries: readonly BatchEntry[]): number {
  return entries.reduce((sum, entry) => sum + entry.items, 0)
}

/** Expected total size of the results of the selected items, in bytes. */
function reservedBytes(entries: readonly BatchEntry[]): number {
  return entries.reduce((sum, { task, items }) => sum + items * task.stageTask.resultBytes, 0)
}
