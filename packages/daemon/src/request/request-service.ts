/**
 * Handles the requests of an entry: forwards those with a ticket of another entry,
 * deduplicates retries, admits or sheds the others, and runs the admitted requests
 * that this entry is authorized to run.
 *
 * `admission.ts`, `authority/run-authority.ts` and `outcomes.ts` make the decisions.
 * State: the requests in flight by account. If the process dies, they end when the
 * callers' connections close; an unrepeatable request that may have run remains
 * claimed by, or bound by its ticket to, the dead process incarnation.
 */
import type { RequestError } from '@eidermast/common'
import type { RequestAnswer } from '../connection/answer.js'
import type { AdmissionInput, AdmissionPolicy } from './admission.js'
import type { ClaimRegistry } from './authority/claims.js'
import type { NotRunProof } from './authority/not-run-proof.js'
import type { OutcomeFinder } from './authority/outcome-finder.js'
import type { DecisionRecorder } from './decision-recorder.js'
import type { IncomingRequest } from './incoming-request.js'
import type { Outcome, OutcomeTable } from './outcomes.js'
import type { RequestMetrics } from './request-metrics.js'
import type { RequestRunner } from './request-runner.js'
import type { LinkedBackends } from './stages/linked-backends.js'
import { createError, ErrorKind, LateRequests, NEVER_ABORTED, Ran, settleWithin } from '@eidermast/common'
import { Err } from 'ts-results-es'
import { createRequestId, createRequestKey, digestRequest } from '../connection/identity.js'
import { OutcomeState } from '../connection/messages.js'
import { AccountLoad } from './account-load.js'
import { estimateDuration } from './admission.js'
import { RunAuthority } from './authority/run-authority.js'
import { remainingMs } from './incoming-request.js'
import { RequestLog } from './request-log.js'
import { RequestEnd } from './request-metrics.js'

/** Options and dependencies of a request service. */
export interface RequestServiceOptions {
  incarnation: string
  /** Maximum number of requests in flight. */
  inFlightLimit: number
  /** Retention of claims in milliseconds. */
  claimRetentionMs: number
  admission: AdmissionPolicy
  runner: RequestRunner
  claims: ClaimRegistry
  outcomes: OutcomeTable
  proof: NotRunProof
  finder: OutcomeFinder
  membership: LinkedBackends
  decisions: DecisionRecorder
  metrics: RequestMetrics
}

/** Handles the requests of one entry for one kind of work. */
export class RequestService {
  private readonly load = new AccountLoad()
  private readonly lateRequests = new LateRequests()
  private readonly log: RequestLog
  private readonly authority: RunAuthority

  constructor(private readonly options: RequestServiceOptions) {
    this.log = new RequestLog(options.decisions)
    this.authority = new RunAuthority({ ...options, log: this.log })
  }

  /** Number of requests that have not been answered. */
  get inFlight(): number {
    return this.load.total
  }

  async handle(incoming: IncomingRequest): Promise<RequestAnswer> {
    const requestId = incoming.ticket?.requestId ?? incoming.requestId ?? createRequestId()
    const answer = await this.route(incoming, requestId)
    this.record(incoming, requestId, answer)
    return answer
  }

  private async route(incoming: IncomingRequest, requestId: string): Promise<RequestAnswer> {
    const { ticket } = incoming
    if (ticket && ticket.incarnation !== this.options.incarnation)
      return this.options.finder.forward(incoming, requestId, ticket)
    const existing = this.options.outcomes.find(createRequestKey(incoming.account, requestId))
    if (existing)
      return this.join(incoming, requestId, existing)
    return this.authority.rejectEarly(incoming, requestId) ?? this.admitAndRun(incoming, requestId)
  }

  /** Answers a duplicate with the answer of the first request, within the deadline of the duplicate. */
  private async join(incoming: IncomingRequest, requestId: string, existing: Outcome): Promise<RequestAnswer> {
    this.log.repeated(requestId, existing.state)
    if (existing.digest !== digestRequest(incoming.plan.target, incoming.body))
      return Err(createError(ErrorKind.RequestIdReused, 'This request id was already used for a different request; generate a new id.'))
    if (existing.state !== OutcomeState.Running)
      return existing.finished ?? Err(createAnswerEvictedError())
    const answer = await waitForAnswer(existing.answer, incoming)
    const firstCallerDisconnected = answer.isErr() && answer.error.kind === ErrorKind.Cancelled
    // The run ended because the first caller disconnected; this caller still needs an answer.
    return firstCallerDisconnected && !incoming.callerSignal.aborted ? this.route(incoming, requestId) : answer
  }

