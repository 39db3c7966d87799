/**
 * Decides which stage calls a side admits to the queue of its backend server, and
 * which queued call runs next.
 *
 * Inputs: the priority, input size and remaining time (ms) of the call; the
 * current number of running calls and slots; the expected service times of the
 * queued calls (ms, median of similar calls that ran here).
 *
 * The `deadline` queue refuses a call with reason `full` if it exceeds the limit
 * on the number of calls or on their total input size, and with reason `late` if
 * it cannot finish in time after the calls ahead of it. Calls are ordered by
 * priority, then by earliest deadline. A call that can no longer finish in time
 * when it reaches the head of the queue is refused with reason `late`.
 *
 * An immediate refusal leaves the entry time to call another backend server, and
 * running a call that will miss its deadline would delay the others.
 *
 * Log event: `refuse`, reasons `full` and `late`.
 *
 * State: the queued calls, in memory. If the process dies, they have not run.
 */
import type { StageCall } from '../../connection/messages.js'
import { RefusalReason } from '../../connection/messages.js'
import { Priority } from '../../version/objects.js'

/** A call that waits for a slot. */
export interface QueuedCall {
  call: StageCall
  /** Arrival time (monotonic, in milliseconds). */
  arrivedAt: number
  /** Time by which the call must have finished (monotonic, in milliseconds). */
  finishBy: number
  /** Expected service time in milliseconds; 0 if unknown. */
  expectedServiceMs: number
}

/** State of the backend server when a call is offered to the queue. */
export interface ServerState {
  /** Current monotonic time in milliseconds. */
  now: number
  /** Calls running on the backend server. */
  running: number
  /** Calls that the backend server can run concurrently. */
  slots: number
}

/** Number of queued calls by priority. */
export interface QueuedByPriority {
  [Priority.High]: number
  [Priority.Normal]: number
  [Priority.Low]: number
}

/** A queue of stage calls. */
export interface StageQueue {
  readonly size: number
  /** Adds a call to the queue, or returns the reason why it is refused. */
  offer: (queuedCall: QueuedCall, server: ServerState) => RefusalReason | undefined
  /** Removes and returns the next call to run and the calls ahead of it that can no longer finish in time. */
  take: (now: number) => { next?: QueuedCall, late: QueuedCall[] }
  /** Removes a call; returns whether it was queued. */
  remove: (queuedCall: QueuedCall) => boolean
  countByPriority: () => QueuedByPriority
}

/** Rank of each priority; lower ranks run first. */
const PRIORITY_RANK: Record<Priority, number> = { [Priority.High]: 0, [Priority.Normal]: 1, [Priority.Low]: 2 }

function countByPriority(calls: readonly QueuedCall[]): QueuedByPriority {
  const counts = { [Priority.High]: 0, [Priority.Normal]: 0, [Priority.Low]: 0 }
  for (const { call } of calls)
    counts[call.priority]++
  return counts
}

function removeFrom(list: QueuedCall[], queuedCall: QueuedCall): boolean {
  const index = list.indexOf(queuedCall)
  if (index < 0)
    return false
  list.splice(index, 1)
  return true
}

/** Unbounded FIFO queue that ignores deadlines (setting `queue = fifo`), a baseline for comparison. */
export class FifoQueue implements StageQueue {
  private readonly calls: QueuedCall[] = []

  get size(): number {
    return this.calls.length
  }

  offer(queuedCall: QueuedCall): RefusalReason | undefined {
    this.calls.push(queuedCall)
    return undefined
  }

  take(): { next?: QueuedCall, late: QueuedCall[] } {
    return { next: this.calls.shift(), late: [] }
  }

  remove(queuedCall: QueuedCall): boolean {
    return removeFrom(this.calls, queuedCall)
  }

  countByPriority(): QueuedByPriority {
    return countByPriority(this.calls)
  }
}

/** Expected remaining fraction of a running call: half on average, because calls arrive at a random point of its run. */
const REMAINING_FRACTION = 0.5

/** Limits of a deadline queue. */
export interface DeadlineQueueOptions {
  /** Maximum number of queued calls. */
  limit: number
  /** Maximum total length of the queued inputs, in characters. */
  bytes: number
}

/** Orders calls by priority, then by earliest deadline, and immediately refuses calls that cannot finish in time. */
export class DeadlineQueue implements StageQueue {
  private readonly calls: QueuedCall[] = []
  private bytes = 0

  constructor(private readonly options: DeadlineQueueOptions) {}

  get size(): number {
    return this.calls.length
  }

  offer(queuedCall: QueuedCall, server: ServerState): RefusalReason | undefined {
    const free = server.running < server.slots
    if (!free && this.calls.length >= this.options.limit)
      return RefusalReason.Full
    if (this.bytes + queuedCall.call.input.length > this.options.bytes && this.calls.length > 0)
      return RefusalReason.Full
    const expectedFinish = server.now + this.expectedWait(queuedCall, server) + queuedCall.expectedServiceMs
    if (expectedFinish > queuedCall.finishBy)
      return RefusalReason.Late
    this.insert(queuedCall)
    return undefined
  }

  take(now: number): { next?: QueuedCall, late: QueuedCall[] } {
    const late: QueuedCall[] = []
    for (;;) {
      const next = this.calls.shift()
      if (!next)
        return { late }
      this.bytes -= next.call.input.length
      if (now + next.expectedServiceMs <= next.finishBy)
        return { next, late }
      late.push(next)
    }
  }

  remove(queuedCall: QueuedCall): boolean {
    const removed = removeFrom(this.calls, queuedCall)
    if (removed)
      this.bytes -= queuedCall.call.input.length
    return removed
  }

  countByPriority(): QueuedByPriority {
    return countByPriority(this.calls)
  }

  /** Expected milliseconds until a slot is free, given the work ahead of the call. */
  private expectedWait(queuedCall: QueuedCall, server: ServerState): number {
    if (server.running < server.slots && this.calls.length === 0)
      return 0
    const before = this.calls.filter(other => runsBefore(other, queuedCall))
    const work = before.reduce((sum, other) => sum + other.expectedServiceMs, 0)
    const runningWork = queuedCall.expectedServiceMs * server.running * REMAINING_FRACTION
    return (work + runningWork) / server.slots
  }

  private insert(queuedCall: QueuedCall): void {
    const index = this.calls.findIndex(other => !runsBefore(other, queuedCall))
    this.calls.splice(index < 0 ? this.calls.length : index, 0, queuedCall)
    this.bytes += queuedCall.call.input.length
  }
}

function runsBefore(left: QueuedCall, right: QueuedCall): boolean {
  const rank = PRIORITY_RANK[left.call.priority] - PRIORITY_RANK[right.call.priority]
  return rank !== 0 ? rank < 0 : left.finishBy <= right.finishBy
}
