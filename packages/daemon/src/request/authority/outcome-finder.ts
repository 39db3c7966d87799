/**
 * Finds the outcome of a request that only another process incarnation may run.
 * Forwards the request to the incarnation that issued its ticket or queries the
 * holder of its claim; if that incarnation cannot be reached, looks up the result of the last
 * stage at the sides. Never runs the request itself.
 *
 * Uses the outcomes and claims of this entry, its connections to other entries and
 * its links to sides. State: none.
 */
import type { RequestAnswer } from '../../connection/answer.js'
import type { EntryPeers } from '../../connection/entry-peers.js'
import type { DoneReply, ForwardedRequest } from '../../connection/messages.js'
import type { DecisionRecorder } from '../decision-recorder.js'
import type { IncomingRequest } from '../incoming-request.js'
import type { OutcomeTable } from '../outcomes.js'
import type { PlannedStage } from '../plan.js'
import type { LinkedBackend, LinkedBackends } from '../stages/linked-backends.js'
import type { Claim } from './claim-records.js'
import type { ClaimRegistry } from './claims.js'
import type { Ticket } from './tickets.js'
import { createError, ErrorKind, NEVER_ABORTED, settleWithin } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import { parseAnswer } from '../../connection/answer.js'
import { ForwardState } from '../../connection/entry-peers.js'
import { createRequestKey, digestRequest } from '../../connection/identity.js'
import { StageReplyKind } from '../../connection/messages.js'
import { remainingMs } from '../incoming-request.js'
import { RequestLog } from '../request-log.js'

/** Dependencies of an outcome finder. */
export interface OutcomeFinderOptions {
  incarnation: string
  claims: ClaimRegistry
  outcomes: OutcomeTable
  peers: EntryPeers
  membership: LinkedBackends
  decisions: DecisionRecorder
}

/** A query from another entry for the outcome of a request. */
export interface PeerOutcomeQuery {
  account: string
  requestId: string
  /** Digest of the request, which distinguishes a retry from another request with the same id. */
  digest: string
  deadlineMs: number
}

/** Result of the last stage of a request, found at a side. */
interface FoundResult {
  backendName: string
  reply: DoneReply
}

/** Finds outcomes of requests that this entry must not run. */
export class OutcomeFinder {
  private readonly log: RequestLog

  constructor(private readonly options: OutcomeFinderOptions) {
    this.log = new RequestLog(options.decisions)
  }

  /** Answers another entry's query for a request that was claimed here. Never runs the request. */
  async answerForPeer(request: PeerOutcomeQuery): Promise<RequestAnswer> {
    const { account, requestId, digest, deadlineMs } = request
    const key = createRequestKey(account, requestId)
    const existing = this.options.outcomes.find(key)
    if (existing && existing.digest !== digest)
      return Err(createError(ErrorKind.RequestIdReused, 'This request id was already used for a different request; generate a new id.'))
    if (existing) {
      const answer = await settleWithin(existing.answer, deadlineMs, NEVER_ABORTED)
      const advice = 'get its outcome with GET /v1/requests/{id}.'
      return existing.finished ?? answer ?? createUnknownOutcome(`The request is still running or its answer is no longer stored; ${advice}`)
    }
    const holder = this.options.claims.find(key)
    if (holder && this.options.claims.isAbandoned(holder)) {
      const message = 'An earlier claim of this request is being released; retry after the indicated delay.'
      return Err(createError(ErrorKind.LogUnavailable, message))
    }
    return createUnknownOutcome('The entry that accepted this request no longer knows its outcome; check its effects before sending another.')
  }

  /** Queries the process incarnation that holds the claim, then the sides of the last stage. */
  async queryHolder(incoming: IncomingRequest, requestId: string, holder: Claim): Promise<RequestAnswer> {
    const { account, plan, body } = incoming
    const deadlineMs = remainingMs(incoming)
    if (holder.incarnation === this.options.incarnation)
      return this.answerForPeer({ account, requestId, digest: digestRequest(plan.target, body), deadlineMs })
    const request = { account, requestId, target: plan.target, body, deadlineMs }
    const { state, answer } = await this.options.peers.forward(holder.address, holder.incarnation, request)
    this.log.queriedHolder(requestId, holder, state)
    if (state === ForwardState.Answered)
      return parseAnswer(answer)
    const advice = 'check its effects before sending another.'
    return await this.findResult(incoming, requestId) ?? createUnknownOutcome(`Another entry accepted this request and cannot be reached; ${advice}`)
  }

  /** Forwards a request to the process incarnation that issued its ticket. */
  async forward(incoming: IncomingRequest, requestId: string, ticket: Ticket): Promise<RequestAnswer> {
    const { state, answer } = await this.options.peers.forward(ticket.address, ticket.incarnation, createForwardedRequest(incoming, requestId))
    this.log.forwarded(requestId, ticket.address, state)
    if (state === ForwardState.Answered)
      return parseAnswer(answer)
    const advice = 'check the effects of the request before sending another.'
    return await this.findResult(incoming, requestId) ?? createUnknownOutcome(`The entry that issued this ticket is unavailable; ${advice}`)
  }

  /** Looks up the result of the last stage at the sides, regardless of which entry called the stage. */
  private async findResult(incoming: IncomingRequest, requestId: string): Promise<RequestAnswer | undefined> {
    const last = incoming.plan.stages.at(-1)!
    const backends = this.options.membership.list().filter(({ backend }) => backend.service === last.service)
    const results = await Promise.all(backends.map(backend => querySide(backend, incoming, requestId, last)))
    const found = results.find(result => result !== undefined)
    if (!found)
      return undefined
    const { backendName, reply } = found
    const milliseconds = reply.queueMs + reply.serviceMs
    const report = { stage: last.name, backend: backendName, milliseconds, cost: 0, attempts: reply.identity.attempt }
    return Ok({ requestId, output: reply.output, stages: [report], status: reply.status, contentType: reply.contentType })
  }
}

async function querySide(
  backend: LinkedBackend,
  incoming: IncomingRequest,
  requestId: string,
  stage: PlannedStage,
): Promise<FoundResult | undefined> {
  const { account, body } = incoming
  const reply = await backend.link.findResult({ account, requestId, stage: stage.name, body })
  return reply?.kind === StageReplyKind.Done ? { backendName: backend.backendName, reply } : undefined
}

function createForwardedRequest(incoming: IncomingRequest, requestId: string): ForwardedRequest {
  const { account, plan, body, ticketText } = incoming
  const [{ service, serviceRequest }] = plan.stages
  return {
    account,
    requestId,
    target: plan.target,
    pipeline: serviceRequest ? undefined : plan.target,
    service: serviceRequest ? service : undefined,
    serviceRequest,
    body,
    deadlineMs: remainingMs(incoming),
    ticket: ticketText,
  }
}

function createUnknownOutcome(message: string): RequestAnswer {
  return Err(createError(ErrorKind.OutcomeUnknown, message))
}
