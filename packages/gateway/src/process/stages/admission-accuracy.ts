/**
 * Tracks the ratio of actual to expected time of stage work, by the services
 * that the work needs. It only keeps the ratio; `stage-admission.ts` decides.
 * Owned by the coordinator and empty in the next one.
 *
 * Work that arrives later and runs first, calls that are not full and lost
 * backend servers are not part of the estimate, so work takes longer than
 * expected in bursts. The ratio decays towards 1, since no sample is taken while
 * all requests are refused.
 */
import type { PreparationRequest } from '../../connection/peers/preparation.js'

/** Weight of the newest request. Follows a burst soon, without following single requests. */
const EWMA_WEIGHT = 0.1
/** Bounds of a single sample, so that a request that lost a backend server does not dominate for long. */
const MAX_FACTOR = 2.5
/** See MAX_FACTOR. */
const MIN_FACTOR = 0.5
/** Half-life of the decay towards 1, which lets work be admitted again after a period in which all was refused. */
const HALF_LIFE_MS = 700

/** Time of the stages of a request. */
export interface StagesTime {
  tookMs: number
  /** The work failed while it waited and would have taken longer. */
  isLowerBound: boolean
}

/** Ratio of actual to expected time of the stages, by required services. */
export class AdmissionAccuracy {
  private readonly factors = new Map<string, { factor: number, updatedAt: number }>()
  /** Expected time of the stages in milliseconds, by id of the admitted request. */
  private readonly expectedMsByRequest = new Map<string, number>()

  /** Correction factor for the expected time of a request's stages; 1 if there is no sample. */
  factorFor(request: PreparationRequest, now: number): number {
    const entry = this.factors.get(serviceKey(request))
    return entry ? 1 + (entry.factor - 1) * 2 ** ((entry.updatedAt - now) / HALF_LIFE_MS) : 1
  }

  /** Records the expected time of an admitted request's stages, before correction. */
  recordAdmission({ requestId }: PreparationRequest, stagesMs: number): void {
    this.expectedMsByRequest.set(requestId, stagesMs)
  }

  /**
   * Records the end of a request's stage work and returns its expected time in
   * milliseconds; `time` is undefined if its duration says nothing about the
   * queues.
   */
  recordEnd(request: PreparationRequest, time: StagesTime | undefined, now: number): number | undefined {
    const expectedMs = this.expectedMsByRequest.get(request.requestId)
    this.expectedMsByRequest.delete(request.requestId)
    if (expectedMs !== undefined && expectedMs > 0 && time && !(time.isLowerBound && time.tookMs < expectedMs))
      this.updateFactor(request, expectedMs, time.tookMs, now)
    return expectedMs
  }

  private updateFactor(request: PreparationRequest, expectedMs: number, tookMs: number, now: number): void {
    const bounded = Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, tookMs / expectedMs))
    const factor = this.factorFor(request, now)
    this.factors.set(serviceKey(request), { factor: factor + (bounded - factor) * EWMA_WEIGHT, updatedAt: now })
  }
}

function serviceKey({ stages }: PreparationRequest): string {
  return stages.filter(stage => stage.items > 0).map(stage => stage.service).join()
}
