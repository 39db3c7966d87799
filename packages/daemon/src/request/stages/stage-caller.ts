/**
 * Runs one stage of a request: chooses a backend server, calls it, and calls
 * again where that is safe, within the retry limits and the deadline.
 */
import type { EjectionPolicy, RequestError } from '@eidermast/common'
import type { Result } from 'ts-results-es'
import type { StageReport } from '../../connection/answer.js'
import type { LinkResult, LinkTokenListener } from '../../connection/link-call.js'
import type { DoneReply, FailedReply, RefusedReply, StageCall } from '../../connection/messages.js'
import type { Priority } from '../../version/objects.js'
import type { DecisionRecorder } from '../decision-recorder.js'
import type { PlannedStage } from '../plan.js'
import type { RequestMetrics } from '../request-metrics.js'
import type { ChoicePolicy } from './choice.js'
import type { LinkedBackend, LinkedBackends } from './linked-backends.js'
import type { RetryPolicy } from './retry.js'
import { createError, ErrorKind, Ran, wait } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import { LinkOutcome } from '../../connection/link-call.js'
import { answersCall, FailureReason, RefusalReason, StageReplyKind } from '../../connection/messages.js'

/** What of a request has run, as far as its entry knows. */
export interface RequestProgress {
  /** A stage has provably started. */
  started: boolean
  /** A call that was given up without a reply may have started. */
  inDoubt: boolean
  /** A call is under way. */
  pending: boolean
}

/** What is known of work done. */
export function describeProgress(progress: RequestProgress): Ran {
  if (progress.started)
    return Ran.Part
  return progress.inDoubt || progress.pending ? Ran.Unknown : Ran.None
}

/** One stage of one request, as the caller of the stage sees it. */
export interface StageTask {
  account: string
  requestId: string
  stage: PlannedStage
  input: string
  priority: Priority
  prefixKey: string
  unrepeatable: boolean
  progress: RequestProgress
  /** Time left for this stage, in milliseconds, at any moment. */
  budgetMs: () => number
  /** Aborts when the request is over for whatever reason. */
  signal: AbortSignal
  onToken?: LinkTokenListener
}

/** The result of a stage. */
export interface StageSuccess {
  reply: DoneReply
  report: StageReport
}

/** Parts of a stage caller. */
export interface StageCallerOptions {
  entryIncarnation: string
  failureDomain: string
  membership: LinkedBackends
  choice: ChoicePolicy
  ejection: EjectionPolicy
  retry: RetryPolicy
  decisions: DecisionRecorder
  metrics: RequestMetrics
  /** Offset of the configuration in force. */
  offset: () => number
}

/** Wait before an unrepeatable call is asked for again after its reply was lost, in milliseconds. */
const ASK_AGAIN_MS = 50

/** Refusals that say that the pool is short of capacity, not that this server is leaving. */
const CAPACITY_REFUSALS = new Set([RefusalReason.Full, RefusalReason.Late])

/** Members that a stage was tried on. */
interface TriedMembers {
  refused: Set<LinkedBackend>
  failed: Set<LinkedBackend>
}

interface Attempt {
  member: LinkedBackend
  call: StageCall
  number: number
  startedAt: number
}

/** Runs stages for one entry. */
export class StageCaller {
  constructor(private readonly options: StageCallerOptions) {}

  /** Runs a stage to its result or its final error. */
  async run(task: StageTask): Promise<Result<StageSuccess, RequestError>> {
    const startedAt = performance.now()
    const tried: TriedMembers = { refused: new Set(), failed: new Set() }
    let lastRefusal: RefusedReply | undefined
    this.options.retry.recordCall()
    for (let number = 1; ; number++) {
      const budgetMs = task.budgetMs()
      if (task.signal.aborted || budgetMs <= 0)
        return Err(createError(ErrorKind.DeadlineExceeded, 'The deadline has passed; send the request again with a longer one.', { ran: describeProgress(task.progress) }))
      const member = this.choose(task, tried, number)
      if (!member)
        return Err(this.describeNoBackend(task, lastRefusal))
      const attempt = this.createAttempt(task, member, number, budgetMs)
      const result = await this.send(task, attempt)
      const success = this.takeSuccess(task, attempt, result, startedAt)
      if (success)
        return Ok(success)
      if (result.outcome === LinkOutcome.Replied && result.reply.kind === StageReplyKind.Refused)
        lastRefusal = result.reply
      const group = isProvablyNotRun(result) ? tried.refused : tried.failed
      group.add(member)
      const failure = this.takeFailure(task, attempt, result)
      if (failure)
        return Err(failure)
    }
  }

