/**
 * Decides which items make the next call of an idle backend server.
 *
 * Inputs: waiting tasks in their order, places of a call (items), free result
 * memory (bytes, as accounted for now), for each task the failure domain that
 * it should rather wait for, and the capacity of that domain's next calls.
 * Rule: tasks that suit are added whole while places and memory last; a task
 * is split only where it opens the call. The remaining places are filled with
 * those tasks that wait for another failure domain and that its next calls have
 * no places or no memory for.
 * Why: a call has a large fixed cost (200 to 240 ms on the users' sites), so a
 * full call is worth more than the bytes that cross failure domains; but what
 * the next call at home takes anyway would cross for nothing. A split task
 * waits for two calls. A task that travels alone is the only one of its call.
 * Log event: `stage-call` (items, requests, resultMemoryBytes).
 */
import type { StageTask } from '../../../request/stages/stage-task.js'
import type { PoolTask } from './pool-task.js'

/** Why items are in a call. */
export enum BatchReason {
  /** Their task should run at this backend server. */
  SuitsDomain = 'suits-domain',
  /** The next calls of the failure domain that it waits for are full, and this one had places left. */
  FillsCall = 'fills-call',
}

/** The first waiting items of a task, chosen for a call. */
export interface BatchEntry {
  task: PoolTask
  items: number
  reason: BatchReason
}

/** What the items of a call are chosen from. */
export interface BatchInput {
  /** In the order in which they should run. */
  tasks: readonly PoolTask[]
  /** Whether no other task may be in the call of this one (`crash-isolation.ts`). */
  isIsolated: (task: StageTask) => boolean
  /** Places of one call. */
  maxItems: number
  /** Items after which no further task is added (`call-size.ts`). */
  targetItems: number
  /** Result memory that may be reserved, in bytes. */
  freeBytes: number
  /** The failure domain that a task should wait for; undefined where it should run here now. */
  betterDomain: (task: StageTask) => string | undefined
  /** What the next calls in a failure domain can take. */
  nextCalls: (failureDomain: string) => CallCapacity
}

/** What calls can take. */
export interface CallCapacity {
  /** Items. */
  slots: number
  /** Result memory, in bytes. */
  freeBytes: number
}

/** Chooses the items of the next call; empty where none should run here now. */
export function chooseBatch(input: BatchInput): BatchEntry[] {
  const entries: BatchEntry[] = []
  const { local: suiting, overflow } = partitionByDomain(input)
  addTasks(entries, suiting, input, BatchReason.SuitsDomain)
  addTasks(entries, overflow, input, BatchReason.FillsCall)
  return entries
}

/** The tasks that should run here, and those that wait for calls elsewhere that cannot take them. */
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
  const { maxItems, targetItems: enoughItems, freeBytes, isIsolated: travelsAlone } = input
  for (const task of tasks) {
    const [first] = entries
    if (first && (travelsAlone(first.task.stageTask) || travelsAlone(task.stageTask)))
      continue
    const taken = countItems(entries)
    const slots = maxItems - taken
    if (slots <= 0 || taken >= enoughItems)
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
  return entries.reduce((sum, part) => sum + part.items, 0)
}

/** Bytes that the results of the chosen items will use. */
function reservedBytes(entries: readonly BatchEntry[]): number {
  return entries.reduce((sum, { task, items }) => sum + items * task.stageTask.resultBytes, 0)
}
