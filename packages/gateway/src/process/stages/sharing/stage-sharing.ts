/**
 * How requests that compete for stage work share it (setting `stage-sharing` in
 * `[load]`): the interface through which a coordinator asks, and the default.
 */
import type { PreparationRequest } from '../../../connection/peers/preparation.js'
import type { AdmissionCandidate, AdmissionDecision, AdmittedWork, ThroughputOfService } from '../stage-admission.js'
import { ArrivalKind } from '../../../request/returns/refusal-memory.js'
import { decideAdmission } from '../stage-admission.js'

/** Why a request was admitted or refused. */
export enum StageAdmissionReason {
  /** Expected within its target. */
  InTime = 'in-time',
  /** Returned as told; expected beyond its target, and within its deadline. */
  Late = 'late',
  /** Expected beyond its target, or beyond its deadline if it returned as told. */
  NoRoom = 'no-room',
  /** Its account has more than its share of the admitted work while others are refused. */
  AccountOverShare = 'account-over-share',
}

/** A request as it is admitted, and how it relates to earlier attempts of its client. */
export interface StageArrival {
  kind: ArrivalKind
  request: PreparationRequest
}

/** A decision with its reason. */
export interface SharedAdmission extends AdmissionDecision {
  reason: StageAdmissionReason
  /** Position in the processing order if admitted; the lowest goes first. */
  rank: number
  /** Time by which the work is to be done if admitted, in milliseconds left. */
  targetMs: number
}

/** The current load of a coordinator. */
export interface StageLoad {
  admitted: readonly AdmittedWork[]
  throughputOf: ThroughputOfService
}

/** Decides which requests get stage work. One instance for each coordinator. */
export interface StageSharing {
  /** Whether waiting work fails as soon as the work ahead of it leaves no time until its deadline. */
  readonly failsHopelessWork: boolean
  /** Relates a request that arrives now to earlier attempts of its client. */
  recordArrival: (request: PreparationRequest, now: number) => StageArrival
  /** Decides on a request; `now` is on the monotonic clock in milliseconds. */
  admit: (arrival: StageArrival, candidate: AdmissionCandidate, load: StageLoad, now: number) => SharedAdmission
}

/** Admits every request that is expected in time (setting `stage-sharing = none`). */
export class UnsharedStages implements StageSharing {
  readonly failsHopelessWork = false

  recordArrival(request: PreparationRequest): StageArrival {
    return { kind: request.isRetry ? ArrivalKind.Returned : ArrivalKind.New, request }
  }

  admit(_arrival: StageArrival, candidate: AdmissionCandidate, { admitted, throughputOf }: StageLoad): SharedAdmission {
    const decision = decideAdmission(candidate, admitted, throughputOf)
    return { ...decision, rank: candidate.rank, targetMs: candidate.request.targetMs, reason: decision.isAdmitted ? StageAdmissionReason.InTime : StageAdmissionReason.NoRoom }
  }
}
