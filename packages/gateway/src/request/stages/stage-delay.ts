/**
 * Decides how long the start of a stage is deferred.
 *
 * Inputs: which stages the request's backend server reads; the expected duration
 * of each stage's call (ms, configured), and what is left of it (ms, current).
 * Rule: a stage that no other stage reads starts so that it is expected to end
 * START_MARGIN_SHARE of its own call duration before the last of the others.
 * Why: started earlier, its results would occupy result memory until the others
 * are complete, while more urgent work waits for that memory.
 * Log event: `stage-call`.
 */
import type { StageGraph } from './stage-graph.js'

/** Share of the stage's own call duration that is reserved for queueing before it; protects the target at the cost of memory that is occupied longer. */
const START_MARGIN_SHARE = 0.6
/** A shorter delay is not worth a timer. */
const MIN_DELAY_MS = 20

/** Expected times of the stages by their index in the route, in milliseconds. */
export interface StageTimes {
  /** Of a complete call. */
  callMs: (stage: number) => number
  /** What is left of a stage's own call; 0 if it is complete. */
  remainingMs: (stage: number) => number
}

/** Milliseconds until a ready stage should start; 0 for now. */
export function decideStageDelay(stage: number, graph: StageGraph, { callMs, remainingMs }: StageTimes): number {
  if (!graph.isFinal(stage) || callMs(stage) === 0)
    return 0
  const others = graph.finalStages.filter(other => other !== stage)
  const othersRemainingMs = Math.max(0, ...others.map(other => graph.remainingUntilDoneMs(other, remainingMs)))
  const delayMs = othersRemainingMs - callMs(stage) * (1 + START_MARGIN_SHARE)
  return delayMs >= MIN_DELAY_MS ? delayMs : 0
}
