/**
 * Runs the stages of one request at its coordinator: each stage starts when the
 * stages that it depends on are complete, and results are freed when their last
 * reader has fetched them. Owns the state of the stages from admission until the
 * request releases its results or another coordinator takes over; uses the
 * queues of the services. If the process exits, the requesting gateway asks the
 * next coordinator, which restarts the work, and orphaned results expire at
 * their backend servers.
 */
import type { Result } from 'ts-results-es'
import type { ItemFailure } from '../../connection/backends/stage-client.js'
import type { PreparationFailure, PreparationRequest, PreparedInputs, StageProgress } from '../../connection/peers/preparation.js'
import type { StageResult, StageTask, StageTaskQueueLookup } from './stage-task.js'
import { Err, Ok } from 'ts-results-es'
import { PreparationFailureKind } from '../../connection/peers/preparation.js'
import { partFingerprintsOf } from '../request-fingerprint.js'
import { decideStageDelay } from './stage-delay.js'
import { decideStageFailure, StageFailureDecision } from './stage-failure.js'
import { StageGraph } from './stage-graph.js'
import { adoptProgress } from './stage-progress.js'
import { StageStates } from './stage-states.js'

/**
 * Delay after which a client may retry failed stage work. Limits the rate of
 * retries while backend servers fail.
 */
const RETRY_AFTER_MS = 1000

/** A request whose stages run, and the decisions made on its admission. */
export interface StageWork {
  request: PreparationRequest
  /** Position in the processing order; the lowest goes first. */
  rank: number
  /** Expected time from the end of the stages to the first event, in milliseconds. */
  answerMs: number
}

/** Called once with the result of the stage work. */
export type PreparationListener = (result: Result<PreparedInputs, PreparationFailure>) => void

/** Runs the stages of one request. */
export class RequestStages {
  private states: StageStates
  private restarts = 0
  private ended = false
  private handingOver = false
  /** Retries the start of deferred stages. */
  private delayTimer: NodeJS.Timeout | undefined
  /** Consumed by the first start, because a restart runs every stage. */
  private progress: readonly StageProgress[] | undefined
  private readonly graph: StageGraph
  private readonly targetAt: number
  private readonly deadlineAt: number

  private readonly request: PreparationRequest
  private readonly partFingerprints: readonly string[]
  readonly rank: number
  private readonly answerMs: number

  constructor(
    work: StageWork,
    private readonly queueOf: StageTaskQueueLookup,
    private readonly listener: PreparationListener,
  ) {
    const { request } = work
    this.request = request
    this.partFingerprints = request.service === undefined ? [] : partFingerprintsOf(request.service, request.prompt ?? [])
    this.rank = work.rank
    this.answerMs = work.answerMs
    this.graph = new StageGraph(request.stages)
    this.states = new StageStates(request.stages, this.graph, queueOf)
    this.progress = request.progress
    const now = performance.now()
    this.targetAt = now + request.targetMs
    this.deadlineAt = now + request.deadlineMs
  }

  start(): void {
    const { stages } = this.request
    this.states.adopt(adoptProgress(stages, this.graph, this.progress ?? [], this.queueOf))
    this.progress = undefined
    this.advance()
  }

  /**
   * Hands the work over to another coordinator: immediately, or once the items
   * in flight have their results. Results stay at their backend servers.
   */
  handOver(): void {
    this.handingOver = true
    if (this.ended || this.states.hasStageInFlight)
      return
    const progress = this.states.describeProgress(performance.now())
    this.ended = true
    clearTimeout(this.delayTimer)
    this.states.cancelTasks()
    this.states = new StageStates([], this.graph, this.queueOf)
    this.listener(Err({ kind: PreparationFailureKind.HandedOver, message: 'the stage work is handed over to another coordinator', retryAfterMs: 0, progress }))
  }

  /** Items of a service that have no result yet. */
  remainingItems(service: string): number {
    if (this.ended)
      return 0
    const incomplete = this.request.stages.filter((stage, index) => stage.service === service && !this.states.hasResults(index))
    return incomplete.reduce((sum, stage) => sum + stage.items, 0)
  }

