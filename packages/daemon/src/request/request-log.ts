/**
 * Records the decisions that an entry makes about a request as a whole, with one
 * method per event. `eidermast explain` shows them.
 */
import type { RequestError } from '@eidermast/common'
import type { RequestAnswer } from '../connection/answer.js'
import type { ForwardState } from '../connection/entry-peers.js'
import type { OutcomeState } from '../connection/messages.js'
import type { AdmissionInput } from './admission.js'
import type { DecisionRecorder } from './decision-recorder.js'
import type { IncomingRequest } from './incoming-request.js'
import type { RequestEnd } from './request-metrics.js'

/** Records decisions about requests. */
export class RequestLog {
  constructor(private readonly recorder: DecisionRecorder) {}

  /** Event `repeat`: the request is a duplicate of one that this entry knows. */
  repeated(requestId: string, state: OutcomeState): void {
    this.recorder.record('repeat', requestId, { state })
  }

  /** Event `admit`, or `shed` with the error kind. */
  decidedAdmission(incoming: IncomingRequest, requestId: string, input: AdmissionInput, shedError: RequestError | undefined): void {
    this.recorder.record(shedError ? 'shed' : 'admit', requestId, {
      account: incoming.account,
      target: incoming.plan.target,
      kind: shedError?.kind,
      inFlight: input.inFlight,
      accountInFlight: input.accountInFlight,
      expectedMs: input.expectedMs,
      deadlineMs: input.deadlineMs,
      waitedMs: incoming.lateness?.waitedMs,
    })
  }

  /** Event `claim`: the result of claiming the request. */
  claimed(incoming: IncomingRequest, requestId: string, result: string): void {
    this.recorder.record('claim', requestId, { account: incoming.account, result })
  }

  /** Event `ask-holder`: the result of querying the process incarnation that holds the claim. */
  queriedHolder(requestId: string, holder: { incarnation: string, address: string }, state: ForwardState): void {
    this.recorder.record('ask-holder', requestId, { holder: holder.incarnation, address: holder.address, state })
  }

  /** Event `forward`: the result of forwarding the request to the process incarnation that issued its ticket. */
  forwarded(requestId: string, address: string, state: ForwardState): void {
    this.recorder.record('forward', requestId, { address, state })
  }

  /** Event `answer`, with the milliseconds since the arrival of the request. */
  answered(incoming: IncomingRequest, requestId: string, answer: RequestAnswer, end: RequestEnd, milliseconds: number): void {
    const error = answer.isErr() ? answer.error : undefined
    this.recorder.record('answer', requestId, {
      target: incoming.plan.target,
      account: incoming.account,
      end,
      kind: error?.kind,
      ran: error?.ran,
      milliseconds,
    })
  }
}
