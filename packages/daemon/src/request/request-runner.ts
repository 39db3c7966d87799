/**
 * Runs the stages of one request in order, from its plan to its one answer, and
 * ends it at its deadline or when its caller has gone.
 *
 * Relies on `stages/stage-caller.ts` for each stage and on
 * `stages/stage-budget.ts` for the time that a stage may use. State: recent
 * times of each target's stages, in memory; a restarted entry reserves no time
 * for later stages until it has run some.
 */
import type { RequestError } from '@eidermast/common'
import type { RequestAnswer, StageReport, WholeAnswer } from '../connection/answer.js'
import type { IncomingRequest } from './incoming-request.js'
import type { PlannedStage } from './plan.js'
import type { RequestMetrics } from './request-metrics.js'
import type { StageBudgetPolicy } from './stages/stage-budget.js'
import type { StageCaller } from './stages/stage-caller.js'
import type { RequestProgress, StageTask } from './stages/stage-task.js'
import { createError, ErrorKind, RecentTimesByKey } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import { remainingMs } from './incoming-request.js'
import { formatStageInput } from './stages/stage-input.js'
import { describeProgress } from './stages/stage-task.js'

/** Parts of a request runner. */
export interface RequestRunnerOptions {
  stageCaller: StageCaller
  stageBudget: StageBudgetPolicy
  metrics: RequestMetrics
}

/** Quantile of a later stage's recent times that is kept free for it. The median would leave half of them too little. */
const RESERVED_QUANTILE = 0.9
/** Characters of the input that stand for its prompt prefix. Half joins unlike prompts, twice parts like ones. */
const PREFIX_LENGTH = 64

/** Runs requests for one entry. */
export class RequestRunner {
  private readonly times = new RecentTimesByKey()

  constructor(private readonly options: RequestRunnerOptions) {}

  /** Runs a request to its answer. Returns at once when its deadline passes or its caller goes. */
  async run(request: IncomingRequest, requestId: string): Promise<RequestAnswer> {
    const over = new AbortController()
    const end = (): void => over.abort()
    const timer = setTimeout(end, Math.max(0, remainingMs(request)))
    request.callerGone.addEventListener('abort', end)
    if (request.callerGone.aborted)
      end()
    const answer = await this.runStages(request, requestId, over.signal)
    clearTimeout(timer)
    request.callerGone.removeEventListener('abort', end)
    return answer
  }

  private async runStages(request: IncomingRequest, requestId: string, signal: AbortSignal): Promise<RequestAnswer> {
    const { plan } = request
    const progress: RequestProgress = { started: false, inDoubt: false, pending: false }
    const stages: StageReport[] = []
    let previous: WholeAnswer | undefined
    for (const [index, stage] of plan.stages.entries()) {
      const task = this.createTask(request, index, previous?.output, { requestId, progress, signal })
      const result = await this.options.stageCaller.run(task)
      if (result.isErr()) {
        this.recordCost(stages, true)
        return Err(request.callerGone.aborted ? createCancelledError(progress) : result.error)
      }
      const { reply, report } = result.value
      this.times.of(timesKey(plan.target, stage)).add(report.milliseconds)
      stages.push(report)
      previous = { requestId, output: reply.output, stages, status: reply.status, contentType: reply.contentType }
    }
    this.recordCost(stages, false)
    return previous ? Ok(previous) : Err(createError(ErrorKind.Internal, 'The pipeline has no stage; publish its template again.'))
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
      prefixKey: `${account}/${plan.target}/${body.slice(0, PREFIX_LENGTH)}`,
      unrepeatable: plan.unrepeatable,
      budgetMs: () => this.options.stageBudget.budgetMs(remainingMs(request), this.reservedFor(plan.target, later)),
      // Only the last stage's tokens are the caller's answer.
      onToken: later.length === 0 ? request.onToken : undefined,
    }
  }

  private reservedFor(target: string, stages: readonly PlannedStage[]): number[] {
    return stages.map(stage => this.times.of(timesKey(target, stage)).quantile(RESERVED_QUANTILE))
  }

  /** Stages of a request that ends without an answer were run in vain. */
  private recordCost(reports: readonly StageReport[], wasted: boolean): void {
    for (const report of reports)
      this.options.metrics.recordCost(report.stage, report.cost, wasted)
  }
}

function createCancelledError(progress: RequestProgress): RequestError {
  return createError(ErrorKind.Cancelled, 'The caller closed the connection before the answer.', { ran: describeProgress(progress) })
}

function timesKey(target: string, stage: PlannedStage): string {
  return `${target}/${stage.name}`
}
