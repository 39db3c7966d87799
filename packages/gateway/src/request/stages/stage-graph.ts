/**
 * The dependencies between the stages of one request: who reads whose results,
 * and how long the way from a stage to the first event of the answer is.
 * Made from the request alone; relies on stages being listed after those that
 * they depend on.
 */
import type { PreparationStage } from '../../connection/peers/preparation.js'

/**
 * Expected time from the last stage to the first event of the answer, in
 * milliseconds. Not measured; at half of it more requests are admitted than
 * meet their target, at twice as much some are refused that would have.
 */
export const ANSWER_TIME_MS = 250

/** Expected time of one call of a service, in milliseconds. */
export type CallTime = (service: string) => number

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

  /** Whether the request's backend server, not another stage, reads a stage's results. */
  isFinal(stage: number): boolean {
    return this.readers[stage].length === 0
  }

  /** Expected time of the longest way from a stage's end to the first event, in milliseconds. */
  remainingAfter(stage: number, callMsOf: CallTime): number {
    const ways = this.readers[stage]
      .filter(reader => this.stages[reader].items > 0)
      .map(reader => callMsOf(this.stages[reader].service) + this.remainingAfter(reader, callMsOf))
    return Math.max(ANSWER_TIME_MS, ...ways)
  }
}

/** Expected time of the longest way through all stages, without the answer, in milliseconds. */
export function longestWayThrough(stages: readonly PreparationStage[], callMsOf: CallTime): number {
  const ends: number[] = []
  for (const stage of stages) {
    const startsAt = Math.max(0, ...stage.dependsOn.map(dependency => ends[dependency] ?? 0))
    ends.push(startsAt + (stage.items > 0 ? callMsOf(stage.service) : 0))
  }
  return Math.max(0, ...ends)
}
