/**
 * Decides whether stage work is started or refused when it arrives.
 *
 * Inputs: the request's stages, target and deadline (ms left); expected time of
 * its answer (ms, engine-assignment.ts); rank and unfinished items of every
 * admitted request; pace of each service, from its configured times and the
 * measured speed of its backend servers. All are current and local to the
 * coordinator.
 * Rule: a stage starts when the stages before it are done and the items that go
 * before are, at the pace of their service. The last stage's end, its wait
 * corrected by how far earlier estimates of like work were off
 * (`admission-accuracy.ts`), and the answer are the expected time to the first
 * event. Work that is expected within its target and its deadline is admitted;
 * the rest is refused at once with a time to retry. A wait of
 * ALWAYS_ALLOWED_WAIT_MS is allowed whatever the target says.
 * Why: while a request goes through its first stages, the items before it in
 * the later ones are worked on. The correction is learned from work that was
 * admitted seconds before. When it counted for the time of the stages too, 0.11
 * and 0.13 of the least urgent were refused for good after 2 s of slow calls,
 * though the queues had gone; with the wait alone 0.05 and 0.02. Held work that
 * cannot be in time expires in the queue and delays the rest. Running it in the
 * background lost on both sites, and so did admitting it up to a tenth beyond
 * the target.
 * Log event: `stages-admission`.
 */
import type { PreparationRequest } from '../../connection/peers/preparation.js'
import type { StageWork } from '../../request/stages/request-stages.js'

/**
 * Wait that no target forbids, in milliseconds: some targets are below the time
 * of the stages alone. Half of it refuses routes with short targets under little
 * load; twice as much admits what is late.
 */
const ALWAYS_ALLOWED_WAIT_MS = 300
/** Shortest time to a retry, in milliseconds. Half of it doubles the retries under overload. */
const MIN_RETRY_MS = 300
/**
 * Time to a retry where a service has no backend server, in milliseconds. Twice
 * as much delays service after a restart.
 */
const NO_BACKEND_RETRY_MS = 800
/**
 * A refused client retries when its work would be expected within this share of
 * its target.
 */
const RETRY_TARGET_SHARE = 0.8

/** Speed of one service now. */
export interface ServiceThroughput {
  /** Backend servers that take work, each counted by its measured speed; 1 is the configured speed. */
  backends: number
  /** Time of one item in a full batch at one backend server, in milliseconds. */
  itemMs: number
  /** Time of a usual call, in milliseconds. */
  callMs: number
}

/** The pace of a service; undefined where the configuration has no such stage service. */
export type ThroughputOfService = (service: string) => ServiceThroughput | undefined

/** The paces of the services that a request needs, by name. */
type Throughputs = ReadonlyMap<string, ServiceThroughput | undefined>

/** Admitted work of one request. */
export interface AdmittedWork {
  rank: number
  /** Items of a service without a result. */
  remainingItems: (service: string) => number
}

/** Work that asks to be admitted. */
export interface AdmissionCandidate extends StageWork {
  /** Real over expected time of like work. */
  correctionFactor: number
}

/** A decision and what it was made from. */
export interface AdmissionDecision {
  /** The work is expected in time. */
  isAdmitted: boolean
  /** Expected time to the first event, in milliseconds; infinite where a service has no backend server. */
  finishMs: number
  /** Expected time of the stages, in milliseconds, before it was corrected by how far earlier estimates were off. */
  stagesMs: number
  /** Milliseconds after which a refused request may be retried. */
  retryAfterMs: number
}

/** Decides on a request by the work that goes before it. */
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
    retryAfterMs: retryAfterDelay(finishMs, request.targetMs),
  }
}

/** Time of the stages with its wait corrected, in milliseconds; infinite where a service has no backend server. */
function correctWait(stagesMs: number, unqueuedMs: number, correctionFactor: number): number {
  return Number.isFinite(stagesMs) ? unqueuedMs + (stagesMs - unqueuedMs) * correctionFactor : stagesMs
}

function retryAfterDelay(finishMs: number, targetMs: number): number {
  if (!Number.isFinite(finishMs))
    return NO_BACKEND_RETRY_MS
  return Math.max(MIN_RETRY_MS, finishMs - targetMs * RETRY_TARGET_SHARE)
}

/** Expected time until all stages are done behind other work, in milliseconds; infinite where a service has no backend server. */
function estimateStages({ stages }: PreparationRequest, ahead: readonly AdmittedWork[], throughputs: Throughputs): number {
  const ends: number[] = []
  for (const { service, dependsOn, items } of stages) {
    const readyMs = Math.max(0, ...dependsOn.map(dependency => ends[dependency] ?? 0))
    ends.push(items === 0 ? readyMs : estimateCallEnd(readyMs, items, throughputs.get(service), itemsAhead(service, ahead)))
  }
  return Math.max(0, ...ends)
}

/** When the call of some items ends that may start from a time on, in milliseconds, behind other items of its service. */
function estimateCallEnd(readyMs: number, items: number, throughput: ServiceThroughput | undefined, ahead: number): number {
  if (!throughput || throughput.backends === 0)
    return Number.POSITIVE_INFINITY
  const waitMs = (items + ahead) * throughput.itemMs / throughput.backends - throughput.callMs
  return Math.max(readyMs, waitMs) + throughput.callMs
}

function itemsAhead(service: string, ahead: readonly AdmittedWork[]): number {
  return ahead.reduce((sum, work) => sum + work.remainingItems(service), 0)
}