  private choose(task: StageTask, tried: TriedMembers, number: number): LinkedBackend | undefined {
    const { membership, ejection, choice, failureDomain, decisions } = this.options
    const inForce = membership.candidates(task.stage)
    const candidates = leaveOutTried(ejection.filter(inForce), tried)
    const chosen = candidates.length === 0
      ? undefined
      : choice.choose(candidates, { priority: task.priority, failureDomain, prefixKey: task.prefixKey })
    decisions.record('choose', task.requestId, {
      stage: task.stage.name,
      attempt: number,
      chosen: chosen?.backendName ?? 'none',
      candidates: candidates.length,
      inForce: inForce.length,
      outstanding: chosen?.outstanding,
      running: chosen?.load?.running,
      budgetMs: task.budgetMs(),
    })
    return chosen
  }

  private createAttempt(task: StageTask, member: LinkedBackend, number: number, budgetMs: number): Attempt {
    const { stage, account, requestId, input, priority } = task
    const { entryIncarnation } = this.options
    const identity = { entryIncarnation, account, requestId, stage: stage.name, attempt: number, sideIncarnation: member.link.incarnation! }
    const { service, model, version, adapter, maxTokens, serviceRequest } = stage
    const call: StageCall = { identity, backend: member.backendName, service, model, version, adapter, priority, budgetMs, maxTokens, input, serviceRequest, offset: this.options.offset() }
    return { member, call, number, startedAt: performance.now() }
  }

  /** Sends a call and keeps account of what may have run. */
  private async send(task: StageTask, attempt: Attempt): Promise<LinkResult> {
    task.progress.pending = true
    const result = task.unrepeatable ? await this.sendUntilKnown(task, attempt) : await this.sendOnce(task, attempt)
    task.progress.pending = false
    if (result.outcome === LinkOutcome.Lost)
      task.progress.inDoubt = true
    return result
  }

  /** After a lost reply, asks the same process life again: it joins or replays the call. */
  private async sendUntilKnown(task: StageTask, attempt: Attempt): Promise<LinkResult> {
    let result = await this.sendOnce(task, attempt)
    if (result.outcome !== LinkOutcome.Lost)
      return result
    for (;;) {
      await wait(ASK_AGAIN_MS, task.signal)
      const { incarnation } = attempt.member.link
      const otherLife = incarnation !== attempt.call.identity.sideIncarnation
      if (task.signal.aborted || task.budgetMs() <= 0 || otherLife)
        return { outcome: LinkOutcome.Lost, message: 'the reply was lost' }
      attempt.call.budgetMs = task.budgetMs()
      result = await this.sendOnce(task, attempt)
      if (result.outcome === LinkOutcome.Replied)
        return isOtherIncarnation(result) ? { outcome: LinkOutcome.Lost, message: 'the side is another process life' } : result
    }
  }

  /** Sends one call and stops it when the request is over. */
  private async sendOnce(task: StageTask, attempt: Attempt): Promise<LinkResult> {
    const { link } = attempt.member
    let onAbort!: () => void
    const cancelled = new Promise<LinkResult>((resolve) => {
      onAbort = () => {
        void link.cancel(attempt.call)
        resolve({ outcome: LinkOutcome.Lost, message: 'the request is over' })
      }
    })
    task.signal.addEventListener('abort', onAbort)
    const result = await Promise.race([link.call(attempt.call, task.onToken), cancelled])
    task.signal.removeEventListener('abort', onAbort)
    if (result.outcome === LinkOutcome.Replied && !isOtherIncarnation(result) && !answersCall(attempt.call.identity, result.reply.identity))
      return { outcome: LinkOutcome.Lost, message: 'the reply was for another call' }
    return result
  }

  private takeSuccess(task: StageTask, attempt: Attempt, result: LinkResult, startedAt: number): StageSuccess | undefined {
    if (result.outcome !== LinkOutcome.Replied || result.reply.kind !== StageReplyKind.Done)
      return undefined
    const { reply } = result
    const { ejection, decisions } = this.options
    task.progress.started = true
    attempt.member.link.acknowledge(attempt.call)
    ejection.recordSuccess(attempt.member.backendName, task.stage.service, reply.serviceMs)
    const cost = stageCost(task.stage, reply.serviceMs)
    const milliseconds = performance.now() - startedAt
    decisions.record('done', task.requestId, { stage: task.stage.name, attempt: attempt.number, backend: attempt.member.backendName, queueMs: reply.queueMs, serviceMs: reply.serviceMs, milliseconds })
    return { reply, report: { stage: task.stage.name, backend: attempt.member.backendName, milliseconds, cost, attempts: attempt.number } }
  }

