/**
 * Whether stage work that comes now can be done in time. The estimate is a
 * fluid one: the items of all requests that go before, at the speed of the
 * backend servers that can be used, and the request's own way through its stages.
 */
import type { PreparationRequest } from '../../connection/preparation.js'
import { ANSWER_TIME_MS, longestWayThrough } from '../../request/stages/stage-graph.js'

/** Speed of one service now. */
export interface ServicePace {
  /** Backend servers that can be used. */
  backends: number
  /** Time of one item in a full batch at one backend server, in milliseconds. */
  itemMs: number
  /** Time of a usual call, in milliseconds. */
  callMs: number
}

/** Work that was begun and has not ended. */
export interface CommittedWork {
  rank: number
  /** Items of a service that are not made yet. */
  remainingItems: (service: string) => number
}

/** What becomes of stage work that is asked for. */
export enum AdmissionDecision {
  /** It can be in time. */
  InTime = 'in-time',
  Refused = 'refused',
}

/** A decision and what it was made from. */
export interface AdmissionEstimate {
  decision: AdmissionDecision
  /** Expected time to the first event, in milliseconds; infinite where a service has no backend server. */
  finishMs: number
  retryAfterMs: number
}

/** Waiting that no target forbids, in milliseconds: some targets are below the time of the stages themselves. */
const ALWAYS_ALLOWED_WAIT_MS = 300
const MIN_RETRY_MS = 300
const NO_BACKEND_RETRY_MS = 800

/** Decides on a request by the work that goes before it. */
export function estimateAdmission(request: PreparationRequest, rank: number, committed: Iterable<CommittedWork>, paceOf: (service: string) => ServicePace | undefined): AdmissionEstimate {
  const works = [...committed]
  const baseMs = estimateFinish(request, rank, [], paceOf)
  const finishMs = estimateFinish(request, rank, works, paceOf)
  const targetMs = Math.max(request.targetMs, baseMs + ALWAYS_ALLOWED_WAIT_MS)
  const retryAfterMs = Number.isFinite(finishMs) ? Math.max(MIN_RETRY_MS, finishMs - request.targetMs * 0.8) : NO_BACKEND_RETRY_MS
  const isInTime = finishMs <= Math.min(targetMs, request.deadlineMs)
  return { decision: isInTime ? AdmissionDecision.InTime : AdmissionDecision.Refused, finishMs, retryAfterMs }
}

function estimateFinish(request: PreparationRequest, rank: number, committed: CommittedWork[], paceOf: (service: string) => ServicePace | undefined): number {
  const ahead = committed.filter(work => work.rank <= rank)
  const own = new Map<string, number>()
  for (const stage of request.stages)
    own.set(stage.service, (own.get(stage.service) ?? 0) + stage.items)
  let wait = 0
  for (const [service, items] of own) {
    if (items === 0)
      continue
    const pace = paceOf(service)
    if (!pace || pace.backends === 0)
      return Number.POSITIVE_INFINITY
    const total = items + ahead.reduce((sum, work) => sum + work.remainingItems(service), 0)
    wait = Math.max(wait, total * pace.itemMs / pace.backends - pace.callMs)
  }
  return wait + longestWayThrough(request.stages, service => paceOf(service)?.callMs ?? 0) + ANSWER_TIME_MS
}
