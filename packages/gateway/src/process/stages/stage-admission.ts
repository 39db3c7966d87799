/**
 * Decides whether stage work is started or refused when it arrives.
 *
 * Inputs: the request's stages, target and deadline (ms left); expected time of
 * its answer (ms, engine-assignment.ts); rank and remaining items of every
 * admitted request; throughput of each service, from its configured times and the
 * measured speed of its backend servers. All are current and local to the
 * coordinator.
 * Rule: a stage starts when its dependencies are done and the items of its
 * service with a lower rank are processed. The expected time to the first event
 * is the end of the last stage, with the wait corrected by the ratio of actual to
 * expected time of similar work (`admission-accuracy.ts`), plus the time of the
 * answer. Work that is expected within its target and its deadline is admitted;
 * other work is refused at once with a retry delay. A wait of
 * ALWAYS_ALLOWED_WAIT_MS is allowed even beyond the target.
 * Why: while a request passes through its first stages, the items ahead of it in
 * later stages are processed. The correction is learned from work that was
 * admitted seconds before. Applied to the time of the stages as well, it refused
 * 0.11 and 0.13 of the least urgent requests permanently after 2 s of slow calls,
 * although the queues were empty; applied to the wait alone, 0.05 and 0.02. Queued
 * work that cannot be in time expires in the queue and delays other work. Running it
 * in the background gave worse results at both sites, as did admitting it up to
 * a tenth beyond the target.
 * Log event: `stages-admission`.
 */
import type { PreparationRequest } from '../../connection/peers/preparation.js'
import type { StageWork } from '../../request/stages/request-stages.js'

/**
 * Wait that is allowed whatever the target: some targets are below the time of
 * the stages alone, and their routes would be refused under little load. The cost
 * is that some work is admitted that will be late.
 */
const ALWAYS_ALLOWED_WAIT_MS = 300
/** Shortest retry delay; limits the rate of retries under overload. */
const MIN_RETRY_MS = 300
/** Retry delay if a service has no backend server. Short, so that clients return soon after a restart. */
const NO_BACKEND_RETRY_MS = 800
/** A refused client retries when its work is expected to take this share of its target. */
const RETRY_TARGET_SHARE = 0.8

/** Current throughput of a service. */
export interface ServiceThroughput {
  /** Sum of the relative speeds of the backend servers that accept work; 1 is the configured speed. */
  backends: number
  /** Time per item of a full batch on one backend server, in milliseconds. */
  itemMs: number
  /** Duration of a typical call, in milliseconds. */
  callMs: number
}

/** Throughput of a service; undefined if the configuration has no such stage service. */
export type ThroughputOfService = (service: string) => ServiceThroughput | undefined

/** Throughput of the services that a request needs, by name. */
type Throughputs = ReadonlyMap<string, ServiceThroughput | undefined>

/** Admitted work of one request. */
export interface AdmittedWork {
  rank: number
  /** Number of items of a service without a result. */
  remainingItems: (service: string) => number
}

/** Work that is to be admitted or refused. */
export interface AdmissionCandidate extends StageWork {
  /** Ratio of actual to expected time of similar work. */
  correctionFactor: number
}

/** A decision and the estimates behind it. */
export interface AdmissionDecision {
  isAdmitted: boolean
  /** Expected time to the first event, in milliseconds; infinite if a service has no backend server. */
  finishMs: number
  /** Expected time of the stages in milliseconds, before correction. */
  stagesMs: number
  /** Retry delay of a refused request, in milliseconds. */
  retryAfterMs: number
}

/** Decides on a request, given the admitted work that may run before it. */
export function decideAdmission(
  { request, rank, answerMs, correctionFactor }: AdmissionCandidate,
  admitted: Iterable<AdmittedWork>,
  throughputOf: ThroughputOfService,
): AdmissionDecision {
  const ahead = [...admitted].filter(work => work.rank <= rank)
  const throughputs: Throughputs = new Map(request.stages.map(({ service }) => [service, throughputOf(service)]))
  const unqueuedMs = estimateStages(request, [], throughputs)
  const stagesMs = estimateStages(request, ahead, throughputs)
  const finishMs = correctWait(stagesMs, unqueuedMs, correctionFactor) + answerMs
  const allowedMs = Math.max(request.targetMs, unqueuedMs + answerMs + ALWAYS_ALLOWED_WAIT_MS)
  return {
    isAdmitted: finishMs <= Math.min(allowedMs, request.deadlineMs),
    finishMs,
    stagesMs,
    retryAfterMs: retryDelayMs(finishMs, request.targetMs),
  }
}

/** Expected time of the stages with their wait corrected, in milliseconds. */
function correctWait(stagesMs: number, unqueuedMs: number, correctionFactor: number): number {
  return Number.isFinite(stagesMs) ? unqueuedMs + (stagesMs - unqueuedMs) * correctionFactor : stagesMs
}

function retryDelayMs(finishMs: number, targetMs: number): number {
  if (!Number.isFinite(finishMs))
    return NO_BACKEND_RETRY_MS
  return Math.max(MIN_RETRY_MS, finishMs - targetMs * RETRY_TARGET_SHARE)
}

/** Expected time until all stages are done behind other work, in milliseconds; infinite if a service has no backend server. */
function estimateStages({ stages }: PreparationRequest, ahead: readonly AdmittedWork[], throughputs: Throughputs): number {
  const ends: number[] = []
  for (const { service, dependsOn, items } of stages) {
    const readyMs = Math.max(0, ...dependsOn.map(dependency => ends[dependency] ?? 0))
    ends.push(items === 0 ? readyMs : estimateCallEnd(readyMs, items, throughputs.get(service), itemsAhead(service, ahead)))
  }
  return Math.max(0, ...ends)
}

/** Time for which the work of a request occupies all backend servers of its most loaded service, in milliseconds. */
export function bottleneckMs({ stages }: PreparationRequest, throughputOf: ThroughputOfService): number {
  const timeByService = new Map<string, number>()
  for (const { service, items } of stages) {
    const throughput = throughputOf(service)
    if (throughput && throughput.backends > 0)
      timeByService.set(service, (timeByService.get(service) ?? 0) + items * throughput.itemMs / throughput.backends)
  }
  return Math.max(0, ...timeByService.values())
}

/** When a call that can start at `readyMs` ends behind the items ahead of it, in milliseconds. */
export function estimateCallEnd(readyMs: number, items: number, throughput: ServiceThroughput | undefined, ahead: number): number {
  if (!throughput || throughput.backends === 0)
    return Number.POSITIVE_INFINITY
  const waitMs = (items + ahead) * throughput.itemMs / throughput.backends - throughput.callMs
  return Math.max(readyMs, waitMs) + throughput.callMs
}

function itemsAhead(service: string, ahead: readonly AdmittedWork[]): number {
  return ahead.reduce((sum, work) => sum + work.remainingItems(service), 0)
}