  /** Cancels the work in flight and frees all results. */
  release(): void {
    this.ended = true
    clearTimeout(this.delayTimer)
    this.states.freeEverything()
  }

  private advance(): void {
    for (let stage = 0; stage < this.request.stages.length && !this.ended; stage++) {
      if (this.states.isReady(stage) && !this.deferStart(stage))
        this.startStage(stage)
    }
    if (this.ended || !this.states.isDone)
      return
    this.ended = true
    this.listener(Ok(this.states.describeInputs(this.request.failureDomain)))
  }

  /** Defers the start of a stage if the other stages take longer; returns false if it should start now. */
  private deferStart(stage: number): boolean {
    const now = performance.now()
    const delayMs = decideStageDelay(stage, this.graph, {
      callMs: other => this.callMs(other),
      remainingMs: other => this.states.remainingMs(other, this.callMs(other), now),
    })
    if (delayMs === 0)
      return false
    clearTimeout(this.delayTimer)
    this.delayTimer = setTimeout(() => this.advance(), delayMs)
    return true
  }

  /** Expected duration of a stage's call, in milliseconds. */
  private callMs(stage: number): number {
    const { service, items } = this.request.stages[stage]
    return items === 0 ? 0 : this.queueOf(service)?.typicalCallMs() ?? 0
  }

  private startStage(stage: number): void {
    const { service, items } = this.request.stages[stage]
    const { states } = this
    states.markStarted(stage)
    if (items === 0)
      return states.complete(stage, [])
    const queue = this.queueOf(service)
    if (!queue)
      return this.fail(PreparationFailureKind.NoBackend, `no stage service ${service} in the configuration`)
    // Submitting may restart the stages; the task then belongs to the replaced states.
    states.setTask(stage, queue.submit(this.createTask(stage)))
  }

  private createTask(stage: number): StageTask {
    const { request, graph } = this
    const { service, items, resultBytes, dependsOn } = request.stages[stage]
    return {
      requestId: request.requestId,
      fingerprint: request.fingerprint,
      partFingerprints: this.partFingerprints,
      stage,
      service,
      items,
      resultBytes,
      key: dependsOn.length === 0 ? request.key : undefined,
      inputs: this.states.inputsOf(stage),
      readerDomain: graph.isFinal(stage) ? request.failureDomain : undefined,
      rank: this.rank,
      targetAt: this.targetAt,
      deadlineAt: this.deadlineAt,
      remainingMs: graph.remainingAfter(stage, reader => this.callMs(reader)) + this.answerMs,
      listener: {
        inputsFetched: () => this.states.markFetched(stage),
        completed: results => this.complete(stage, results),
        failed: failure => this.handleFailure(stage, failure),
      },
    }
  }

  private complete(stage: number, results: StageResult[]): void {
    this.states.complete(stage, results)
    if (this.handingOver && !this.states.isDone)
      this.handOver()
    else
      this.advance()
  }

  private handleFailure(stage: number, failure: ItemFailure): void {
    if (this.ended)
      return
    this.states.setTask(stage, undefined)
    const { restarts, handingOver } = this
    switch (decideStageFailure({ failure, restarts, handingOver })) {
      case StageFailureDecision.HandOver:
        return this.handOver()
      case StageFailureDecision.TooLate:
        return this.fail(PreparationFailureKind.TooLate, `stage ${stage} cannot be completed before the deadline`)
      case StageFailureDecision.Abandon:
        return this.fail(PreparationFailureKind.Failed, `stage ${stage} failed: ${failure}`)
      case StageFailureDecision.Restart:
        return this.restart()
    }
  }

  private restart(): void {
    this.restarts++
    this.states.freeEverything()
    this.states = new StageStates(this.request.stages, this.graph, this.queueOf)
    this.start()
  }

  private fail(kind: PreparationFailureKind, message: string): void {
    if (this.ended)
      return
    this.release()
    this.listener(Err({ kind, message, retryAfterMs: RETRY_AFTER_MS }))
  }
}
