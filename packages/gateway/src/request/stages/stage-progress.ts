/**
 * Decides which stages of a request the next coordinator does not have to run.
 *
 * Inputs: the completed stages and their results as reported by the previous
 * coordinator; the backend servers that this process knows (current).
 * Rule: a stage whose readers are all complete needs no results and counts as
 * complete. Any other stage is complete if all of its results are listed and
 * their backend servers are known; otherwise it runs again, and so do its readers.
 * Why: results are stored at the backend servers, so that a change of coordinator
 * only loses the work in flight. A stage reported without results does not count
 * while one of its readers has to run, because the reader would be called without
 * its inputs.
 * Log event: `stage-call` (stages that run again), `stages-ended`.
 */
import type { PreparationStage, StageProgress } from '../../connection/peers/preparation.js'
import type { StageGraph } from './stage-graph.js'
import type { StageResult, StageTaskQueueLookup } from './stage-task.js'

/** A stage that does not have to run. */
export interface AdoptedStage {
  stage: number
  /** Empty if all readers of the stage are complete. */
  results: StageResult[]
}

/** Adopts the results that an earlier coordinator reported. */
export function adoptProgress(
  stages: readonly PreparationStage[],
  graph: StageGraph,
  progress: readonly StageProgress[],
  queueOf: StageTaskQueueLookup,
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
