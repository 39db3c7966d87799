/**
 * Estimates the throughput of a stage service, for admission and for the
 * expected time of the stages that follow a task. The admission decision itself
 * is made in `stage-admission.ts`.
 */
import type { StageLimits } from '../../../version/configuration.js'
import type { ServiceThroughput } from '../stage-admission.js'

/**
 * Share of a full batch in a typical call. Includes `itemMs` in the estimates;
 * estimates from full batches would refuse work that would be in time.
 */
const TYPICAL_BATCH_FILL = 0.6
/** Share of the throughput of full batches that is reached under load. */
const BATCH_EFFICIENCY = 0.9
/** Calls whose results are in memory at the same time: one being read and one being produced. */
const CONCURRENT_CALLS_IN_MEMORY = 2
/** Weight of the newest task in the moving average of the result size; low, so that it does not follow single tasks. */
const RESULT_SIZE_EWMA_WEIGHT = 0.05

/** Expected duration of a typical call, in milliseconds. */
export function typicalCallMs(limits: StageLimits): number {
  return limits.callMs + limits.itemMs * limits.batch * TYPICAL_BATCH_FILL
}

/** Moving average of the result size after one more task, in bytes. */
export function updateTypicalResultBytes(typicalBytes: number, resultBytes: number): number {
  return typicalBytes + (resultBytes - typicalBytes) * RESULT_SIZE_EWMA_WEIGHT
}

/**
 * Estimates the throughput of a service from the slowdown factor of each backend
 * server and the typical size of a result.
 */
export function estimateThroughput(limits: StageLimits, slowdownFactors: readonly number[], typicalBytes: number): ServiceThroughput {
  const itemMs = (limits.callMs / sustainedBatch(limits, typicalBytes) + limits.itemMs) / BATCH_EFFICIENCY
  const backends = slowdownFactors.reduce((sum, slowdown) => sum + 1 / slowdown, 0)
  return { backends, itemMs, callMs: typicalCallMs(limits) }
}

/** Items per call that result memory sustains under load. */
function sustainedBatch(limits: StageLimits, typicalBytes: number): number {
  if (typicalBytes === 0)
    return limits.batch
  const fitting = limits.resultMemoryBytes / typicalBytes / CONCURRENT_CALLS_IN_MEMORY
  return Math.max(1, Math.min(limits.batch, fitting))
}
