/**
 * Decides which stage call a side takes into the queue before its backend
 * server, and which waiting call runs next.
 *
 * Inputs: the call's priority, input and time left (ms); calls running and
 * slots, as of now; expected service times of the calls that wait (ms, median
 * of like calls that ran here).
 * Rule (`deadline`): refuses as full beyond the limits of number and of input,
 * and as late what cannot finish in time behind the calls that go before it.
 * High priority goes first, then the earliest deadline; a call that can no
 * longer finish when its turn comes is refused as late.
 * Why: a refusal at once lets the entry go elsewhere while it has time; work on
 * a call that will be late anyway delays the others.
 * Log event: `refuse`, reasons `full` and `late`.
 *
 * State: calls that wait, in memory; they never ran when the process dies.
 */
import type { StageCall } from '../../connection/messages.js'
import { RefusalReason } from '../../connection/messages.js'
import { Priority } from '../../version/objects.js'

/** A call that waits for a slot. */
export interface WaitingCall {
  call: StageCall
  /** When the call came, in milliseconds of the process clock. */
  arrivedAt: number
  /** When the call must have finished, in milliseconds of the process clock. */
  finishBy: number
  /** Expected service time in milliseconds; 0 where nothing is known. */
  expectedServiceMs: number
}

/** What the queue knows of the server when a call is offered. */
export interface ServerView {
  /** Milliseconds of the process clock. */
  now: number
  /** Calls at the backend server. */
  running: number
  /** Calls that it runs at once. */
  slots: number
}

/** Calls that wait, by priority. */
export interface QueuedByPriority {
  [Priority.High]: number
  [Priority.Normal]: number
  [Priority.Low]: number
}

/** A queue of stage calls. */
export interface StageQueue {
  readonly size: number
  /** Takes a call in, or says why not. */
  offer: (waiting: WaitingCall, server: ServerView) => RefusalReason | undefined
  /** The next call to run, after those that can no longer finish in time. */
  take: (now: number) => { next?: WaitingCall, late: WaitingCall[] }
  /** Removes a call; returns whether it was waiting. */
  remove: (waiting: WaitingCall) => boolean
  /** Calls that wait, by priority. */
  countByPriority: () => QueuedByPriority
}

/** Order of the priorities; the lowest number goes first. */
const RANK: Record<Priority, number> = { [Priority.High]: 0, [Priority.Normal]: 1, [Priority.Low]: 2 }

function countByPriority(waiting: readonly WaitingCall[]): QueuedByPriority {
  const counts = { [Priority.High]: 0, [Priority.Normal]: 0, [Priority.Low]: 0 }
  for (const { call } of waiting)
    counts[call.priority]++
  return counts
}

function removeFrom(list: WaitingCall[], waiting: WaitingCall): boolean {
  const index = list.indexOf(waiting)
  if (index < 0)
    return false
  list.splice(index, 1)
  return true
}

/** The baseline, for the setting `queue = fifo`: first in, first out, without a limit and without a look at deadlines. */
export class FifoQueue implements StageQueue {
  private readonly waiting: WaitingCall[] = []

  get size(): number {
    return this.waiting.length
  }

  offer(waiting: WaitingCall): RefusalReason | undefined {
    this.waiting.push(waiting)
    return undefined
  }

  take(): { next?: WaitingCall, late: WaitingCall[] } {
    return { next: this.waiting.shift(), late: [] }
  }

  remove(waiting: WaitingCall): boolean {
    return removeFrom(this.waiting, waiting)
  }

  countByPriority(): QueuedByPriority {
    return countByPriority(this.waiting)
  }
}

/** Share of a running call that is still to be done: on average half, since calls come at any moment of another. */
const UNFINISHED_SHARE = 0.5

/** Limits of a deadline queue. */
export interface DeadlineQueueOptions {
  /** Calls that may wait. */
  limit: number
  /** Characters of input that may wait. */
  bytes: number
}

/** Priority first, then earliest deadline; refuses at once what cannot finish in time. */
export class DeadlineQueue implements StageQueue {
  private readonly waiting: WaitingCall[] = []
  private bytes = 0

  constructor(private readonly options: DeadlineQueueOptions) {}

  get size(): number {
    return this.waiting.length
  }

  offer(waiting: WaitingCall, server: ServerView): RefusalReason | undefined {
    const free = server.running < server.slots
    if (!free && this.waiting.length >= this.options.limit)
      return RefusalReason.Full
    if (this.bytes + waiting.call.input.length > this.options.bytes && this.waiting.length > 0)
      return RefusalReason.Full
    const expectedFinish = server.now + this.expectedWait(waiting, server) + waiting.expectedServiceMs
    if (expectedFinish > waiting.finishBy)
      return RefusalReason.Late
    this.insert(waiting)
    return undefined
  }

  take(now: number): { next?: WaitingCall, late: WaitingCall[] } {
    const late: WaitingCall[] = []
    for (;;) {
      const next = this.waiting.shift()
      if (!next)
        return { late }
      this.bytes -= next.call.input.length
      if (now + next.expectedServiceMs <= next.finishBy)
        return { next, late }
      late.push(next)
    }
  }

  remove(waiting: WaitingCall): boolean {
    const removed = removeFrom(this.waiting, waiting)
    if (removed)
      this.bytes -= waiting.call.input.length
    return removed
  }

  countByPriority(): QueuedByPriority {
    return countByPriority(this.waiting)
  }

  /** Milliseconds until a slot is free for a call, from the work that goes before it. */
  private expectedWait(waiting: WaitingCall, server: ServerView): number {
    if (server.running < server.slots && this.waiting.length === 0)
      return 0
    const before = this.waiting.filter(other => goesBefore(other, waiting))
    const work = before.reduce((sum, other) => sum + other.expectedServiceMs, 0)
    const runningWork = waiting.expectedServiceMs * server.running * UNFINISHED_SHARE
    return (work + runningWork) / server.slots
  }

  private insert(waiting: WaitingCall): void {
    const index = this.waiting.findIndex(other => !goesBefore(other, waiting))
    this.waiting.splice(index < 0 ? this.waiting.length : index, 0, waiting)
    this.bytes += waiting.call.input.length
  }
}

function goesBefore(left: WaitingCall, right: WaitingCall): boolean {
  const rank = RANK[left.call.priority] - RANK[right.call.priority]
  return rank !== 0 ? rank < 0 : left.finishBy <= right.finishBy
}
