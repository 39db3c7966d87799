/**
 * Runs the stage calls of a side, each with one call to the backend server.
 *
 * Decides whether a call runs at all. Inputs: the identity of the call and the
 * process incarnation that it is addressed to; the table of known calls; whether
 * the side accepts new work; the queue.
 *
 * A call addressed to another incarnation is refused. A known call is joined while
 * it runs and its reply is replayed afterwards. A call whose key has a tombstone
 * never runs. Any other call runs unless the side or the queue refuses it. Calls
 * that are still queued when the backend server begins to leave are refused,
 * because the state in which they were accepted no longer holds.
 *
 * A refused call leaves a tombstone. The entry retries after a refusal, and
 * nothing else would prevent a delayed copy of the call, for example on an old
 * connection, from running alongside the retry.
 *
 * Log events: `join`, `refuse`.
 *
 * The queue determines the order, and `backend-reply.ts` maps the result of a call
 * to a reply. State: queued and running calls. If the process dies, the queued
 * calls have not run; the entries cannot know how far the running ones got.
 */
import type { BackendClient, BackendResult } from '../../connection/backend-client.js'
import type { LinkTokenListener } from '../../connection/link-call.js'
import type { CancelReply, Load, StageCall, StageReply } from '../../connection/messages.js'
import type { DecisionRecorder } from '../decision-recorder.js'
import type { StageMetrics } from '../request-metrics.js'
import type { ReplyBase } from './backend-reply.js'
import type { BackendRun } from './backend-run.js'
import type { QueuedCall, StageQueue } from './stage-queue.js'
import type { StageTable } from './stage-table.js'
import { BackendOutcome } from '../../connection/backend-client.js'
import { FailureReason, RefusalReason, stageKey, StageReplyKind } from '../../connection/messages.js'
import { createBackendReply } from './backend-reply.js'
import { addTokenListener, publishToken } from './backend-run.js'
import { ServiceTimes } from './service-times.js'

/** State of the side that the runner depends on. */
export interface SideState {
  readonly incarnation: string
  readonly offset: number
  readonly draining: boolean
  /** Whether the backend server is leaving, so that queued calls must not start on it. */
  readonly backendLeaving: boolean
  /** Returns why new work is refused, or undefined if it is accepted. */
  findRefusal: (call: StageCall) => RefusalReason | undefined
}

/** Dependencies of a stage runner. */
export interface StageRunnerOptions {
  side: SideState
  backend: BackendClient
  table: StageTable
  queue: StageQueue
  /** Calls that the backend server can run concurrently. */
  slots: number
  decisions: DecisionRecorder
  metrics: StageMetrics
}

/** Minimum retry delay after a refusal. Limits the retries at a full side, at the cost of delaying calls that would fit sooner. */
const MIN_RETRY_AFTER_MS = 50

/** Runs stage calls at one side. */
export class StageRunner {
  private readonly queuedRuns = new Map<QueuedCall, BackendRun>()
  private readonly times = new ServiceTimes()
  private running = 0

  constructor(private readonly options: StageRunnerOptions) {}

  /** Whether no call is running or queued. */
  get idle(): boolean {
    return this.running === 0 && this.queuedRuns.size === 0
  }

  /** Returns the load of the side as reported to entries. */
  load(): Load {
    return {
      running: this.running,
      queued: this.options.queue.countByPriority(),
      slots: this.options.slots,
      meanServiceMs: this.times.meanMs(),
      draining: this.options.side.draining,
    }
  }

  /** Runs a call, or joins or replays an earlier copy of it. All copies get the same reply while it is stored. */
  async run(call: StageCall, onToken?: LinkTokenListener): Promise<StageReply> {
    const { side, table } = this.options
    const key = stageKey(call.identity)
    if (call.identity.sideIncarnation !== side.incarnation)
      return this.refuse(call, RefusalReason.OtherIncarnation)
    const existing = table.find(key)
    if (existing)
      return this.join(existing, onToken)
    const tombstone = table.findTombstone(key)
    if (tombstone?.started)
      return this.createEvictedReply(call)
    const refusal = tombstone ? RefusalReason.Cancelled : side.findRefusal(call)
    return refusal ? this.refuse(call, refusal) : this.enqueue(call, onToken)
  }

  /** Cancels a call. If it has not arrived yet, it will be refused on arrival. */
  cancel(key: string): CancelReply {
    const { table } = this.options
    const run = table.find(key)
    if (!run) {
      const tombstone = table.findTombstone(key)
      if (!tombstone)
        table.addTombstone(key)
      return { started: tombstone?.started ?? false }
    }
    run.cancelled = true
    if (run.started) {
      run.abortController.abort()
      return { started: true }
    }
    this.refuseQueued(run, RefusalReason.Cancelled)
    return { started: false }
  }

