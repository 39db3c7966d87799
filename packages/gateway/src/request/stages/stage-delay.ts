/**
 * Decides for how long the start of a stage is put off.
 *
 * Inputs: which stages the request's backend server reads; expected time of
 * each stage's call (ms, configured), and what is left of it (ms, as of now).
 * Rule: a stage that no other stage reads starts so that it is expected to be
 * done START_MARGIN_SHARE of its own call before the last other one.
 * Why: its results would use result memory until the others are done, while
 * more urgent work waits for that memory.
 * Log event: `stage-call`.
 */
import type { StageGraph } from './stage-graph.js'

/** Part of the stage's own call that is kept for the wait before it: less risks the target, more holds memory. */
const START_MARGIN_SHARE = 0.6
/** Milliseconds; a shorter delay is not worth a timer. */
const MIN_DELAY_MS = 20

/** What is expected of the stages, by their numbers; in milliseconds. */
export interface StageTimes {
  /** Of a whole call. */
  callMs: (stage: number) => number
  /** Left of a stage's own call; 0 where it is done. */
  remainingMs: (stage: number) => number
}

/** Milliseconds until a stage that is ready should start; 0 for now. */
export function decideStageDelay(stage: number, graph: StageGraph, { callMs, remainingMs }: StageTimes): number {
  if (!graph.isFinal(stage) || callMs(stage) === 0)
    return 0
  const others = graph.finalStages.filter(other => other !== stage)
  const doneIn = Math.max(0, ...others.map(other => graph.doneIn(other, remainingMs)))
  const delayMs = doneIn - callMs(stage) * (1 + START_MARGIN_SHARE)
  return delayMs >= MIN_DELAY_MS ? delayMs : 0
}