  /** Returns the final error, or undefined where the stage is to be tried again. */
  private takeFailure(task: StageTask, attempt: Attempt, result: LinkResult): RequestError | undefined {
    const cause = describeCause(result)
    this.options.decisions.record('failed', task.requestId, { stage: task.stage.name, attempt: attempt.number, backend: attempt.member.backendName, cause })
    if (result.outcome === LinkOutcome.Replied && result.reply.kind === StageReplyKind.Failed)
      this.recordWaste(task, attempt, result.reply)
    const safe = isProvablyNotRun(result)
    if (!safe)
      this.recordEjectionSign(task, attempt)
    if (!safe && task.unrepeatable)
      return this.describeUnrepeatable(task, result)
    if (!safe && task.onToken)
      return createError(ErrorKind.StageFailed, `Stage ${task.stage.name} failed while it was streamed; send the request again.`, { ran: describeProgress(task.progress) })
    if (task.signal.aborted || task.budgetMs() <= 0)
      return createError(ErrorKind.DeadlineExceeded, 'The deadline has passed; send the request again with a longer one.', { ran: describeProgress(task.progress) })
    if (!this.options.retry.take(attempt.number))
      return this.describeGivenUp(task, result)
    this.options.metrics.recordRetry(task.stage.name, cause)
    return undefined
  }

  private recordEjectionSign(task: StageTask, attempt: Attempt): void {
    const { backendName } = attempt.member
    // A call that ended with its request says nothing, unless it had run far too long.
    if (task.signal.aborted)
      this.options.ejection.recordAbandoned(backendName, task.stage.service, performance.now() - attempt.startedAt)
    else
      this.options.ejection.recordFailure(backendName)
  }

  private recordWaste(task: StageTask, attempt: Attempt, reply: FailedReply): void {
    task.progress.started = true
    attempt.member.link.acknowledge(attempt.call)
    this.options.metrics.recordCost(task.stage.name, stageCost(task.stage, reply.serviceMs), true)
  }

  private describeUnrepeatable(task: StageTask, result: LinkResult): RequestError {
    const ran = describeProgress(task.progress)
    if (result.outcome === LinkOutcome.Replied && ran === Ran.Part)
      return createError(ErrorKind.StageFailed, `Stage ${task.stage.name} failed, and the request may not be repeated; look at what it did before you send another.`, { ran })
    return createError(ErrorKind.OutcomeUnknown, `The reply of stage ${task.stage.name} was lost, and the request may not be repeated; look at what it did before you send another.`, { ran: Ran.Unknown })
  }

  private describeGivenUp(task: StageTask, result: LinkResult): RequestError {
    if (result.outcome === LinkOutcome.Replied && result.reply.kind === StageReplyKind.Refused)
      return this.describeNoBackend(task, result.reply)
    return createError(ErrorKind.StageFailed, `Stage ${task.stage.name} failed (${describeCause(result)}); send the request again.`, { ran: describeProgress(task.progress) })
  }

  private describeNoBackend(task: StageTask, refusal: RefusedReply | undefined): RequestError {
    const ran = describeProgress(task.progress)
    if (!refusal || !CAPACITY_REFUSALS.has(refusal.reason))
      return createError(ErrorKind.NoBackend, `No backend server takes work for stage ${task.stage.name}; come back after the given time.`, { ran, retryAfterMs: refusal?.retryAfterMs })
    return createError(ErrorKind.DeadlineUnreachable, `Stage ${task.stage.name} cannot finish within the deadline; come back after the given time or set a longer deadline.`, { ran, retryAfterMs: refusal.retryAfterMs })
  }
}

/** Cost of a stage call, in the operators' own unit. */
export function stageCost(stage: PlannedStage, serviceMs: number): number {
  return stage.costPerCall + stage.costPerMillisecond * serviceMs
}

/** Whether a call has provably not started. */
function isProvablyNotRun(result: LinkResult): boolean {
  if (result.outcome === LinkOutcome.NotSent)
    return true
  return result.outcome === LinkOutcome.Replied && result.reply.kind === StageReplyKind.Refused
}

/** Whether another process life answered than the call was meant for. */
function isOtherIncarnation(result: LinkResult): boolean {
  return result.outcome === LinkOutcome.Replied && result.reply.kind === StageReplyKind.Refused && result.reply.reason === RefusalReason.OtherIncarnation
}

/** Members not tried yet; else those that failed, since another call may succeed there. */
function leaveOutTried(members: LinkedBackend[], tried: TriedMembers): LinkedBackend[] {
  const untried = members.filter(member => !tried.refused.has(member) && !tried.failed.has(member))
  return untried.length > 0 ? untried : members.filter(member => tried.failed.has(member) && !tried.refused.has(member))
}

function describeCause(result: LinkResult): string {
  if (result.outcome !== LinkOutcome.Replied)
    return result.outcome
  return result.reply.kind === StageReplyKind.Done ? FailureReason.Truncated : result.reply.reason
}
