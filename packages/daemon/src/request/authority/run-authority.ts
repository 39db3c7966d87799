/**
 * Decides whether this entry may run an unrepeatable request whose id the
 * caller made, and what its caller is answered where it may not.
 *
 * Inputs: the time in the request id (ms); the claims read so far and whether
 * they are current; the result of this entry's own claim; what other entries
 * answer where the log cannot vouch.
 * Rule: an id older than what is remembered of claims, or from the future, is
 * refused. A request that another process life claimed is answered by asking
 * that one. Otherwise this entry claims it and runs it only if the claim is won
 * before the deadline. `ran: none` is said only if the log, read to its end
 * after the request came, or every listed entry vouches that nothing ran; else
 * `unknown`.
 * Why: a wrong "nothing ran" makes a caller send the request a second time,
 * which costs more than an answer that the caller must look into.
 * Log events: `claim`, `ask-holder`, `answer` (field `ran`).
 *
 * State: none; claims and outcomes keep theirs.
 */
import type { RequestError } from '@eidermast/common'
import type { RequestAnswer } from '../../connection/answer.js'
import type { IncomingRequest } from '../incoming-request.js'
import type { RequestLog } from '../request-log.js'
import type { RequestMetrics } from '../request-metrics.js'
import type { ClaimAttempt, ClaimRegistry } from './claims.js'
import type { NotRunProof } from './not-run-proof.js'
import type { OutcomeFinder } from './outcome-finder.js'
import { createError, ErrorKind, Ran, settleWithin } from '@eidermast/common'
import { Err } from 'ts-results-es'
import { createRequestKey, requestIdTime } from '../../connection/identity.js'
import { OutcomeState } from '../../connection/messages.js'
import { needsClaim, remainingMs } from '../incoming-request.js'
import { ClaimResultKind } from './claims.js'

/** Parts of the decision. */
export interface RunAuthorityOptions {
  claims: ClaimRegistry
  finder: OutcomeFinder
  proof: NotRunProof
  /** Milliseconds for which claims are remembered. */
  claimMemoryMs: number
  log: RequestLog
  metrics: RequestMetrics
}

/** Whether this entry may run a request; where not, the answer and what is remembered of the request. */
export type Authority = { granted: true } | { granted: false, answer: RequestAnswer, state: OutcomeState }

/** Milliseconds that a caller's clock may be ahead. Half refuses callers with poorer clocks, twice keeps claims longer. */
const CLOCK_AHEAD_MS = 60_000

/** What is logged and counted for a claim whose request ended before the log's answer. */
const REQUEST_OVER = 'over'

/** Decides on the authority to run requests, for one entry. */
export class RunAuthority {
  constructor(private readonly options: RunAuthorityOptions) {}

  /**
   * The answer of a request that this entry must not even admit; undefined
   * where it may go on. Returns without a pause in that case, so that two
   * copies of a request cannot both be found unknown.
   */
  refuseEarly(incoming: IncomingRequest, requestId: string): Promise<RequestAnswer> | undefined {
    if (!needsClaim(incoming))
      return undefined
    const idFault = this.checkRequestIdTime(requestId)
    if (idFault)
      return Promise.resolve(Err(idFault))
    const holder = this.options.claims.find(createRequestKey(incoming.account, requestId))
    if (holder)
      return this.options.finder.askHolder(incoming, requestId, holder)
    return this.options.claims.current ? undefined : this.answerNotRun(incoming, requestId, createLogError())
  }

  /** Claims a request where that is needed; ends at once when the log cannot say who holds it. */
  async obtain(incoming: IncomingRequest, requestId: string): Promise<Authority> {
    if (!needsClaim(incoming))
      return { granted: true }
    const { claims, finder, log, metrics } = this.options
    const attempt = claims.claim(incoming.account, requestId)
    const result = await settleWithin(attempt.result, remainingMs(incoming), incoming.callerGone)
    const end = result?.kind ?? REQUEST_OVER
    log.claimed(incoming, requestId, end)
    metrics.recordClaim(end)
    if (!result)
      this.releaseIfWon(incoming, requestId, attempt)
    if (result?.kind === ClaimResultKind.Won)
      return { granted: true }
    if (result?.kind === ClaimResultKind.Lost)
      return { granted: false, state: OutcomeState.Unknown, answer: await finder.askHolder(incoming, requestId, result.winner) }
    return { granted: false, state: OutcomeState.NotRun, answer: await this.answerNotRun(incoming, requestId, createLogError()) }
  }

  /** Says that a request did not run, where that can be proved. */
  async answerNotRun(incoming: IncomingRequest, requestId: string, error: RequestError): Promise<RequestAnswer> {
    const { claims, proof, finder } = this.options
    if (!needsClaim(incoming))
      return Err(error)
    const key = createRequestKey(incoming.account, requestId)
    const logVouches = error.kind !== ErrorKind.LogUnavailable && await this.logIsRead(incoming)
    const holder = claims.find(key)
    if (holder)
      return finder.askHolder(incoming, requestId, holder)
    if (logVouches || await proof.holds(incoming.account, requestId, key))
      return Err(error)
    const holderSince = claims.find(key)
    if (holderSince)
      return finder.askHolder(incoming, requestId, holderSince)
    const message = 'The log does not answer and another entry may have run this request; ask for its outcome with GET /v1/requests/{id}.'
    return Err(createError(ErrorKind.LogUnavailable, message, { ran: Ran.Unknown }))
  }

  /** Whether the log was read to its end after now, within the request's deadline. */
  private async logIsRead(incoming: IncomingRequest): Promise<boolean> {
    const { claims } = this.options
    return claims.current && await settleWithin(claims.catchUp(), remainingMs(incoming), incoming.callerGone) === true
  }

  /** Nothing was dispatched and nothing will be: a claim that is won later is released. */
  private releaseIfWon(incoming: IncomingRequest, requestId: string, attempt: ClaimAttempt): void {
    void attempt.result.then((late) => {
      if (late.kind === ClaimResultKind.Won)
        void this.options.claims.release({ claimId: attempt.claimId, account: incoming.account, requestId })
    })
  }

  /** The time in a request id must be within what is remembered of claims. */
  private checkRequestIdTime(requestId: string): RequestError | undefined {
    const age = Date.now() - requestIdTime(requestId)
    if (age > this.options.claimMemoryMs) {
      const message = 'This request id is too old to tell whether it ran; look at what it did, then make a new id.'
      return createError(ErrorKind.RequestIdExpired, message)
    }
    if (age < -CLOCK_AHEAD_MS)
      return createError(ErrorKind.InvalidRequest, 'The time in this request id is in the future; set the clock and make a new UUIDv7.')
    return undefined
  }
}

function createLogError(): RequestError {
  const advice = 'come back after the given time, or use a ticket from POST /v1/tickets.'
  return createError(ErrorKind.LogUnavailable, `The log that guards unrepeatable requests does not answer; ${advice}`)
}
