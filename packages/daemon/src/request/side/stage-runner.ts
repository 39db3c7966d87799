/**
 * Runs stage calls at a side: joins repeats, refuses what must not or cannot
 * run, holds calls in the queue and hands them to the backend server, one call
 * of the backend server for each stage call.
 */
import type { BackendClient, BackendResult } from '../../connection/backend-client.js'
import type { CancelReply, Load, StageCall, StageReply } from '../../connection/messages.js'
import type { DecisionRecorder } from '../decision-recorder.js'
import type { StageMetrics } from '../request-metrics.js'
import type { StageQueue, WaitingCall } from './stage-queue.js'
import type { StageRun, StageTable, TokenListener } from './stage-table.js'
import { RecentTimesByKey } from '@eidermast/common'
import { BackendOutcome } from '../../connection/backend-client.js'
import { FailureReason, RefusalReason, stageKey, StageReplyKind } from '../../connection/messages.js'

/** What the runner needs to know of its side. */
export interface SideState {
  readonly incarnation: string
  readonly offset: number
  readonly draining: boolean
  /** Why new work is refused, or undefined while it is taken. */
  refusal: (call: StageCall) => RefusalReason | undefined
}

/** Parts of a stage runner. */
export interface StageRunnerOptions {
  side: SideState
  backend: BackendClient
  table: StageTable
  queue: StageQueue
  slots: number
  decisions: DecisionRecorder
  metrics: StageMetrics
}

/** Time to come back after a refusal where nothing is known, in milliseconds. */
const MINIMUM_RETRY_AFTER_MS = 50

interface PendingRun {
  run: StageRun
  waiting: WaitingCall
}

