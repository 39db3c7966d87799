/**
 * Runs stage calls at a side, one call of the backend server for each.
 *
 * Decides whether a call runs at all. Inputs: its identity and the process life
 * that it was meant for, the table of known calls, what the side says of new
 * work, the queue. Rule: a call for another process life is refused; a known
 * one is joined or replayed; one whose key is spent never runs again; then the
 * side's and the queue's refusals hold. A refused call's key is spent, so that a
 * copy that is still on its way cannot run after its entry went elsewhere.
 * A call that still waits when the backend server begins to leave is refused:
 * it was taken on a state that holds no longer.
 * Why: the entry calls again after a refusal, and nothing else keeps a copy in
 * an old connection from running beside that call.
 * Log events: `join`, `refuse`.
 *
 * Relies on the queue for the order and on `backend-reply.ts` for what an end
 * means. State: calls that wait and run. When the process dies, waiting calls
 * never ran; what of the running ones ran is unknown to their entries.
 */
import type { BackendClient, BackendResult } from '../../connection/backend-client.js'
import type { LinkTokenListener } from '../../connection/link-call.js'
import type { CancelReply, Load, StageCall, StageReply } from '../../connection/messages.js'
import type { DecisionRecorder } from '../decision-recorder.js'
import type { StageMetrics } from '../request-metrics.js'
import type { ReplyBase } from './backend-reply.js'
import type { BackendRun } from './backend-run.js'
import type { StageQueue, WaitingCall } from './stage-queue.js'
import type { StageTable } from './stage-table.js'
import { BackendOutcome } from '../../connection/backend-client.js'
import { FailureReason, RefusalReason, stageKey, StageReplyKind } from '../../connection/messages.js'
import { createBackendReply } from './backend-reply.js'
import { addTokenListener, publishToken } from './backend-run.js'
import { ServiceTimes } from './service-times.js'

/** What the runner needs to know of its side. */
export interface SideState {
  readonly incarnation: string
  readonly offset: number
  readonly draining: boolean
  /** Its backend server leaves: calls that wait must not start there any more. */
  readonly backendLeaving: boolean
  /** Why new work is refused, or undefined while it is taken. */
  refusal: (call: StageCall) => RefusalReason | undefined
}

/** Parts of a stage runner. */
export interface StageRunnerOptions {
  side: SideState
  backend: BackendClient
  table: StageTable
  queue: StageQueue
  /** Calls that the backend server runs at once. */
  slots: number
  decisions: DecisionRecorder
  metrics: StageMetrics
}

/** Milliseconds, at least, after a refusal. Half doubles the retries at a full side, twice delays what would fit. */
const MIN_RETRY_AFTER_MS = 50

/** Runs the stage calls of one side. */
export class StageRunner {
  private readonly pending = new Map<WaitingCall, BackendRun>()
  private readonly times = new ServiceTimes()
  private running = 0

  constructor(private readonly options: StageRunnerOptions) {}

  /** Whether no call runs or waits. */
  get idle(): boolean {
    return this.running === 0 && this.pending.size === 0
  }

  /** The side's load, as entries receive it. */
  load(): Load {
    return {
      running: this.running,
      queued: this.options.queue.countByPriority(),
      slots: this.options.slots,
      meanServiceMs: this.times.meanMs(),
      draining: this.options.side.draining,
    }
  }

  /** Runs, joins or replays a call and returns its one reply. */
  async run(call: StageCall, onToken?: LinkTokenListener): Promise<StageReply> {
    const { side, table } = this.options
    const key = stageKey(call.identity)
    if (call.identity.sideIncarnation !== side.incarnation)
      return this.refuse(call, RefusalReason.OtherIncarnation)
    const existing = table.find(key)
    if (existing)
      return this.join(existing, onToken)
    const spent = table.spentKey(key)
    if (spent?.started)
      return this.createDroppedReply(call)
    const refusal = spent ? RefusalReason.Cancelled : side.refusal(call)
    return refusal ? this.refuse(call, refusal) : this.enqueue(call, onToken)
  }

