/**
 * Runs one stage of a request: selects a backend server, calls it and retries
 * failed calls as decided by `stage-failure.ts`. Reports the result of each call
 * to ejection, the retry policy and metrics.
 *
 * `choice.ts`, `tried-backends.ts`, `return-wait.ts`, `stage-failure.ts` and
 * `retry.ts` make the decisions; `stage-attempt.ts` performs the call. Log events:
 * `choose`, `wait-for-backend`, `done`, `failed`; `eidermast explain` shows them.
 *
 * State: none beyond the running stage; the policies have their own. If the
 * process dies, its running requests end when the callers' connections close.
 */
import type { EjectionPolicy, RequestError } from '@eidermast/common'
import type { Result } from 'ts-results-es'
import type { LinkResult } from '../../connection/link-call.js'
import type { DoneReply, FailedReply, RefusedReply, StageCall } from '../../connection/messages.js'
import type { DecisionRecorder } from '../decision-recorder.js'
import type { PlannedStage } from '../plan.js'
import type { RequestMetrics } from '../request-metrics.js'
import type { ChoicePolicy } from './choice.js'
import type { LinkedBackend, LinkedBackends } from './linked-backends.js'
import type { RetryPolicy } from './retry.js'
import type { StageAttempt } from './stage-attempt.js'
import type { FailureDecision } from './stage-failure.js'
import type { StageSuccess, StageTask } from './stage-task.js'
import { wait } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import { LinkOutcome } from '../../connection/link-call.js'
import { StageReplyKind } from '../../connection/messages.js'
import { describeCause, isProvablyNotRun } from './call-result.js'
import { shouldWaitForReturn } from './return-wait.js'
import { sendAttempt } from './stage-attempt.js'
import { createDeadlineError, createNoBackendError, decideOnFailure, FailureStep } from './stage-failure.js'
import { describeProgress, hasEnded } from './stage-task.js'
import { TriedBackends } from './tried-backends.js'

/** Dependencies of a stage caller. */
export interface StageCallerOptions {
  entryIncarnation: string
  failureDomain: string
  membership: LinkedBackends
  choice: ChoicePolicy
  ejection: EjectionPolicy
  retry: RetryPolicy
  decisions: DecisionRecorder
  metrics: RequestMetrics
  /** Offset of the active configuration. */
  offset: () => number
}

/** Interval at which a waiting stage looks for a backend server; short compared with the time that a lost connection takes to reopen. */
const RETURN_POLL_INTERVAL_MS = 20

/** Runs stages of requests at one entry. */
export class StageCaller {
  constructor(private readonly options: StageCallerOptions) {}

  /** Runs a stage until it succeeds or no further attempt is allowed. */
  async run(task: StageTask): Promise<Result<StageSuccess, RequestError>> {
    const startedAt = performance.now()
    const tried = new TriedBackends()
    let latestRefusal: RefusedReply | undefined
    this.options.retry.recordFirstCall()
    for (let number = 1; ; number++) {
      if (hasEnded(task))
        return Err(createDeadlineError(describeProgress(task.progress)))
      const backend = this.choose(task, tried, number) ?? await this.awaitBackend(task, tried, number)
      if (!backend)
        return Err(this.createUnservedError(task, latestRefusal))
      const attempt = this.createAttempt(task, backend, number)
      const result = await sendAttempt(task, attempt)
      if (result.outcome === LinkOutcome.Replied && result.reply.kind === StageReplyKind.Done)
        return Ok(this.handleSuccess(task, attempt, result.reply, startedAt))
      latestRefusal = findRefusal(result) ?? latestRefusal
      tried.add(backend, result)
      const decision = this.handleFailure(task, attempt, result)
      if (decision.step === FailureStep.Fail)
        return Err(decision.error)
    }
  }

  /** Creates the error of a stage without a backend server to call. Its request may have ended while it waited for one. */
  private createUnservedError(task: StageTask, latestRefusal: RefusedReply | undefined): RequestError {
    const ran = describeProgress(task.progress)
    return hasEnded(task) ? createDeadlineError(ran) : createNoBackendError(task.stage.name, latestRefusal, ran)
  }

  /** Waits until a backend server returns; undefined if none does, or if the stage must not wait. */
  private async awaitBackend(task: StageTask, tried: TriedBackends, attempt: number): Promise<LinkedBackend | undefined> {
    const startedAt = performance.now()
    const shouldWait = (): boolean => shouldWaitForReturn({
      ran: describeProgress(task.progress),
      mayReturn: this.options.membership.mayReturn(task.stage),
      waitedMs: performance.now() - startedAt,
      ended: hasEnded(task),
    })
    if (!shouldWait())
      return undefined
    this.options.decisions.record('wait-for-backend', task.requestId, { stage: task.stage.name, attempt, budgetMs: task.budgetMs() })
    while (shouldWait() && this.findCandidates(task, tried).length === 0)
      await wait(RETURN_POLL_INTERVAL_MS, task.signal)
    return hasEnded(task) ? undefined : this.choose(task, tried, attempt)
  }

