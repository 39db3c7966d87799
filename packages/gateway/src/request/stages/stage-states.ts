/**
 * The progress of the stages of one request: which have started, which have
 * results, and which readers have not fetched them yet. Owned by the request's
 * stage work, with a new instance for each restart; frees results when their last
 * reader has fetched them. Lost with the process, like the stage work itself.
 */
import type { PreparationStage, PreparedInputs, StageProgress } from '../../connection/peers/preparation.js'
import type { StageGraph } from './stage-graph.js'
import type { AdoptedStage } from './stage-progress.js'
import type { StageResult, StageTaskQueueLookup, SubmittedTask } from './stage-task.js'

interface StageState {
  results: StageResult[] | undefined
  started: boolean
  /** When it started, on the monotonic clock in milliseconds. */
  startedAt: number
  /** Stages that read the results and have not fetched them yet. */
  readersLeft: number
  /** Whether its own inputs have been fetched. */
  hasInputs: boolean
  task: SubmittedTask | undefined
}

/** The states of all stages, by their index in the route. */
export class StageStates {
  private readonly states: StageState[]

  constructor(
    private readonly stages: readonly PreparationStage[],
    private readonly graph: StageGraph,
    private readonly queueOf: StageTaskQueueLookup,
  ) {
    this.states = stages.map((_, stage) => ({
      results: undefined,
      started: false,
      startedAt: 0,
      readersLeft: graph.readersOf(stage).length,
      hasInputs: false,
      task: undefined,
    }))
  }

  get isDone(): boolean {
    return this.states.every(state => state.results)
  }

  /** Whether there is a stage whose items without a result are all in flight. */
  get hasStageInFlight(): boolean {
    return this.states.some(state => state.task?.isInFlight())
  }

  hasResults(stage: number): boolean {
    return this.states[stage]?.results !== undefined
  }

  /** Whether a stage has not started and everything that it depends on is complete. */
  isReady(stage: number): boolean {
    return !this.states[stage].started && this.stages[stage].dependsOn.every(dependency => this.hasResults(dependency))
  }

  inputsOf(stage: number): StageResult[] {
    return this.stages[stage].dependsOn.flatMap(dependency => this.states[dependency].results ?? [])
  }

  /** Marks stages as complete that an earlier coordinator has finished. */
  adopt(adopted: readonly AdoptedStage[]): void {
    for (const { stage, results } of adopted) {
      this.markStarted(stage)
      this.states[stage].results = results
    }
    for (const { stage } of adopted)
      this.markFetched(stage)
  }

  markStarted(stage: number): void {
    this.states[stage].started = true
    this.states[stage].startedAt = performance.now()
  }

  /** Expected time left of a stage's own call, given its total duration `callMs`; 0 if it is complete. */
  remainingMs(stage: number, callMs: number, now: number): number {
    const { results, started, startedAt } = this.states[stage]
    if (results)
      return 0
    return started ? Math.max(0, startedAt + callMs - now) : callMs
  }

  setTask(stage: number, task: SubmittedTask | undefined): void {
    this.states[stage].task = task
  }

  complete(stage: number, results: StageResult[]): void {
    const state = this.states[stage]
    state.results = results
    state.task = undefined
    this.markFetched(stage)
  }

  /** Marks the stage's inputs as fetched; frees those that it was the last to read. */
  markFetched(stage: number): void {
    const state = this.states[stage]
    if (state.hasInputs)
      return
    state.hasInputs = true
    for (const dependency of this.stages[stage].dependsOn) {
      const dependencyState = this.states[dependency]
      dependencyState.readersLeft--
      if (dependencyState.readersLeft === 0)
        this.freeResults(dependency)
    }
  }

  /**
   * Describes the results of the final stages, which the request's backend server
   * reads, and the failure domain that holds most of their bytes; if there are no
   * results, the given domain.
   */
  describeInputs(defaultDomain: string): PreparedInputs {
    const results = this.states.flatMap((state, stage) => this.graph.isFinal(stage) ? state.results ?? [] : [])
    const bytesByDomain = new Map<string, number>()
    for (const { holder, bytes } of results)
      bytesByDomain.set(holder.failureDomain, (bytesByDomain.get(holder.failureDomain) ?? 0) + bytes)
    const domains = [...bytesByDomain].sort(([, left], [, right]) => right - left)
    return {
      handles: results.map(result => result.handle),
      failureDomain: domains[0]?.[0] ?? defaultDomain,
      bytes: results.reduce((sum, result) => sum + result.bytes, 0),
    }
  }

  /** Describes the completed stages for the next coordinator; omits results that all readers have fetched. */
  describeProgress(now: number): StageProgress[] {
    return this.states.flatMap(({ results, readersLeft }, stage) => {
      if (!results)
        return []
      const isRead = readersLeft === 0 && !this.graph.isFinal(stage)
      const kept = isRead ? [] : results
      return [{ stage, results: kept.map(result => describeResult(result, now)) }]
    })
  }

  /** Cancels the tasks and keeps the results. */
  cancelTasks(): void {
    for (const state of this.states)
      state.task?.cancel()
  }

  /** Cancels the tasks and frees all results. */
  freeEverything(): void {
    this.states.forEach((state, stage) => {
      state.task?.cancel()
      state.task = undefined
      this.freeResults(stage)
    })
  }

  private freeResults(stage: number): void {
    const queue = this.queueOf(this.stages[stage].service)
    for (const result of this.states[stage].results ?? [])
      queue?.free(result)
  }
}

function describeResult({ handle, holder, bytes }: StageResult, now: number) {
  return { handle, backend: holder.backend.id, bytes, remainingMs: holder.remainingLifetimeMs(handle, now) }
}
