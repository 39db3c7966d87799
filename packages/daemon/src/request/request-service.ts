/**
 * Takes requests in at an entry: joins repeats, admits or sheds, makes sure
 * that an unrepeatable request is run by one process life only, and runs it.
 */
import type { RequestError } from '@eidermast/common'
import type { RequestAnswer } from '../connection/answer.js'
import type { AdmissionPolicy } from './admission.js'
import type { ClaimRegistry } from './authority/claims.js'
import type { NotRunProof } from './authority/not-run-proof.js'
import type { OutcomeFinder } from './authority/outcome-finder.js'
import type { DecisionRecorder } from './decision-recorder.js'
import type { IncomingRequest } from './incoming-request.js'
import type { Outcome, OutcomeTable } from './outcomes.js'
import type { RequestPlan } from './plan.js'
import type { RequestMetrics } from './request-metrics.js'
import type { RequestRunner } from './request-runner.js'
import type { LinkedBackends } from './stages/linked-backends.js'
import { createError, ErrorKind, Ran, settleWithin, UNABORTED } from '@eidermast/common'
import { Err } from 'ts-results-es'
import { createRequestId, createRequestKey, digestRequest, requestIdTime } from '../connection/identity.js'
import { OutcomeState } from '../connection/messages.js'
import { AccountLoad } from './account-load.js'
import { ClaimResultKind } from './authority/claims.js'
import { remainingMs } from './incoming-request.js'
import { RequestEnd } from './request-metrics.js'
import { predictWaitMs } from './stages/choice.js'

/** Parts of a request service. */
export interface RequestServiceOptions {
  incarnation: string
  inFlightLimit: number
  /** Milliseconds for which claims are remembered. */
  claimMemoryMs: number
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

/** How far a caller's clock may be ahead, in milliseconds. */
const CLOCK_AHEAD_MS = 60_000

/** Where the authority to run a request stands. */
type Authority = { granted: true } | { granted: false, answer: RequestAnswer, state: OutcomeState }

/** Takes in the requests of one entry and one kind of work. */
export class RequestService {
  private readonly load = new AccountLoad()

  constructor(private readonly options: RequestServiceOptions) {}

  /** Requests that have not been answered. */
  get inFlight(): number {
    return this.load.total
  }

  /** Answers a request. */
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
    const key = createRequestKey(incoming.account, requestId)
    const digest = digestRequest(incoming.plan.target, incoming.body)
    const known = this.options.outcomes.find(key)
    if (known)
      return this.join(incoming, requestId, known, digest)
    if (!needsClaim(incoming))
      return this.admitAndRun(incoming, requestId, key, digest)
    const idFault = this.checkRequestIdTime(requestId)
    if (idFault)
      return Err(idFault)
    const holder = this.options.claims.find(key)
    if (holder)
      return this.options.finder.askHolder(incoming, requestId, holder)
    if (!this.options.claims.current)
      return this.answerNotRun(incoming, requestId, key, createLogError())
    return this.admitAndRun(incoming, requestId, key, digest)
  }

  /** A repeat gets the answer of the first, within its own deadline. */
  private async join(incoming: IncomingRequest, requestId: string, known: Outcome, digest: string): Promise<RequestAnswer> {
    this.options.decisions.record('repeat', requestId, { state: known.state })
    if (known.digest !== digest)
      return Err(createError(ErrorKind.RequestIdReused, 'This request id was used for another request; make a new id.'))
    if (known.state !== OutcomeState.Running) {
      return known.finished ?? Err(createError(ErrorKind.OutcomeUnknown, 'This request was answered before and the answer is no longer kept; do not send it again.'))
    }
    const answer = await waitForAnswer(known.answer, incoming)
    const firstCallerGone = answer.isErr() && answer.error.kind === ErrorKind.Cancelled
    // The first caller's leave ended the run, not this caller's.
    return firstCallerGone && !incoming.callerGone.aborted ? this.route(incoming, requestId) : answer
  }