  /** Returns the backend servers that the stage can be tried on next. */
  private findCandidates(task: StageTask, tried: TriedBackends): LinkedBackend[] {
    const { membership, ejection } = this.options
    return tried.select(ejection.filter(membership.candidates(task.stage)))
  }

  private choose(task: StageTask, tried: TriedBackends, attempt: number): LinkedBackend | undefined {
    const { membership, choice, failureDomain, decisions } = this.options
    const available = membership.candidates(task.stage)
    const candidates = this.findCandidates(task, tried)
    const context = { priority: task.priority, failureDomain, prefixKey: task.prefixKey }
    const chosen = candidates.length === 0 ? undefined : choice.choose(candidates, context)
    decisions.record('choose', task.requestId, {
      stage: task.stage.name,
      attempt,
      chosen: chosen?.backendName ?? 'none',
      candidates: candidates.length,
      inForce: available.length,
      outstanding: chosen?.outstanding,
      running: chosen?.load?.running,
      budgetMs: task.budgetMs(),
    })
    return chosen
  }

  private createAttempt(task: StageTask, backend: LinkedBackend, number: number): StageAttempt {
    const { stage, account, requestId, input, priority } = task
    const { service, model, version, adapter, maxTokens, serviceRequest } = stage
    const call: StageCall = {
      identity: {
        entryIncarnation: this.options.entryIncarnation,
        account,
        requestId,
        stage: stage.name,
        attempt: number,
        sideIncarnation: backend.link.incarnation!,
      },
      backend: backend.backendName,
      service,
      model,
      version,
      adapter,
      priority,
      budgetMs: task.budgetMs(),
      maxTokens,
      input,
      serviceRequest,
      offset: this.options.offset(),
    }
    return { backend, call, number, startedAt: performance.now() }
  }

  private handleSuccess(task: StageTask, attempt: StageAttempt, reply: DoneReply, startedAt: number): StageSuccess {
    const { backendName, link } = attempt.backend
    const stage = task.stage.name
    const { queueMs, serviceMs } = reply
    task.progress.started = true
    link.acknowledge(attempt.call)
    this.options.ejection.recordSuccess(backendName, task.stage.service, serviceMs)
    const milliseconds = performance.now() - startedAt
    const done = { stage, attempt: attempt.number, backend: backendName, queueMs, serviceMs, milliseconds }
    this.options.decisions.record('done', task.requestId, done)
    const cost = stageCost(task.stage, serviceMs)
    return { reply, report: { stage, backend: backendName, milliseconds, cost, attempts: attempt.number } }
  }

  private handleFailure(task: StageTask, attempt: StageAttempt, result: LinkResult): FailureDecision {
    const stage = task.stage.name
    const cause = describeCause(result)
    const error = result.outcome === LinkOutcome.Replied ? undefined : result.message
    const failed = { stage, attempt: attempt.number, backend: attempt.backend.backendName, cause, error }
    this.options.decisions.record('failed', task.requestId, failed)
    if (result.outcome === LinkOutcome.Replied && result.reply.kind === StageReplyKind.Failed)
      this.recordWastedCost(task, attempt, result.reply)
    if (!isProvablyNotRun(result))
      this.reportToEjection(task, attempt)
    const decision = decideOnFailure({
      stageName: stage,
      attempt: attempt.number,
      result,
      unrepeatable: task.unrepeatable,
      streamed: task.onToken !== undefined,
      ended: hasEnded(task),
      ran: describeProgress(task.progress),
    }, this.options.retry)
    if (decision.step === FailureStep.Retry)
      this.options.metrics.recordRetry(stage, cause)
    return decision
  }

  private reportToEjection(task: StageTask, attempt: StageAttempt): void {
    const { backendName } = attempt.backend
    // A call that was cancelled with its request says nothing about the backend server unless it had run far too long.
    if (task.signal.aborted)
      this.options.ejection.recordCancelled(backendName, task.stage.service, performance.now() - attempt.startedAt)
    else
      this.options.ejection.recordFailure(backendName)
  }

  private recordWastedCost(task: StageTask, attempt: StageAttempt, reply: FailedReply): void {
    task.progress.started = true
    attempt.backend.link.acknowledge(attempt.call)
    this.options.metrics.recordCost(task.stage.name, stageCost(task.stage, reply.serviceMs), true)
  }
}

/** Cost of a stage call in an operator-defined unit. */
function stageCost(stage: PlannedStage, serviceMs: number): number {
  return stage.costPerCall + stage.costPerMillisecond * serviceMs
}

function findRefusal(result: LinkResult): RefusedReply | undefined {
  if (result.outcome !== LinkOutcome.Replied || result.reply.kind !== StageReplyKind.Refused)
    return undefined
  return result.reply
}
