/**
 * Finds the outcome of a request that another process life has the authority
 * to run. Never runs anything.
 */
import type { RequestAnswer } from '../../connection/answer.js'
import type { EntryPeers } from '../../connection/entry-peers.js'
import type { DecisionRecorder } from '../decision-recorder.js'
import type { IncomingRequest } from '../incoming-request.js'
import type { OutcomeTable } from '../outcomes.js'
import type { LinkedBackends } from '../stages/linked-backends.js'
import type { Claim, ClaimRegistry } from './claims.js'
import type { Ticket } from './tickets.js'
import { createError, ErrorKind, settleWithin, UNABORTED } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import { parseAnswer } from '../../connection/answer.js'
import { ForwardState } from '../../connection/entry-peers.js'
import { createRequestKey, digestRequest } from '../../connection/identity.js'
import { StageReplyKind } from '../../connection/messages.js'
import { remainingMs } from '../incoming-request.js'

/** Parts of an outcome finder. */
export interface OutcomeFinderOptions {
  incarnation: string
  claims: ClaimRegistry
  outcomes: OutcomeTable
  peers: EntryPeers
  membership: LinkedBackends
  decisions: DecisionRecorder
}

/** A request that another entry asks for. */
export interface PeerQuestion {
  account: string
  requestId: string
  /** Digest of what the request asks for, to tell a repeat from another request under the same id. */
  digest: string
  deadlineMs: number
}

/** Finds outcomes for one entry. */
export class OutcomeFinder {
  constructor(private readonly options: OutcomeFinderOptions) {}

  /** Answers another entry that asks for a request claimed here; never runs it. */
  async answerForPeer(request: PeerQuestion): Promise<RequestAnswer> {
    const { account, requestId, digest, deadlineMs } = request
    const key = createRequestKey(account, requestId)
    const known = this.options.outcomes.find(key)
    if (known && known.digest !== digest)
      return Err(createError(ErrorKind.RequestIdReused, 'This request id was used for another request; make a new id.'))
    if (known) {
      const answer = await settleWithin(known.answer, deadlineMs, UNABORTED)
      return (known.finished ?? answer) ?? Err(createError(ErrorKind.OutcomeUnknown, 'The request still runs or its answer is no longer kept; ask for its outcome with GET /v1/requests/{id}.'))
    }
    const holder = this.options.claims.find(key)
    if (holder && this.options.claims.isAbandoned(holder))
      return Err(createError(ErrorKind.LogUnavailable, 'An earlier claim of this request is being released; come back after the given time.'))
    return Err(createError(ErrorKind.OutcomeUnknown, 'The entry that took this request no longer knows its outcome; look at what it did before you send another.'))
  }

  /** Another process life holds the claim: asks it, then the sides of the last stage, and never runs the request. */
  async askHolder(incoming: IncomingRequest, requestId: string, holder: Claim): Promise<RequestAnswer> {
    const { account, plan, body } = incoming
    const deadlineMs = remainingMs(incoming)
    if (holder.incarnation === this.options.incarnation)
      return this.answerForPeer({ account, requestId, digest: digestRequest(plan.target, body), deadlineMs })
    const { state, answer } = await this.options.peers.forward(holder.address, holder.incarnation, { account, requestId, target: plan.target, body, deadlineMs })
    this.options.decisions.record('ask-holder', requestId, { holder: holder.incarnation, address: holder.address, state })
    if (state === ForwardState.Answered)
      return parseAnswer(answer)
    return await this.findResult(incoming, requestId) ?? Err(createError(ErrorKind.OutcomeUnknown, 'Another entry took this request and cannot be asked; look at what it did before you send another.'))
  }

  /** Looks for the last stage's result at the sides, whoever asked for it. */
  private async findResult(incoming: IncomingRequest, requestId: string): Promise<RequestAnswer | undefined> {
    const last = incoming.plan.stages.at(-1)!
    const members = this.options.membership.list().filter(member => member.backend.service === last.service)
    const replies = await Promise.all(members.map(async member => ({ member, reply: await member.link.findResult({ account: incoming.account, requestId, stage: last.name, body: incoming.body }) })))
    for (const { member, reply } of replies) {
      if (reply?.kind !== StageReplyKind.Done)
        continue
      const report = { stage: last.name, backend: member.backendName, milliseconds: reply.queueMs + reply.serviceMs, cost: 0, attempts: reply.identity.attempt }
      return Ok({ requestId, output: reply.output, stages: [report], status: reply.status, contentType: reply.contentType })
    }
    return undefined
  }

  /** Passes a request on to the process life that made its ticket. */
  async forward(incoming: IncomingRequest, requestId: string, ticket: Ticket): Promise<RequestAnswer> {
    const { account, plan, body, ticketText } = incoming
    const [stage] = plan.stages
    const deadlineMs = remainingMs(incoming)
    const { state, answer } = await this.options.peers.forward(ticket.address, ticket.incarnation, {
      account,
      requestId,
      target: plan.target,
      pipeline: stage.serviceRequest ? undefined : plan.target,
      service: stage.serviceRequest ? stage.service : undefined,
      serviceRequest: stage.serviceRequest,
      body,
      deadlineMs,
      ticket: ticketText,
    })
    this.options.decisions.record('forward', requestId, { address: ticket.address, state })
    if (state === ForwardState.Answered)
      return parseAnswer(answer)
    return await this.findResult(incoming, requestId) ?? Err(createError(ErrorKind.OutcomeUnknown, 'The entry that made this ticket is gone; look at what the request did before you send another.'))
  }
}
