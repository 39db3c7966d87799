/**
 * The stage work of one request: each stage begins when those that it depends
 * on are done, and a result is given up when its last reader has fetched it.
 */
import type { Result } from 'ts-results-es'
import type { PreparationFailure, PreparationRequest, PreparedInputs } from './preparation.js'
import type { CommittedWork } from './stage-admission.js'
import type { StagePool } from './stage-pool.js'
import type { StageResult } from './stage-task.js'
import { Err, Ok } from 'ts-results-es'
import { PreparationFailureKind } from './preparation.js'
import { ANSWER_TIME_MS } from './stage-admission.js'
import { PieceFailure } from './stage-client.js'

/** How often a request's stage work begins anew after a lost result. */
const MOST_RESTARTS = 2
const RETRY_AFTER_MS = 1000

interface StageState {
  results: StageResult[] | undefined
  begun: boolean
  /** Stages that read the results and have not fetched them. */
  readersLeft: number
  freed: boolean
  cancel: (() => void) | undefined
}

/** Called once with how the stage work ended. */
export type PreparationListener = (result: Result<PreparedInputs, PreparationFailure>) => void

/** Runs the stages of one request. */
export class PreparationRun implements CommittedWork {
  private states: StageState[] = []
  private restarts = 0
  private ended = false
  private readonly targetAt: number
  private readonly deadlineAt: number

  constructor(
    private readonly request: PreparationRequest,
    readonly rank: number,
    private readonly poolOf: (service: string) => StagePool | undefined,
    private readonly listener: PreparationListener,
    now = performance.now(),
  ) {
    this.targetAt = now + request.targetMs
    this.deadlineAt = now + request.deadlineMs
  }

  start(): void {
    this.states = this.request.stages.map(() => ({ results: undefined, begun: false, readersLeft: 0, freed: false, cancel: undefined }))
    this.request.stages.forEach((_, stage) => {
      this.states[stage].readersLeft = this.readersOf(stage).length
    })
    this.advance()
  }

  /** Whether any piece was made. */
  get hasResults(): boolean {
    return this.states.some(state => state.results !== undefined && state.results.length > 0)
  }

  /** Ends work that has no results yet, so that another owner does it. */
  handOver(): void {
    if (!this.ended && !this.hasResults)
      this.fail(PreparationFailureKind.HandedOver, 'the owner is stopping')
  }

  /** Pieces of a service that are not made yet. */
  remainingPieces(service: string): number {
    if (this.ended)
      return 0
    return this.request.stages.reduce((sum, stage, number) => sum + (stage.service === service && !this.states[number]?.results ? stage.pieces : 0), 0)
  }

  /** Gives everything up. */
  release(): void {
    this.ended = true
    this.freeEverything()
  }

  private advance(): void {
    for (let stage = 0; stage < this.states.length && !this.ended; stage++) {
      const ready = this.request.stages[stage].dependsOn.every(dependency => this.states[dependency].results)
      if (ready && !this.states[stage].begun)
        this.begin(stage)
    }
    if (!this.ended && this.states.every(state => state.results))
      this.finish()
  }

  private begin(stage: number): void {
    const definition = this.request.stages[stage]
    const state = this.states[stage]
    state.begun = true
    if (definition.pieces === 0) {
      state.results = []
      this.markFetched(stage)
      return
    }
    const pool = this.poolOf(definition.service)
    if (!pool)
      return this.fail(PreparationFailureKind.NoReplica, `no service ${definition.service}`)
    state.cancel = pool.submit({
      requestId: this.request.requestId,
      stage,
      service: definition.service,
      pieces: definition.pieces,
      resultBytes: definition.resultBytes,
      key: definition.dependsOn.length === 0 ? this.request.key : undefined,
      inputs: definition.dependsOn.flatMap(dependency => this.states[dependency].results ?? []),
      readerZone: this.readersOf(stage).length === 0 ? this.request.zone : undefined,
      rank: this.rank,
      targetAt: this.targetAt,
      deadlineAt: this.deadlineAt,
      remainingMs: this.remainingAfter(stage),
      listener: {
        inputsFetched: () => this.markFetched(stage),
        completed: results => this.complete(stage, results),
        failed: failure => this.takeFailure(stage, failure),
      },
    })
  }

  private complete(stage: number, results: StageResult[]): void {
    this.states[stage].results = results
    this.states[stage].cancel = undefined
    this.markFetched(stage)
    this.advance()
  }

  /** Frees the results that the stage was the last to read. */
  private markFetched(stage: number): void {
    const state = this.states[stage]
    if (state.freed)
      return
    state.freed = true
    for (const dependency of this.request.stages[stage].dependsOn) {
      const read = this.states[dependency]
      read.readersLeft--
      if (read.readersLeft === 0)
        this.freeResults(dependency)
    }
  }

  private takeFailure(stage: number, failure: PieceFailure): void {
    this.states[stage].cancel = undefined
    if (this.ended)
      return
    if (failure === PieceFailure.Late)
      return this.fail(PreparationFailureKind.TooLate, `stage ${stage} cannot be done in time`)
    this.restarts++
    if (this.restarts > MOST_RESTARTS)
      return this.fail(PreparationFailureKind.Failed, `stage ${stage} failed: ${failure}`)
    this.freeEverything()
    this.start()
  }

  private fail(kind: PreparationFailureKind, message: string): void {
    if (this.ended)
      return
    this.release()
    this.listener(Err({ kind, message, retryAfterMs: RETRY_AFTER_MS }))
  }

  private finish(): void {
    this.ended = true
    const results = this.finalStages().flatMap(stage => this.states[stage].results ?? [])
    const byZone = new Map<string, number>()
    for (const result of results)
      byZone.set(result.worker.zone, (byZone.get(result.worker.zone) ?? 0) + result.bytes)
    const zone = [...byZone].sort((left, right) => right[1] - left[1])[0]?.[0] ?? this.request.zone
    const bytes = results.reduce((sum, result) => sum + result.bytes, 0)
    this.listener(Ok({ handles: results.map(result => result.handle), zone, bytes }))
  }

  private freeEverything(): void {
    this.states.forEach((state, stage) => {
      state.cancel?.()
      state.cancel = undefined
      this.freeResults(stage)
    })
  }

  private freeResults(stage: number): void {
    const pool = this.poolOf(this.request.stages[stage].service)
    for (const result of this.states[stage].results ?? [])
      pool?.free(result)
  }

  private finalStages(): number[] {
    return this.request.stages.map((_, stage) => stage).filter(stage => this.readersOf(stage).length === 0)
  }

  private readersOf(stage: number): number[] {
    return this.request.stages.flatMap((definition, reader) => definition.dependsOn.includes(stage) ? [reader] : [])
  }

  /** Expected time of the longest way from a stage to the first event. */
  private remainingAfter(stage: number): number {
    const after = this.readersOf(stage)
      .filter(reader => this.request.stages[reader].pieces > 0)
      .map(reader => (this.poolOf(this.request.stages[reader].service)?.typicalCallMs() ?? 0) + this.remainingAfter(reader))
    return Math.max(ANSWER_TIME_MS, ...after)
  }
}
