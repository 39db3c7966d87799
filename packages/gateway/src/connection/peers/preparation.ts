/**
 * The stage work of one request as it is asked of a coordinator, and its
 * outcome. The coordinator is this gateway or another one; `peer-messages`
 * encodes these types for calls between gateways.
 */
import type { Result } from 'ts-results-es'
import type { PromptPart } from '../clients/client-codec.js'

/** One preparing stage of a request. */
export interface PreparationStage {
  service: string
  /** Numbers of the stages whose results this one reads. */
  dependsOn: number[]
  /** Expected size of one result, in bytes. */
  resultBytes: number
  /** Number of items; 0 where the request needs none. */
  items: number
}

/** A result of a stage, as one coordinator hands it to the next. */
export interface StageProgressResult {
  handle: string
  /** Id of the backend server that holds it. */
  backend: string
  bytes: number
  /** Milliseconds until it expires. */
  remainingMs: number
}

/** A stage that an earlier coordinator has finished; its results are empty where all their readers have fetched them. */
export interface StageProgress {
  /** Number of the stage in its route. */
  stage: number
  results: StageProgressResult[]
}

/** The stage work of one request. */
export interface PreparationRequest {
  requestId: string
  stages: PreparationStage[]
  /** Input of the stages that read no results. */
  key: string
  /** 0 is the most urgent. */
  priority: number
  /** Milliseconds left until an answer misses its target; negative where it has. */
  targetMs: number
  /** Milliseconds left until the client stops waiting. */
  deadlineMs: number
  /** The client was refused before and sent the request again. */
  isRetry: boolean
  /** Failure domain of the backend server that will read the results. */
  failureDomain: string
  /** The same for each time that its client sends it; absent in requests of releases that do not tell it. */
  fingerprint?: string
  /** The service that answers the request. */
  service?: string
  /** Parts of its prompt in order; absent where it has none. */
  prompt?: PromptPart[]
  /** Name of the shard that does the work (`stage-shard.ts`). @default all */
  shard?: string
  /** Stages that an earlier coordinator has finished and handed over. */
  progress?: StageProgress[]
}

/** Results for the request's backend server. */
export interface PreparedInputs {
  handles: string[]
  /** Failure domain in which most of their bytes are. */
  failureDomain: string
  /** Size of all results, in bytes. */
  bytes: number
  /** Id of the model engine that shall read them, where the coordinator chose one. */
  engine?: string
}

/** Why stage work ended without results. */
export enum PreparationFailureKind {
  /** It cannot end before its deadline. */
  TooLate = 'too-late',
  /** It would miss its target behind the work that waits; nothing was started. */
  Overloaded = 'overloaded',
  /** A stage's service is unknown. The value is on the wire between gateways. */
  NoBackend = 'no-replica',
  /** Items failed repeatedly. */
  Failed = 'failed',
  /** The coordinator is stopping; the next one continues the work. */
  HandedOver = 'handed-over',
  /** The request was cancelled. */
  Cancelled = 'cancelled',
}

/** Stage work that ended without results. Nothing that must not be repeated has run. */
export interface PreparationFailure {
  kind: PreparationFailureKind
  message: string
  /** Milliseconds after which a retry is worth while. */
  retryAfterMs: number
  /** Finished stages, where the work is handed over. */
  progress?: StageProgress[]
}

/** Runs the stage work of requests. */
export interface Preparer {
  /** Ends with a failure of kind `cancelled` when the signal aborts. */
  prepare: (request: PreparationRequest, signal: AbortSignal) => Promise<Result<PreparedInputs, PreparationFailure>>
  /** Frees the results of a request; does nothing where it has none. */
  release: (requestId: string) => void
}
