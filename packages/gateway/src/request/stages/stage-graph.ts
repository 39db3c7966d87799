/**
 * The dependencies between the stages of one request: who reads whose results,
 * and how long the way from a stage to the first event of the answer is.
 * Made from the request alone; relies on stages being listed after those that
 * they depend on.
 */
import type { PreparationStage } from '../../connection/peers/preparation.js'

/** Expected time of a stage's call, in milliseconds. */
export type CallTime = (stage: number) => number

/** Stages by their numbers in the route. */
export class StageGraph {
  private readonly readers: number[][]

  constructor(private readonly stages: readonly PreparationStage[]) {
    this.readers = stages.map((_, stage) => stages.flatMap(({ dependsOn }, reader) => dependsOn.includes(stage) ? [reader] : []))
  }

  /** Stages that read a stage's results. */
  readersOf(stage: number): readonly number[] {
    return this.readers[stage]
  }

  /** Milliseconds until a stage is expected to be done, by what each stage's own call still takes. */
  doneIn(stage: number, remainingMsOf: (stage: number) => number): number {
    const dependencies = this.stages[stage].dependsOn.map(dependency => this.doneIn(dependency, remainingMsOf))
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

  /** Expected time of the longest way from a stage's end to that of the last one that needs it, in milliseconds. */
  remainingAfter(stage: number, callMsOf: CallTime): number {
    const ways = this.readers[stage]
      .filter(reader => this.stages[reader].items > 0)
      .map(reader => callMsOf(reader) + this.remainingAfter(reader, callMsOf))
    return Math.max(0, ...ways)
  }
}
