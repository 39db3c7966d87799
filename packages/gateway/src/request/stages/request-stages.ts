/**
 * The stage work of one request: each stage begins when those that it depends
 * on are done, and a result is given up when its last reader has fetched it.
 */
import type { Result } from 'ts-results-es'
import type { PreparationFailure, PreparationRequest, PreparedInputs, StageProgress } from '../../connection/preparation.js'
import type { CommittedWork } from '../../process/stages/stage-admission.js'
import type { StagePool, SubmittedTask } from '../../process/stages/stage-pool.js'
import type { StageResult } from './stage-task.js'
import { Err, Ok } from 'ts-results-es'
import { PreparationFailureKind } from '../../connection/preparation.js'
import { ItemFailure } from '../../connection/stage-client.js'
import { ANSWER_TIME_MS } from '../../process/stages/stage-admission.js'

/** How often a request's stage work begins anew after a lost result. */
const MAX_RESTARTS = 2
const RETRY_AFTER_MS = 1000

interface StageState {
  results: StageResult[] | undefined
  begun: boolean
  /** Stages that read the results and have not fetched them. */
  readersLeft: number
  freed: boolean
  task: SubmittedTask | undefined
}

/** Called once with how the stage work ended. */
export type PreparationListener = (result: Result<PreparedInputs, PreparationFailure>) => void

/** Runs the stages of one request. */
export class RequestStages implements CommittedWork {
  private states: StageState[] = []
  private restarts = 0
  private ended = false
  private handingOver = false
  /** Used once: a run that begins anew makes everything itself. */
  private progress: readonly StageProgress[] | undefined
  private readonly targetAt: number
  private readonly deadlineAt: number

  constructor(
    private readonly request: PreparationRequest,
    readonly rank: number,
    private readonly poolOf: (service: string) => StagePool | undefined,
    private readonly listener: PreparationListener,
    now = performance.now(),
  ) {
    this.progress = request.progress
    this.targetAt = now + request.targetMs
    this.deadlineAt = now + request.deadlineMs
  }

  start(): void {
    this.states = this.request.stages.map(() => ({ results: undefined, begun: false, readersLeft: 0, freed: false, task: undefined }))
    this.request.stages.forEach((_, stage) => {
      this.states[stage].readersLeft = this.readersOf(stage).length
    })
    this.adoptProgress()
    this.advance()
  }

  /** Lets another coordinator go on: at once, or when the items that are under way are made. */
  handOver(): void {
    this.handingOver = true
    if (!this.ended && !this.states.some(state => state.task?.isUnderWay()))
      this.handOverNow()
  }

  /** Items of a service that are not made yet. */
  remainingItems(service: string): number {
    if (this.ended)
      return 0
    return this.request.stages.reduce((sum, stage, number) => sum + (stage.service === service && !this.states[number]?.results ? stage.items : 0), 0)
  }

  /** Gives everything up. */
  release(): void {
    this.ended = true
    this.freeEverything()
  }

  private get isDone(): boolean {
    return this.states.every(state => state.results)
  }

  private advance(): void {
    for (let stage = 0; stage < this.states.length && !this.ended; stage++) {
      const ready = this.request.stages[stage].dependsOn.every(dependency => this.states[dependency].results)
      if (ready && !this.states[stage].begun)
        this.begin(stage)
    }
    if (!this.ended && this.isDone)
      this.finish()
  }

