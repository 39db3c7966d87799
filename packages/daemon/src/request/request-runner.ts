/**
 * Runs the stages of a request in order and ends the request at its deadline or
 * when its caller disconnects.
 *
 * `stages/stage-caller.ts` runs each stage and `stages/stage-budget.ts` determines
 * how much time it may use. State: recent durations of the stages of each target,
 * in memory. A restarted entry reserves no time for later stages until it has run
 * them.
 */
import type { RequestError } from '@eidermast/common'
import type { RequestAnswer, StageReport, SuccessfulAnswer } from '../connection/answer.js'
import type { IncomingRequest } from './incoming-request.js'
import type { PlannedStage } from './plan.js'
import type { RequestMetrics } from './request-metrics.js'
import type { StageBudgetPolicy } from './stages/stage-budget.js'
import type { StageCaller } from './stages/stage-caller.js'
import type { RequestProgress, StageTask } from './stages/stage-task.js'
import { createError, DurationWindowsByKey, ErrorKind } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import { remainingMs } from './incoming-request.js'
import { formatStageInput } from './stages/stage-input.js'
import { describeProgress } from './stages/stage-task.js'

/** Dependencies of a request runner. */
export interface RequestRunnerOptions {
  stageCaller: StageCaller
  stageBudget: StageBudgetPolicy
  metrics: RequestMetrics
}

/** Quantile of recent durations reserved for later stages: nine of ten of their runs fit into the reserved time. */
const RESERVED_QUANTILE = 0.9
/**
 * Characters at the start of the input that identify its prompt prefix: enough to distinguish prompts
 * with different prefixes without separating those that share one.
 */
const PREFIX_KEY_LENGTH = 64

/** Runs requests at one entry. */
export class RequestRunner {
  private readonly times = new DurationWindowsByKey()

  constructor(private readonly options: RequestRunnerOptions) {}

  /** Runs a request. Returns immediately when its deadline passes or its caller disconnects. */
  async run(request: IncomingRequest, requestId: string): Promise<RequestAnswer> {
    const abortController = new AbortController()
    const end = (): void => abortController.abort()
    const timer = setTimeout(end, Math.max(0, remainingMs(request)))
    request.callerSignal.addEventListener('abort', end)
    if (request.callerSignal.aborted)
      end()
    const answer = await this.runStages(request, requestId, abortController.signal)
    clearTimeout(timer)
    request.callerSignal.removeEventListener('abort', end)
    return answer
  }

  private async runStages(request: IncomingRequest, requestId: string, signal: AbortSignal): Promise<RequestAnswer> {
    const { plan } = request
    const progress: RequestProgress = { started: false, inDoubt: false, pending: false }
    const stages: StageReport[] = []
    let previous: SuccessfulAnswer | undefined
    for (const [index, stage] of plan.stages.entries()) {
      const task = this.createTask(request, index, previous?.output, { requestId, progress, signal })
      const result = await this.options.stageCaller.run(task)
      if (result.isErr()) {
        this.recordCost(stages, true)
        return Err(request.callerSignal.aborted ? createCancelledError(progress) : result.error)
      }
      const { reply, report } = result.value
      this.times.of(timesKey(plan.target, stage)).add(report.milliseconds)
      stages.push(report)
      previous = { requestId, output: reply.output, stages, status: reply.status, contentType: reply.contentType }
    }
    this.recordCost(stages, false)
    return previous ? Ok(previous) : Err(createError(ErrorKind.Internal, 'The pipeline has no stages; publish its template again.'))
  }

  private createTask(
    request: IncomingRequest,
    index: number,
    previous: string | undefined,
    shared: Pick<StageTask, 'requestId' | 'progress' | 'signal'>,
  ): StageTask {
    const { account, plan, body } = request
    const stage = plan.stages[index]
    const later = plan.stages.slice(index + 1)
    return {
      ...shared,
      account,
      stage,
      input: stage.serviceRequest ? body : formatStageInput(body, previous),
      priority: plan.priority,
      prefixKey: `${account}/${plan.target}/${body.slice(0, PREFIX_KEY_LENGTH)}`,
      unrepeatable: plan.unrepeatable,
      budgetMs: () => this.options.stageBudget.budgetMs(remainingMs(request), this.reservedFor(plan.target, later)),
      // Only the tokens of the last stage are part of the answer.
      onToken: later.length === 0 ? request.onToken : undefined,
    }
  }

  private reservedFor(target: string, stages: readonly PlannedStage[]): number[] {
    return stages.map(stage => this.times.of(timesKey(target, stage)).quantile(RESERVED_QUANTILE))
  }

  /** Records the cost of stages, which is wasted if the request failed. */
  private recordCost(reports: readonly StageReport[], wasted: boolean): void {
    for (const report of reports)
      this.options.metrics.recordCost(report.stage, report.cost, wasted)
  }
}

function createCancelledError(progress: RequestProgress): RequestError {
  return createError(ErrorKind.Cancelled, 'The caller closed the connection before it was answered.', { ran: describeProgress(progress) })
}

function timesKey(target: string, stage: PlannedStage): string {
  return `${target}/${stage.name}`
}
