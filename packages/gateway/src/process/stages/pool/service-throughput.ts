/**
 * Estimates how fast a stage service works, for admission and for the time that
 * the stages after a task need. Estimates only; the decision is in
 * stage-admission.
 */
import type { StageLimits } from '../../../version/configuration.js'
import type { ServiceThroughput } from '../stage-admission.js'

/**
 * Share of a full batch in a usual call. Half of it hides some itemMs from the
 * estimates, 1 refuses work that would be in time.
 */
const TYPICAL_BATCH_FILL = 0.6
/** Share of the speed of full batches that is reached under load. */
const BATCH_EFFICIENCY = 0.9
/** Calls whose results are in memory at once: one being read, one being made. Commit 1e05cb6. */
const CONCURRENT_CALLS_IN_MEMORY = 2
/** Weight of the newest task in the typical size of a result. Twice as much follows single tasks. */
const RESULT_SIZE_EWMA_WEIGHT = 0.05

/** Expected time of one call, in milliseconds. */
export function typicalCallMs(limits: StageLimits): number {
  return limits.callMs + limits.itemMs * limits.batch * TYPICAL_BATCH_FILL
}

/** Size of a usual result after one more task, in bytes. */
export function updateTypicalResultBytes(typicalBytes: number, resultBytes: number): number {
  return typicalBytes + (resultBytes - typicalBytes) * RESULT_SIZE_EWMA_WEIGHT
}

/**
 * Pace of a service; takes how much slower than configured each backend server
 * is, and the size of a usual result.
 */
export function estimateThroughput(limits: StageLimits, slowdownFactors: readonly number[], typicalBytes: number): ServiceThroughput {
  const itemMs = (limits.callMs / sustainedBatch(limits, typicalBytes) + limits.itemMs) / BATCH_EFFICIENCY
  const backends = slowdownFactors.reduce((sum, slowdown) => sum + 1 / slowdown, 0)
  return { backends, itemMs, callMs: typicalCallMs(limits) }
}

/** Items a call that result memory allows under load. */
function sustainedBatch(limits: StageLimits, typicalBytes: number): number {
  if (typicalBytes === 0)
    return limits.batch
  const fitting = limits.resultMemoryBytes / typicalBytes / CONCURRENT_CALLS_IN_MEMORY
  return Math.max(1, Math.min(limits.batch, fitting))
}