  private begin(stage: number): void {
    const definition = this.request.stages[stage]
    const state = this.states[stage]
    state.begun = true
    if (definition.items === 0) {
      state.results = []
      this.markFetched(stage)
      return
    }
    const pool = this.poolOf(definition.service)
    if (!pool)
      return this.fail(PreparationFailureKind.NoBackend, `no service ${definition.service}`)
    state.task = pool.submit({
      requestId: this.request.requestId,
      stage,
      service: definition.service,
      items: definition.items,
      resultBytes: definition.resultBytes,
      key: definition.dependsOn.length === 0 ? this.request.key : undefined,
      inputs: definition.dependsOn.flatMap(dependency => this.states[dependency].results ?? []),
      readerDomain: this.readersOf(stage).length === 0 ? this.request.failureDomain : undefined,
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
    this.states[stage].task = undefined
    this.markFetched(stage)
    if (this.handingOver && !this.isDone)
      this.handOver()
    else
      this.advance()
  }

  /** Goes on after the stages that an earlier coordinator has done, as far as their results can be used. */
  private adoptProgress(): void {
    const progress = new Map(this.progress?.map(done => [done.stage, done]))
    this.progress = undefined
    const adopted = new Map<number, StageResult[] | undefined>()
    for (let stage = this.states.length - 1; stage >= 0; stage--)
      this.adopt(stage, progress, adopted)
    for (const [stage, results] of adopted) {
      if (results)
        this.markFetched(stage)
    }
  }

  /** A stage whose results nobody needs any more counts as done; else all of its results must be there. */
  private adopt(stage: number, progress: ReadonlyMap<number, StageProgress>, adopted: Map<number, StageResult[] | undefined>): StageResult[] | undefined {
    if (adopted.has(stage))
      return adopted.get(stage)
    const results = this.usableResults(stage, progress, adopted)
    adopted.set(stage, results)
    if (results) {
      this.states[stage].begun = true
      this.states[stage].results = results
    }
    return results
  }

  private usableResults(stage: number, progress: ReadonlyMap<number, StageProgress>, adopted: Map<number, StageResult[] | undefined>): StageResult[] | undefined {
    const done = progress.get(stage)
    const { service, items } = this.request.stages[stage]
    if (!done)
      return undefined
    const readers = this.readersOf(stage)
    if (readers.length > 0 && readers.every(reader => this.adopt(reader, progress, adopted)))
      return []
    return done.results.length === items ? this.poolOf(service)?.adopt(done) : undefined
  }

  /** The results stay where they are: they belong to the next coordinator. */
  private handOverNow(): void {
    const progress = this.collectProgress()
    this.ended = true
    for (const state of this.states)
      state.task?.cancel()
    this.states = []
    this.listener(Err({ kind: PreparationFailureKind.HandedOver, message: 'the coordinator is stopping', retryAfterMs: 0, progress }))
  }

  private collectProgress(): StageProgress[] {
    const now = performance.now()
    return this.states.flatMap(({ results, readersLeft }, stage) => {
      if (!results)
        return []
      const isRead = readersLeft === 0 && this.readersOf(stage).length > 0
      const kept = isRead ? [] : results
      return [{ stage, results: kept.map(({ handle, backend, bytes }) => ({ handle, backend: backend.backend.id, bytes, remainingMs: backend.remainingLife(handle, now) })) }]
    })
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

  private takeFailure(stage: number, failure: ItemFailure): void {
    if (this.ended)
      return
    this.states[stage].task = undefined
    if (this.handingOver)
      return this.handOver()
    if (failure === ItemFailure.Late)
      return this.fail(PreparationFailureKind.TooLate, `stage ${stage} cannot be done in time`)
    this.restarts++
    if (this.restarts > MAX_RESTARTS)
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
    const bytesByDomain = new Map<string, number>()
    for (const result of results)
      bytesByDomain.set(result.backend.failureDomain, (bytesByDomain.get(result.backend.failureDomain) ?? 0) + result.bytes)
    const failureDomain = [...bytesByDomain].sort((left, right) => right[1] - left[1])[0]?.[0] ?? this.request.failureDomain
    const bytes = results.reduce((sum, result) => sum + result.bytes, 0)
    this.listener(Ok({ handles: results.map(result => result.handle), failureDomain, bytes }))
  }

  private freeEverything(): void {
    this.states.forEach((state, stage) => {
      state.task?.cancel()
      state.task = undefined
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
      .filter(reader => this.request.stages[reader].items > 0)
      .map(reader => (this.poolOf(this.request.stages[reader].service)?.typicalCallMs() ?? 0) + this.remainingAfter(reader))
    return Math.max(ANSWER_TIME_MS, ...after)
  }
}