  /** Stops a call, or forbids it where it has not come yet. */
  cancel(key: string): CancelReply {
    const { table } = this.options
    const run = table.find(key)
    if (!run) {
      const spent = table.spentKey(key)
      if (!spent)
        table.forbid(key)
      return { started: spent?.started ?? false }
    }
    run.cancelled = true
    if (run.started) {
      run.abort.abort()
      return { started: true }
    }
    this.refuseWaiting(run, RefusalReason.Cancelled)
    return { started: false }
  }

  /** Refuses the calls that wait, where the backend server leaves; their entries call another one. */
  refuseWaitingIfLeaving(): void {
    if (!this.options.side.backendLeaving)
      return
    for (const run of [...this.pending.values()])
      this.refuseWaiting(run, RefusalReason.Draining)
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
    const waiting: WaitingCall = { call, arrivedAt: now, finishBy: now + call.budgetMs, expectedServiceMs }
    const refusal = queue.offer(waiting, { now, running: this.running, slots })
    if (refusal)
      return Promise.resolve(this.refuse(call, refusal))
    const run = table.open(call)
    addTokenListener(run, onToken)
    this.pending.set(waiting, run)
    this.startNext()
    return run.reply
  }

  /** Starts waiting calls while slots are free. */
  private startNext(): void {
    this.refuseWaitingIfLeaving()
    while (this.running < this.options.slots) {
      const { next, late } = this.options.queue.take(performance.now())
      for (const waiting of late)
        this.refuseWaiting(this.pending.get(waiting)!, RefusalReason.Late)
      if (!next)
        return
      const run = this.pending.get(next)!
      this.pending.delete(next)
      void this.execute(run, next)
    }
  }

  private async execute(run: BackendRun, waiting: WaitingCall): Promise<void> {
    const { metrics, table } = this.options
    this.running++
    run.started = true
    const startedAt = performance.now()
    const result = await this.callBackend(run, waiting.finishBy - startedAt)
    const serviceMs = performance.now() - startedAt
    this.running--
    if (result.outcome === BackendOutcome.Done)
      this.times.add(run.call, serviceMs)
    if (result.outcome === BackendOutcome.Refused)
      run.started = false
    const reply = createBackendReply(this.replyBase(run.call), {
      result,
      cancelled: run.cancelled,
      queueMs: startedAt - waiting.arrivedAt,
      serviceMs,
      retryAfterMs: MIN_RETRY_AFTER_MS,
    })
    metrics.recordStage(run.call, reply, serviceMs)
    table.finish(run, reply)
    this.startNext()
  }

  /** Calls the backend server and stops the call when its time is over. */
  private async callBackend(run: BackendRun, remainingMs: number): Promise<BackendResult> {
    const deadline = setTimeout(() => run.abort.abort(), Math.max(0, remainingMs))
    const onToken = run.listeners.size > 0 ? (text: string): void => publishToken(run, text) : undefined
    const result = await this.options.backend.run(run.call, run.abort.signal, onToken)
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
    // A copy of the call that is still on its way must not run after this refusal.
    if (reason !== RefusalReason.OtherIncarnation)
      table.forbid(stageKey(call.identity))
    return { ...this.replyBase(call), kind: StageReplyKind.Refused, reason, retryAfterMs }
  }

  private createDroppedReply(call: StageCall): StageReply {
    const message = 'the result of this call was dropped'
    return { ...this.replyBase(call), kind: StageReplyKind.Failed, reason: FailureReason.Cancelled, message, serviceMs: 0 }
  }

  private refuseWaiting(run: BackendRun, reason: RefusalReason): void {
    for (const [waiting, pending] of this.pending) {
      if (pending !== run)
        continue
      this.options.queue.remove(waiting)
      this.pending.delete(waiting)
      this.options.table.finish(run, this.refuse(run.call, reason))
      return
    }
  }

  private replyBase(call: StageCall): ReplyBase {
    const { incarnation, offset } = this.options.side
    return { identity: { ...call.identity, sideIncarnation: incarnation }, offset, load: this.load() }
  }

  /** Time until the work at hand is done, in milliseconds. */
  private expectedDrainMs(): number {
    return (this.times.meanMs() * (this.running + this.options.queue.size)) / this.options.slots
  }
}