  private async admitAndRun(incoming: IncomingRequest, requestId: string): Promise<RequestAnswer> {
    const shedError = this.admit(incoming, requestId)
    if (shedError)
      return this.authority.answerNotRun(incoming, requestId, shedError)
    const { account, share, plan, body } = incoming
    const { outcomes, metrics } = this.options
    const outcome = outcomes.add(createRequestKey(account, requestId), digestRequest(plan.target, body), plan.unrepeatable)
    this.load.add(account, share)
    metrics.setInFlight(this.load.total)
    try {
      return await this.runWithAuthority(incoming, requestId, outcome)
    }
    catch (error) {
      const answer: RequestAnswer = Err(createError(ErrorKind.Internal, `Internal error at the entry: ${String(error)}`, { ran: Ran.Unknown }))
      outcomes.finish(outcome, answer)
      return answer
    }
    finally {
      this.load.remove(account)
      metrics.setInFlight(this.load.total)
    }
  }

  private admit(incoming: IncomingRequest, requestId: string): RequestError | undefined {
    const { plan, account, share } = incoming
    const input: AdmissionInput = {
      inFlight: this.load.total,
      inFlightLimit: this.options.inFlightLimit,
      accountInFlight: this.load.inFlightOf(account),
      accountShare: this.load.relativeShare(account, share),
      deadlineMs: remainingMs(incoming),
      ...estimateDuration(plan, this.options.membership),
    }
    const isTableFull = plan.unrepeatable && !this.options.outcomes.hasCapacity
    const lateError = this.lateRequests.check({ account, weight: share, allowedMs: plan.deadlineMs, lateness: incoming.lateness })
    const shedError = isTableFull ? createOutcomeTableFullError() : lateError ?? this.options.admission.decide(input)
    this.log.decidedAdmission(incoming, requestId, input, shedError)
    return shedError
  }

  private async runWithAuthority(incoming: IncomingRequest, requestId: string, outcome: Outcome): Promise<RequestAnswer> {
    const { outcomes, runner } = this.options
    const authority = await this.authority.obtain(incoming, requestId)
    if (!authority.granted) {
      outcomes.finish(outcome, authority.answer, authority.state)
      // Nothing ran here, so the request id may be sent again.
      outcomes.remove(outcome)
      return authority.answer
    }
    const { plan } = incoming
    // The only run of an unrepeatable request continues without its caller, which may get the answer later.
    const callerSignal = plan.unrepeatable ? NEVER_ABORTED : incoming.callerSignal
    const answer = await runner.run({ ...incoming, callerSignal }, requestId)
    outcomes.finish(outcome, answer)
    // A failed repeatable request may be sent again with the same id.
    if (answer.isErr() && !plan.unrepeatable)
      outcomes.remove(outcome)
    return answer
  }

  private record(incoming: IncomingRequest, requestId: string, answer: RequestAnswer): void {
    const { plan, arrivedAt } = incoming
    const milliseconds = performance.now() - arrivedAt
    const end = classifyEnd(answer, milliseconds, plan.deadlineMs)
    this.options.metrics.recordRequest(plan.target, plan.priority, end, milliseconds)
    if (answer.isErr())
      this.options.metrics.recordError(answer.error.kind, answer.error.ran)
    this.log.answered(incoming, requestId, answer, end, milliseconds)
  }
}

function classifyEnd(answer: RequestAnswer, milliseconds: number, deadlineMs: number): RequestEnd {
  if (answer.isErr())
    return RequestEnd.Error
  return milliseconds <= deadlineMs ? RequestEnd.Attained : RequestEnd.Late
}

function createAnswerEvictedError(): RequestError {
  return createError(ErrorKind.OutcomeUnknown, 'This request was already answered and the answer is no longer stored; do not send it again.')
}

function createOutcomeTableFullError(): RequestError {
  return createError(ErrorKind.Overloaded, 'This entry has reached its limit of stored unrepeatable requests; retry after the indicated delay.')
}

/** Waits for the answer of a running request until the deadline of its duplicate. */
async function waitForAnswer(answer: Promise<RequestAnswer>, incoming: IncomingRequest): Promise<RequestAnswer> {
  const settled = await settleWithin(answer, remainingMs(incoming), incoming.callerSignal)
  if (settled)
    return settled
  const message = 'The request is still running; get its outcome with GET /v1/requests/{id}.'
  return Err(createError(ErrorKind.DeadlineExceeded, message, { ran: Ran.Unknown }))
}