  private async admitAndRun(incoming: IncomingRequest, requestId: string, key: string, digest: string): Promise<RequestAnswer> {
    const shed = this.admit(incoming, requestId)
    if (shed)
      return this.answerNotRun(incoming, requestId, key, shed)
    const outcome = this.options.outcomes.open(key, digest, incoming.plan.unrepeatable)
    this.load.add(incoming.account, incoming.share)
    this.options.metrics.setInFlight(this.load.total)
    try {
      return await this.runWithAuthority(incoming, requestId, outcome)
    }
    catch (error) {
      const answer: RequestAnswer = Err(createError(ErrorKind.Internal, `The entry failed: ${String(error)}`, { ran: Ran.Unknown }))
      this.options.outcomes.finish(outcome, answer)
      return answer
    }
    finally {
      this.load.remove(incoming.account)
      this.options.metrics.setInFlight(this.load.total)
    }
  }

  private admit(incoming: IncomingRequest, requestId: string): RequestError | undefined {
    const { plan, account, share } = incoming
    const expected = this.expect(plan)
    const view = {
      inFlight: this.load.total,
      inFlightLimit: this.options.inFlightLimit,
      accountInFlight: this.load.of(account),
      accountShare: this.load.shareWith(account, share),
      deadlineMs: plan.deadlineMs,
      expectedMs: expected.totalMs,
      expectedWaitMs: expected.waitMs,
    }
    const noRoom = plan.unrepeatable && !this.options.outcomes.hasRoom
    const shed = noRoom
      ? createError(ErrorKind.Overloaded, 'This entry remembers as many unrepeatable requests as it can; come back after the given time.')
      : this.options.admission.decide(view)
    this.options.decisions.record(shed ? 'shed' : 'admit', requestId, { account, target: plan.target, kind: shed?.kind, inFlight: view.inFlight, accountInFlight: view.accountInFlight, expectedMs: view.expectedMs, deadlineMs: plan.deadlineMs })
    return shed
  }

  /** Expected time of a plan's stages; the total is undefined where a stage has no backend server. */
  private expect(plan: RequestPlan): { totalMs: number | undefined, waitMs: number } {
    let serviceMs = 0
    let waitMs = 0
    for (const stage of plan.stages) {
      const candidates = this.options.membership.candidates(stage)
      if (candidates.length === 0)
        return { totalMs: undefined, waitMs }
      const waits = candidates.map(candidate => predictWaitMs(candidate, plan.priority))
      waitMs += waits.reduce((sum, wait) => sum + wait, 0) / waits.length
      serviceMs += candidates.reduce((sum, candidate) => sum + (candidate.load?.meanServiceMs ?? 0), 0) / candidates.length
    }
    return { totalMs: serviceMs + waitMs, waitMs }
  }

  private async runWithAuthority(incoming: IncomingRequest, requestId: string, outcome: Outcome): Promise<RequestAnswer> {
    const authority = needsClaim(incoming) ? await this.claim(incoming, requestId, outcome) : { granted: true as const }
    if (!authority.granted) {
      this.options.outcomes.finish(outcome, authority.answer, authority.state)
      // Nothing ran here: the id may be sent again.
      this.options.outcomes.forget(outcome)
      return authority.answer
    }
    const { account, plan, body, arrivedAt, callerGone, onToken } = incoming
    // The one run of an unrepeatable request goes on without its caller, who may come back for the answer.
    const stopSignal = plan.unrepeatable ? UNABORTED : callerGone
    const answer = await this.options.runner.run({ account, requestId, plan, body, deadlineAt: arrivedAt + plan.deadlineMs, callerGone: stopSignal, onToken })
    this.options.outcomes.finish(outcome, answer)
    // A repeatable request that failed may be sent again under its id.
    if (answer.isErr() && !plan.unrepeatable)
      this.options.outcomes.forget(outcome)
    return answer
  }

