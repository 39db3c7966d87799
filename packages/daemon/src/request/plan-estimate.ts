/**
 * Estimates how long a request's stages will take, for admission.
 *
 * Inputs: the plan; for each stage the candidates in force and their newest
 * load reports (see `stages/choice.ts`).
 * Rule: the mean predicted wait and the mean service time over a stage's
 * candidates, summed over its stages. The mean rather than the best, because
 * other entries choose among the same candidates.
 */
import type { RequestPlan } from './plan.js'
import type { LinkedBackends } from './stages/linked-backends.js'
import { predictWaitMs } from './stages/choice.js'

/** Expected times of a plan, in milliseconds. */
export interface PlanEstimate {
  /** Waits and service together; undefined where a stage has no backend server. */
  totalMs: number | undefined
  /** Waits in queues, up to the first stage without a backend server. */
  waitMs: number
}

/** Estimates a plan with the load reports of now. */
export function estimatePlan(plan: RequestPlan, backends: LinkedBackends): PlanEstimate {
  let serviceMs = 0
  let waitMs = 0
  for (const stage of plan.stages) {
    const candidates = backends.candidates(stage)
    if (candidates.length === 0)
      return { totalMs: undefined, waitMs }
    waitMs += meanOf(candidates.map(candidate => predictWaitMs(candidate, plan.priority)))
    serviceMs += meanOf(candidates.map(candidate => candidate.load?.meanServiceMs ?? 0))
  }
  return { totalMs: serviceMs + waitMs, waitMs }
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}