  /** Refuses all queued calls if the backend server is leaving, so that entries call another one. */
  refuseQueuedIfLeaving(): void {
    if (!this.options.side.backendLeaving)
      return
    for (const run of [...this.queuedRuns.values()])
      this.refuseQueued(run, RefusalReason.Draining)
  }

  private join(run: BackendRun, onToken?: LinkTokenListener): Promise<StageReply> {
    const { requestId, stage, attempt } = run.call.identity
    this.options.decisions.record('join', requestId, { stage, attempt, finished: run.finished !== undefined })
    addTokenListener(run, onToken)
    return run.reply
  }

  private enqueue(call: StageCall, onToken?: LinkTokenListener): Promise<StageReply> {
    const { queue, slots, table } = this.options
    const now = performance.now()
    const expectedServiceMs = this.times.expectedMs(call)
    const queuedCall: QueuedCall = { call, arrivedAt: now, finishBy: now + call.budgetMs, expectedServiceMs }
    const refusal = queue.offer(queuedCall, { now, running: this.running, slots })
    if (refusal)
      return Promise.resolve(this.refuse(call, refusal))
    const run = table.add(call)
    addTokenListener(run, onToken)
    this.queuedRuns.set(queuedCall, run)
    this.startNext()
    return run.reply
  }

  /** Starts queued calls while slots are free. */
  private startNext(): void {
    this.refuseQueuedIfLeaving()
    while (this.running < this.options.slots) {
      const { next, late } = this.options.queue.take(performance.now())
      for (const queuedCall of late)
        this.refuseQueued(this.queuedRuns.get(queuedCall)!, RefusalReason.Late)
      if (!next)
        return
      const run = this.queuedRuns.get(next)!
      this.queuedRuns.delete(next)
      void this.execute(run, next)
    }
  }

  private async execute(run: BackendRun, queuedCall: QueuedCall): Promise<void> {
    const { metrics, table } = this.options
    this.running++
    run.started = true
    const startedAt = performance.now()
    const result = await this.callBackend(run, queuedCall.finishBy - startedAt)
    const serviceMs = performance.now() - startedAt
    this.running--
    if (result.outcome === BackendOutcome.Done)
      this.times.add(run.call, serviceMs)
    if (result.outcome === BackendOutcome.Refused)
      run.started = false
    const reply = createBackendReply(this.replyBase(run.call), {
      result,
      cancelled: run.cancelled,
      queueMs: startedAt - queuedCall.arrivedAt,
      serviceMs,
      retryAfterMs: MIN_RETRY_AFTER_MS,
    })
    metrics.recordStage(run.call, reply, serviceMs)
    table.finish(run, reply)
    this.startNext()
  }

  /** Calls the backend server and aborts the call when its budget is exhausted. */
  private async callBackend(run: BackendRun, remainingMs: number): Promise<BackendResult> {
    const deadline = setTimeout(() => run.abortController.abort(), Math.max(0, remainingMs))
    const onToken = run.listeners.size > 0 ? (text: string): void => publishToken(run, text) : undefined
    const result = await this.options.backend.run(run.call, run.abortController.signal, onToken)
    clearTimeout(deadline)
    return result
  }

  private refuse(call: StageCall, reason: RefusalReason): StageReply {
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, this.expectedDrainMs())
    const { decisions, metrics, queue, table } = this.options
    const { requestId, stage, attempt } = call.identity
    const refused = { stage, attempt, reason, queued: queue.size, running: this.running, budgetMs: call.budgetMs }
    decisions.record('refuse', requestId, refused)
    metrics.recordRefusal(reason)
    // A copy of the call that is still in transit must not run after this refusal.
    if (reason !== RefusalReason.OtherIncarnation)
      table.addTombstone(stageKey(call.identity))
    return { ...this.replyBase(call), kind: StageReplyKind.Refused, reason, retryAfterMs }
  }

  private createEvictedReply(call: StageCall): StageReply {
    const message = 'the result of this call is no longer available'
    return { ...this.replyBase(call), kind: StageReplyKind.Failed, reason: FailureReason.Cancelled, message, serviceMs: 0 }
  }

  private refuseQueued(run: BackendRun, reason: RefusalReason): void {
    for (const [queuedCall, queuedRun] of this.queuedRuns) {
      if (queuedRun !== run)
        continue
      this.options.queue.remove(queuedCall)
      this.queuedRuns.delete(queuedCall)
      this.options.table.finish(run, this.refuse(run.call, reason))
      return
    }
  }

  private replyBase(call: StageCall): ReplyBase {
    const { incarnation, offset } = this.options.side
    return { identity: { ...call.identity, sideIncarnation: incarnation }, offset, load: this.load() }
  }

  /** Expected milliseconds until all running and queued calls are done. */
  private expectedDrainMs(): number {
    return (this.times.meanMs() * (this.running + this.options.queue.size)) / this.options.slots
  }
}
