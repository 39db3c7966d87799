/**
 * Decides which stages of a request need not run at the next coordinator.
 *
 * Inputs: the finished stages and their results as the coordinator before
 * reported them; the backend servers that this process knows now.
 * Rule: a stage whose readers are all done needs no results and counts as
 * done. Any other stage is done where all of its results are listed and their
 * backend servers are known; else it runs again, and so do its readers.
 * Why: results live at the backend servers, so a change of coordinator costs
 * only what was under way. A stage reported without results is not trusted
 * while a reader has to run: the reader would be asked for without its inputs.
 * Log event: `stage-call` (stages that run again), `stages-ended`.
 */
import type { PreparationStage, StageProgress } from '../../connection/peers/preparation.js'
import type { StageGraph } from './stage-graph.js'
import type { StageResult, StageTaskQueues } from './stage-task.js'

/** A stage that needs no run. */
export interface AdoptedStage {
  stage: number
  /** Empty where all readers of the stage are done. */
  results: StageResult[]
}

/** Takes the results over that an earlier coordinator reported. */
export function adoptProgress(
  stages: readonly PreparationStage[],
  graph: StageGraph,
  progress: readonly StageProgress[],
  queueOf: StageTaskQueues,
): AdoptedStage[] {
  const done = new Map(progress.map(entry => [entry.stage, entry]))
  const decided = new Map<number, StageResult[] | undefined>()

  function adopt(stage: number): StageResult[] | undefined {
    if (!decided.has(stage))
      decided.set(stage, findResults(stage))
    return decided.get(stage)
  }

  function findResults(stage: number): StageResult[] | undefined {
    const reported = done.get(stage)
    if (!reported)
      return undefined
    const readers = graph.readersOf(stage)
    if (readers.length > 0 && readers.every(reader => adopt(reader)))
      return []
    const { service, items } = stages[stage]
    return reported.results.length === items ? queueOf(service)?.adopt(reported) : undefined
  }

  for (let stage = stages.length - 1; stage >= 0; stage--)
    adopt(stage)
  return [...decided].flatMap(([stage, results]) => results ? [{ stage, results }] : [])
}
