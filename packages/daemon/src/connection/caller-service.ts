/**
 * Interface between the callers' HTTP server and the entry. Planning, admission
 * and execution of requests belong to higher layers, which are injected into the
 * server at start-up.
 */
import type { ReadLateness } from '@eidermast/common'
import type { UsableObject } from '../version/configuration.js'
import type { Account, Template } from '../version/objects.js'
import type { RequestAnswer } from './answer.js'
import type { CallerHeaders } from './caller-headers.js'
import type { LinkTokenListener } from './link-call.js'
import type { OutcomeState, ServiceRequest } from './messages.js'
import type { ConfigurationFreshness } from './side-heartbeats.js'

/** A caller with a configured account and an accepted token. */
export interface Caller {
  headers: CallerHeaders
  account: UsableObject<Account>
}

/** Fields common to pipeline calls and plain service calls. */
export interface CallerCall {
  caller: Caller
  /** Input of the pipeline, or request body for the plain service. */
  body: string
  /** Arrival time of the request's headers (monotonic, in milliseconds). */
  arrivedAt: number
  /** Undefined if it was read in time. */
  lateness: ReadLateness | undefined
  /** Aborts if the caller disconnects before its response was written. */
  callerSignal: AbortSignal
}

export interface PipelineCall extends CallerCall {
  pipeline: UsableObject<Template>
  /** Receives tokens as they are produced; set if the caller requests a stream. */
  onToken?: LinkTokenListener
}

export interface ServiceCall extends CallerCall {
  service: string
  request: ServiceRequest
}

/** A ticket issued to a caller. */
export interface IssuedTicket {
  requestId: string
  ticket: string
  /** Expiry in epoch milliseconds. */
  expiresAt: number
}

/** Outcome of a request as known to the entries. */
export type FoundOutcome
  = { state: OutcomeState.Finished, answer: RequestAnswer }
    | { state: OutcomeState.Running | OutcomeState.Unknown }

/** Operations that the entry provides to the callers' server. */
export interface CallerService {
  /** Whether this process has loaded a configuration. */
  knowsConfiguration: () => boolean
  /** Whether that configuration is up to date. */
  configurationFreshness: ConfigurationFreshness
  /** Whether the process is stopping and accepts no new requests. */
  isRefusing: () => boolean
  /** Whether a plain service with this name is configured. */
  knowsService: (service: string) => boolean
  runPipeline: (call: PipelineCall) => Promise<RequestAnswer>
  runService: (call: ServiceCall) => Promise<RequestAnswer>
  issueTicket: (account: string) => IssuedTicket
  /** Queries all entries for the outcome of an account's request. */
  findOutcome: (account: string, requestId: string) => Promise<FoundOutcome>
}
