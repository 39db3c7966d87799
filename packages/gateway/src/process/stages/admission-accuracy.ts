/**
 * How far the times that admission expected of stage work were from the real
 * ones, by the services that the work needs. A record only: `stage-admission`
 * decides. It lives with the coordinator and starts again with the next one.
 *
 * What arrives later and goes first, calls that are not full and lost backend
 * servers are in no plain estimate, so that work takes longer than expected in
 * bursts. What was learned fades, since nothing is learned while all are refused.
 */
import type { PreparationRequest } from '../../connection/peers/preparation.js'

/** Weight of the newest request. Half follows a burst late, twice as much follows single requests. */
const EWMA_WEIGHT = 0.1
/** Bounds of a single request's factor. They keep one that lost a backend server from deciding for long. */
const MAX_FACTOR = 2.5
/** See MAX_FACTOR. */
const MIN_FACTOR = 0.5
/** Milliseconds in which what was learned loses half of its weight: while all are refused, nothing is learned. */
const HALF_LIFE_MS = 700

/** Real over expected time of the stages of like requests. */
export class AdmissionAccuracy {
  private readonly factors = new Map<string, { factor: number, updatedAt: number }>()
  /** Expected time of the stages of admitted requests, in milliseconds, by request. */
  private readonly expected = new Map<string, number>()

  /** Factor for the expected time of a request's stages; 1 where nothing is known. */
  factorFor(request: PreparationRequest, now: number): number {
    const entry = this.factors.get(serviceKey(request))
    return entry ? 1 + (entry.factor - 1) * 2 ** ((entry.updatedAt - now) / HALF_LIFE_MS) : 1
  }

  /** A request was admitted with this expected time of its stages, in milliseconds and without the factor. */
  recordAdmission({ requestId }: PreparationRequest, stagesMs: number): void {
    this.expected.set(requestId, stagesMs)
  }

  /**
   * The stage work of a request ended; `tookMs` is undefined where its time says
   * nothing of the queues. Returns what was expected of it, in milliseconds.
   */
  recordEnd(request: PreparationRequest, tookMs: number | undefined, now: number): number | undefined {
    const expectedMs = this.expected.get(request.requestId)
    this.expected.delete(request.requestId)
    if (expectedMs !== undefined && expectedMs > 0 && tookMs !== undefined)
      this.updateFactor(request, expectedMs, tookMs, now)
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
