/**
 * Decides which requests get stage work when not all of them can.
 *
 * Inputs: the request, and whether it returned as told; expected time to its
 * first event behind the admitted work (`stage-admission.ts`); admitted work of
 * each client account. All current and local to the coordinator.
 * Rule: a request that is expected in time is admitted, unless its account demands
 * more than its share and the queue is nearly as long as the target. A request
 * that returned as told and cannot be in time is admitted if it is expected before
 * its deadline, and ranked by that. Others are refused with a retry delay.
 * Why: a late answer is worth more than none to a caller who was refused before.
 * Ranked by its deadline, it leaves the room to work that can be in time for as
 * long as possible, and requests that arrive later find its room taken. Behind all
 * work that can be in time, it would be refused again where a burst lasts.
 * Log event: `stages-admission` (decision, arrival, account).
 * Load: bursts of one kind, refused callers who come back, one account with many
 * requests.
 */
import type { PreparationRequest } from '../../../connection/peers/preparation.js'
import type { AdmissionCandidate, AdmissionDecision } from '../stage-admission.js'
import type { SharedAdmission, StageArrival, StageLoad, StageSharing } from './stage-sharing.js'
import { ArrivalKind } from '../../../request/returns/refusal-memory.js'
import { bottleneckMs, decideAdmission } from '../stage-admission.js'
import { rankRequest } from '../stage-order.js'
import { AccountBalance } from './account-balance.js'
import { DecayingSum } from './decaying-sum.js'
import { refusalDelayMs } from './refusal-delay.js'
import { ReturningCallers } from './returning-callers.js'
import { StageAdmissionReason } from './stage-sharing.js'

/** Part of the time to its deadline within which late work is to be done: its last call may take longer than expected. */
const LATE_DEADLINE_SHARE = 0.9
/** Part of its target up to which a request of an account beyond its share may be expected to take; the rest is room for the others. */
const LEFT_ROOM_TARGET_SHARE = 0.85

/** Shares stage work among requests that compete (setting `stage-sharing = fair`). */
export class FairStageSharing implements StageSharing {
  readonly failsHopelessWork = true
  private readonly accounts = new AccountBalance()
  private readonly callers = new ReturningCallers()
  /** Time that the work of the callers takes that were refused in the last moments. */
  private readonly refusedWorkMs = new DecayingSum()

  constructor(private readonly random: () => number = Math.random) {}

  recordArrival(request: PreparationRequest, now: number): StageArrival {
    return this.callers.recordArrival(request, now)
  }

  admit(arrival: StageArrival, candidate: AdmissionCandidate, load: StageLoad, now: number): SharedAdmission {
    const { request } = candidate
    const workMs = bottleneckMs(request, load.throughputOf)
    this.accounts.recordArrival(request.account, workMs, now)
    const decision = this.decide(arrival, candidate, load, now)
    if (decision.isAdmitted) {
      this.accounts.recordAdmission(request.account, workMs, now)
      return decision
    }
    this.refusedWorkMs.add(workMs, now)
    const retryAfterMs = refusalDelayMs(request, decision.finishMs, this.refusedWorkMs.at(now), this.random)
    this.callers.recordRefusal(request, retryAfterMs, now)
    return { ...decision, retryAfterMs }
  }

  private decide({ kind }: StageArrival, candidate: AdmissionCandidate, { admitted, throughputOf }: StageLoad, now: number): SharedAdmission {
    const { request, rank } = candidate
    const { targetMs } = request
    const inTime = decideAdmission(candidate, admitted, throughputOf)
    if (kind === ArrivalKind.Returned && inTime.finishMs > targetMs)
      return decideLate(candidate, { admitted, throughputOf }, now)
    if (!inTime.isAdmitted || wouldFailWaiting(candidate, inTime))
      return { ...inTime, isAdmitted: false, rank, targetMs, reason: StageAdmissionReason.NoRoom }
    const mustLeaveRoom = inTime.finishMs > targetMs * LEFT_ROOM_TARGET_SHARE && this.accounts.leavesRoom(request.account, now)
    return { ...inTime, rank, targetMs, isAdmitted: !mustLeaveRoom, reason: mustLeaveRoom ? StageAdmissionReason.AccountOverShare : StageAdmissionReason.InTime }
  }
}

/** Decides on work with its deadline in place of its target, which it cannot meet. */
function decideLate(candidate: AdmissionCandidate, { admitted, throughputOf }: StageLoad, now: number): SharedAdmission {
  const request = { ...candidate.request, targetMs: candidate.request.deadlineMs * LATE_DEADLINE_SHARE }
  const rank = rankRequest(request, candidate.answerMs, now)
  const decision = decideAdmission({ ...candidate, request, rank }, admitted, throughputOf)
  const isAdmitted = decision.isAdmitted && !wouldFailWaiting(candidate, decision)
  return { ...decision, isAdmitted, rank, targetMs: request.targetMs, reason: isAdmitted ? StageAdmissionReason.Late : StageAdmissionReason.NoRoom }
}

/** Whether work is not expected before its deadline without correction, by which waiting work fails (`waiting-task-failure.ts`). */
function wouldFailWaiting({ request, answerMs }: AdmissionCandidate, { stagesMs }: AdmissionDecision): boolean {
  return stagesMs + answerMs > request.deadlineMs
}