  /** Claims an unrepeatable request; gives up at once when the log cannot say who holds it. */
  private async claim(incoming: IncomingRequest, requestId: string, outcome: Outcome): Promise<Authority> {
    const { account, callerGone } = incoming
    const attempt = this.options.claims.claim(account, requestId)
    const result = await settleWithin(attempt.result, remainingMs(incoming), callerGone)
    this.options.decisions.record('claim', requestId, { account, result: result?.kind ?? 'over' })
    this.options.metrics.recordClaim(result?.kind ?? 'over')
    if (!result) {
      // Nothing was dispatched and nothing will be: a claim that is won later is released.
      void attempt.result.then((late) => {
        if (late.kind === ClaimResultKind.Won)
          void this.options.claims.release({ claimId: attempt.claimId, account, requestId })
      })
    }
    switch (result?.kind) {
      case ClaimResultKind.Won:
        return { granted: true }
      case ClaimResultKind.Lost:
        return { granted: false, state: OutcomeState.Unknown, answer: await this.options.finder.askHolder(incoming, requestId, result.winner) }
      default: {
        return { granted: false, state: OutcomeState.NotRun, answer: await this.answerNotRun(incoming, requestId, outcome.key, createLogError()) }
      }
    }
  }

  /** Says that a request did not run, where that can be proved. */
  private async answerNotRun(incoming: IncomingRequest, requestId: string, key: string, error: RequestError): Promise<RequestAnswer> {
    const logVouches = this.options.claims.current && error.kind !== ErrorKind.LogUnavailable
    if (!needsClaim(incoming) || logVouches)
      return Err(error)
    if (await this.options.proof.holds(incoming.account, requestId, key))
      return Err(error)
    const holder = this.options.claims.find(key)
    if (holder)
      return this.options.finder.askHolder(incoming, requestId, holder)
    return Err(createError(ErrorKind.LogUnavailable, 'The log does not answer and another entry may have run this request; ask for its outcome with GET /v1/requests/{id}.', { ran: Ran.Unknown }))
  }

  /** The time in a request id must be within what is remembered of claims. */
  private checkRequestIdTime(requestId: string): RequestError | undefined {
    const age = Date.now() - requestIdTime(requestId)
    if (age > this.options.claimMemoryMs)
      return createError(ErrorKind.RequestIdExpired, 'This request id is too old to tell whether it ran; look at what it did, then make a new id.')
    if (age < -CLOCK_AHEAD_MS)
      return createError(ErrorKind.InvalidRequest, 'The time in this request id is in the future; set the clock and make a new UUIDv7.')
    return undefined
  }

  private record(incoming: IncomingRequest, requestId: string, answer: RequestAnswer): void {
    const { plan, arrivedAt } = incoming
    const milliseconds = performance.now() - arrivedAt
    const end = describeEnd(answer, milliseconds, plan.deadlineMs)
    this.options.metrics.recordRequest(plan.target, plan.priority, end, milliseconds)
    if (answer.isErr())
      this.options.metrics.recordError(answer.error.kind, answer.error.ran)
    this.options.decisions.record('answer', requestId, { target: plan.target, account: incoming.account, end, kind: answer.isErr() ? answer.error.kind : undefined, ran: answer.isErr() ? answer.error.ran : undefined, milliseconds })
  }
}

function createLogError(): RequestError {
  return createError(ErrorKind.LogUnavailable, 'The log that guards unrepeatable requests does not answer; come back after the given time, or use a ticket from POST /v1/tickets.')
}

/** An unrepeatable request under an id that its caller made: another entry may get it too. */
function needsClaim(incoming: IncomingRequest): boolean {
  return incoming.plan.unrepeatable && incoming.requestId !== undefined && incoming.ticket === undefined
}

function describeEnd(answer: RequestAnswer, milliseconds: number, deadlineMs: number): RequestEnd {
  if (answer.isErr())
    return RequestEnd.Error
  return milliseconds <= deadlineMs ? RequestEnd.Attained : RequestEnd.Late
}

/** Waits for a running request's answer within the deadline of its repeat. */
async function waitForAnswer(answer: Promise<RequestAnswer>, incoming: IncomingRequest): Promise<RequestAnswer> {
  const settled = await settleWithin(answer, remainingMs(incoming), incoming.callerGone)
  return settled ?? Err(createError(ErrorKind.DeadlineExceeded, 'The request still runs; ask for its outcome with GET /v1/requests/{id}.', { ran: Ran.Unknown }))
}
