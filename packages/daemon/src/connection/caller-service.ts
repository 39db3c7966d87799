/**
 * What the callers' HTTP server needs of the entry behind it, as an interface:
 * planning, admission and running stand on the floors above and are given to
 * the server at the start.
 */
import type { UsableObject } from '../version/configuration.js'
import type { Account, Template } from '../version/objects.js'
import type { RequestAnswer } from './answer.js'
import type { CallerHeaders } from './caller-headers.js'
import type { LinkTokenListener } from './link-call.js'
import type { OutcomeState, ServiceRequest } from './messages.js'

/** A caller whose account is configured and whose token is accepted. */
export interface Caller {
  headers: CallerHeaders
  account: UsableObject<Account>
}

/** What calls of pipelines and of plain services have in common. */
export interface CallerCall {
  caller: Caller
  /** The pipeline's input, or the body for the plain service. */
  body: string
  /** Time of the process clock at which the request's headers came, in milliseconds. */
  arrivedAt: number
  /** Aborts when the caller closes the connection before its answer was written. */
  callerGone: AbortSignal
}

/** A call of a pipeline. */
export interface PipelineCall extends CallerCall {
  pipeline: UsableObject<Template>
  /** Receives tokens as they come, where the caller wants a stream. */
  onToken?: LinkTokenListener
}

/** A call of a plain service. */
export interface ServiceCall extends CallerCall {
  service: string
  request: ServiceRequest
}

/** A ticket as it is given to a caller. */
export interface IssuedTicket {
  requestId: string
  ticket: string
  /** Epoch milliseconds. */
  expiresAt: number
}

/** What the entries know of a request. */
export type FoundOutcome
  = { state: OutcomeState.Finished, answer: RequestAnswer }
    | { state: OutcomeState.Running | OutcomeState.Unknown }

/** The entry behind the callers' server. */
export interface CallerService {
  /** Whether this process knows a configuration to answer by. */
  knowsConfiguration: () => boolean
  /** Whether the process is stopping and takes no new requests. */
  isRefusing: () => boolean
  /** Whether a plain service of this name is configured. */
  knowsService: (service: string) => boolean
  runPipeline: (call: PipelineCall) => Promise<RequestAnswer>
  runService: (call: ServiceCall) => Promise<RequestAnswer>
  issueTicket: (account: string) => IssuedTicket
  /** Asks every entry for the outcome of an account's request. */
  findOutcome: (account: string, requestId: string) => Promise<FoundOutcome>
}
