/**
 * The dependency graph of the stages of one request: which stage reads whose
 * results, and the critical path from a stage to the first event of the response.
 * Built from the request alone; stages must be listed after those that they
 * depend on.
 */
import type { PreparationStage } from '../../connection/peers/preparation.js'

/** Expected duration of a stage's call, in milliseconds. */
export type CallTime = (stage: number) => number

/** Dependency graph; stages are identified by their index in the route. */
export class StageGraph {
  private readonly readers: number[][]

  constructor(private readonly stages: readonly PreparationStage[]) {
    this.readers = stages.map((_, stage) => stages.flatMap(({ dependsOn }, reader) => dependsOn.includes(stage) ? [reader] : []))
  }

  /** Stages that read a stage's results. */
  readersOf(stage: number): readonly number[] {
    return this.readers[stage]
  }

  /** Expected time until a stage is complete, in milliseconds; `remainingMsOf` is the time left of each stage's own call. */
  remainingUntilDoneMs(stage: number, remainingMsOf: (stage: number) => number): number {
    const dependencies = this.stages[stage].dependsOn.map(dependency => this.remainingUntilDoneMs(dependency, remainingMsOf))
    return Math.max(0, ...dependencies) + remainingMsOf(stage)
  }

  /** Stages whose results the request's backend server reads. */
  get finalStages(): number[] {
    return this.stages.flatMap((_, stage) => this.isFinal(stage) ? [stage] : [])
  }

  /** Whether the request's backend server, not another stage, reads a stage's results. */
  isFinal(stage: number): boolean {
    return this.readers[stage].length === 0
  }

  /** Expected duration of the critical path from the end of a stage to the end of the last stage that depends on it, in milliseconds. */
  remainingAfter(stage: number, callMsOf: CallTime): number {
    const paths = this.readers[stage]
      .filter(reader => this.stages[reader].items > 0)
      .map(reader => callMsOf(reader) + this.remainingAfter(reader, callMsOf))
    return Math.max(0, ...paths)
  }
}