/** Runs the stage calls of one side. */
export class StageRunner {
  private readonly pending = new Map<WaitingCall, PendingRun>()
  private readonly times = new RecentTimesByKey()
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
      meanServiceMs: this.times.of(ALL_CALLS).mean(),
      draining: this.options.side.draining,
    }
  }

  /** Runs, joins or replays a call and returns its one reply. */
  async run(call: StageCall, onToken?: TokenListener): Promise<StageReply> {
    const key = stageKey(call.identity)
    if (call.identity.sideIncarnation !== this.options.side.incarnation)
      return this.refuse(call, RefusalReason.OtherIncarnation)
    const existing = this.options.table.find(key)
    if (existing)
      return this.join(existing, onToken)
    const spent = this.options.table.spentKey(key)
    if (spent)
      return spent.started ? this.fail(call, FailureReason.Cancelled, 'the result of this call was dropped') : this.refuse(call, RefusalReason.Cancelled)
    const refusal = this.options.side.refusal(call)
    if (refusal)
      return this.refuse(call, refusal)
    return this.enqueue(call, onToken)
  }

  /** Stops a call, or forbids it where it has not come yet. */
  cancel(key: string): CancelReply {
    const run = this.options.table.find(key)
    if (!run) {
      const spent = this.options.table.spentKey(key)
      if (!spent)
        this.options.table.forbid(key)
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

  private join(run: StageRun, onToken?: TokenListener): Promise<StageReply> {
    this.options.decisions.record('join', run.call.identity.requestId, { stage: run.call.identity.stage, attempt: run.call.identity.attempt, finished: run.finished !== undefined })
    listen(run, onToken)
    return run.reply
  }

  private enqueue(call: StageCall, onToken?: TokenListener): Promise<StageReply> {
    const now = performance.now()
    const waiting: WaitingCall = { call, arrivedAt: now, finishBy: now + call.budgetMs, expectedServiceMs: this.expectedServiceMs(call) }
    const refusal = this.options.queue.offer(waiting, { now, running: this.running, slots: this.options.slots })
    if (refusal)
      return Promise.resolve(this.refuse(call, refusal))
    const run = this.options.table.open(call)
    listen(run, onToken)
    this.pending.set(waiting, { run, waiting })
    this.startNext()
    return run.reply
  }

  /** Starts waiting calls while slots are free. */
  private startNext(): void {
    while (this.running < this.options.slots) {
      const { next, late } = this.options.queue.take(performance.now())
      for (const waiting of late)
        this.refuseWaiting(this.pending.get(waiting)!.run, RefusalReason.Late)
      if (!next)
        return
      const { run } = this.pending.get(next)!
      this.pending.delete(next)
      void this.execute(run, next)
    }
  }

  private async execute(run: StageRun, waiting: WaitingCall): Promise<void> {
    this.running++
    run.started = true
    const startedAt = performance.now()
    const deadline = setTimeout(() => run.abort.abort(), Math.max(0, waiting.finishBy - startedAt))
    const onToken = (text: string): void => publishToken(run, text)
    const streaming = run.listeners.size > 0
    const result = await this.options.backend.run(run.call, run.abort.signal, streaming ? onToken : undefined)
    clearTimeout(deadline)
    const serviceMs = performance.now() - startedAt
    this.running--
    if (result.outcome === BackendOutcome.Done)
      this.recordTime(run.call, serviceMs)
    const reply = this.createReply(run, result, startedAt - waiting.arrivedAt, serviceMs)
    this.options.metrics.recordStage(run.call, reply, serviceMs)
    this.options.table.finish(run, reply)
    this.startNext()
  }

  private createReply(run: StageRun, result: BackendResult, queueMs: number, serviceMs: number): StageReply {
    const base = this.replyBase(run.call)
    switch (result.outcome) {
      case BackendOutcome.Done:
        return { ...base, kind: StageReplyKind.Done, output: result.output, status: result.status, contentType: result.contentType, tokens: result.tokens, queueMs, serviceMs }
      case BackendOutcome.Refused:
        run.started = false
        return { ...base, kind: StageReplyKind.Refused, reason: RefusalReason.BackendRefused, retryAfterMs: MINIMUM_RETRY_AFTER_MS }
      case BackendOutcome.Failed:
        return { ...base, kind: StageReplyKind.Failed, reason: FailureReason.BackendFailed, message: result.message, serviceMs }
      case BackendOutcome.Lost:
        return { ...base, kind: StageReplyKind.Failed, reason: FailureReason.BackendLost, message: result.message, serviceMs }
      case BackendOutcome.Truncated:
        return { ...base, kind: StageReplyKind.Failed, reason: FailureReason.Truncated, message: result.message, serviceMs }
      case BackendOutcome.Stopped: {
        const reason = run.cancelled ? FailureReason.Cancelled : FailureReason.BudgetExceeded
        return { ...base, kind: StageReplyKind.Failed, reason, message: result.message, serviceMs }
      }
    }
  }

  private refuse(call: StageCall, reason: RefusalReason): StageReply {
    const retryAfterMs = Math.max(MINIMUM_RETRY_AFTER_MS, this.expectedDrainMs())
    this.options.decisions.record('refuse', call.identity.requestId, { stage: call.identity.stage, attempt: call.identity.attempt, reason, queued: this.options.queue.size, running: this.running, budgetMs: call.budgetMs })
    this.options.metrics.recordRefusal(reason)
    // A copy of the call that is still on its way must not run after this refusal.
    if (reason !== RefusalReason.OtherIncarnation)
      this.options.table.forbid(stageKey(call.identity))
    return { ...this.replyBase(call), kind: StageReplyKind.Refused, reason, retryAfterMs }
  }

  private fail(call: StageCall, reason: FailureReason, message: string): StageReply {
    return { ...this.replyBase(call), kind: StageReplyKind.Failed, reason, message, serviceMs: 0 }
  }

  private refuseWaiting(run: StageRun, reason: RefusalReason): void {
    for (const [waiting, pending] of this.pending) {
      if (pending.run !== run)
        continue
      this.options.queue.remove(waiting)
      this.pending.delete(waiting)
      this.options.table.finish(run, this.refuse(run.call, reason))
      return
    }
  }

  private replyBase(call: StageCall): { identity: StageCall['identity'], offset: number, load: Load } {
    return { identity: { ...call.identity, sideIncarnation: this.options.side.incarnation }, offset: this.options.side.offset, load: this.load() }
  }

  private expectedServiceMs(call: StageCall): number {
    return this.times.of(timesKey(call)).median()
  }

  private recordTime(call: StageCall, serviceMs: number): void {
    this.times.of(timesKey(call)).add(serviceMs)
    this.times.of(ALL_CALLS).add(serviceMs)
  }

  /** Time until the work at hand is done. */
  private expectedDrainMs(): number {
    const mean = this.times.of(ALL_CALLS).mean()
    return (mean * (this.running + this.options.queue.size)) / this.options.slots
  }
}

/** Key of the times of all calls together. */
const ALL_CALLS = ''

function timesKey(call: StageCall): string {
  return `${call.identity.stage}/${call.model ?? ''}/${call.maxTokens}`
}

function listen(run: StageRun, onToken?: TokenListener): void {
  if (!onToken)
    return
  run.tokens.forEach((text, index) => onToken(index, text))
  if (!run.finished)
    run.listeners.add(onToken)
}

function publishToken(run: StageRun, text: string): void {
  const index = run.tokens.push(text) - 1
  for (const listener of run.listeners)
    listener(index, text)
}
