/**
 * Whether stage work that comes now can be done in time. The estimate is a
 * fluid one: the pieces of all requests that go before, at the speed of the
 * replicas that can be used, and the request's own way through its stages.
 */
import type { PreparationRequest, PreparationStage } from './preparation.js'

/** Speed of one service now. */
export interface ServicePace {
  /** Replicas that can be used. */
  replicas: number
  /** Time of one piece in a full batch at one replica, in milliseconds. */
  pieceMs: number
  /** Time of a usual call, in milliseconds. */
  callMs: number
}

/** Work that was begun and has not ended. */
export interface CommittedWork {
  rank: number
  /** Pieces of a service that are not made yet. */
  remainingPieces: (service: string) => number
}

/** What a decision was made from. */
export interface AdmissionEstimate {
  admitted: boolean
  /** Expected time to the first event, in milliseconds; infinite where a service has no replica. */
  finishMs: number
  retryAfterMs: number
}

/** Expected time from the last stage to the first event of the answer, in milliseconds. */
export const ANSWER_TIME_MS = 250
/** A first attempt is taken up to this part of its target. */
const TARGET_SHARE = 1.1
/** A client that came back is served even late, up to this part of its time. */
const RETURNING_SHARE = 0.85
const SHORTEST_RETRY_MS = 300
const NO_REPLICA_RETRY_MS = 800

/** Estimates a request against the work that goes before it. */
export function estimateAdmission(request: PreparationRequest, rank: number, committed: Iterable<CommittedWork>, paceOf: (service: string) => ServicePace | undefined): AdmissionEstimate {
  const finishMs = estimateFinish(request, rank, [...committed], paceOf)
  const limitMs = request.returning ? request.deadlineMs * RETURNING_SHARE : Math.min(request.targetMs * TARGET_SHARE, request.deadlineMs)
  const retryAfterMs = Number.isFinite(finishMs) ? Math.max(SHORTEST_RETRY_MS, finishMs - request.targetMs * 0.8) : NO_REPLICA_RETRY_MS
  return { admitted: finishMs <= limitMs, finishMs, retryAfterMs }
}

function estimateFinish(request: PreparationRequest, rank: number, committed: CommittedWork[], paceOf: (service: string) => ServicePace | undefined): number {
  const ahead = committed.filter(work => work.rank <= rank)
  const own = new Map<string, number>()
  for (const stage of request.stages)
    own.set(stage.service, (own.get(stage.service) ?? 0) + stage.pieces)
  let wait = 0
  for (const [service, pieces] of own) {
    if (pieces === 0)
      continue
    const pace = paceOf(service)
    if (!pace || pace.replicas === 0)
      return Number.POSITIVE_INFINITY
    const total = pieces + ahead.reduce((sum, work) => sum + work.remainingPieces(service), 0)
    wait = Math.max(wait, total * pace.pieceMs / pace.replicas - pace.callMs)
  }
  return wait + longestWay(request.stages, service => paceOf(service)?.callMs ?? 0) + ANSWER_TIME_MS
}

/** Time of the longest way through the stages, in milliseconds. */
function longestWay(stages: readonly PreparationStage[], callMsOf: (service: string) => number): number {
  const ends: number[] = []
  for (const stage of stages) {
    const begins = Math.max(0, ...stage.dependsOn.map(dependency => ends[dependency] ?? 0))
    ends.push(begins + (stage.pieces > 0 ? callMsOf(stage.service) : 0))
  }
  return Math.max(0, ...ends)
}
