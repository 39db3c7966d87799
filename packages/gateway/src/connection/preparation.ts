/**
 * What a request asks of its preparing stages, and what it gets. A request is
 * prepared by this gateway or by another one; `peer-messages` spells these
 * types for the way between gateways.
 */
import type { Result } from 'ts-results-es'

/** One preparing stage of a request. */
export interface PreparationStage {
  service: string
  /** Numbers of the stages whose results this one reads. */
  dependsOn: number[]
  /** Expected size of one result, in bytes. */
  resultBytes: number
  /** Items of the stage; 0 where the request has none. */
  items: number
}

/** A result of a stage, as one coordinator hands it to the next. */
export interface StageProgressResult {
  handle: string
  /** Id of the backend server that holds it. */
  backend: string
  bytes: number
  /** Milliseconds until the backend server drops it. */
  remainingMs: number
}

/** A stage that an earlier coordinator has done; its results are empty where all their readers have them. */
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
  /** What an earlier coordinator has done and handed over. */
  progress?: StageProgress[]
}

/** Results for the request's backend server. */
export interface PreparedInputs {
  handles: string[]
  /** Failure domain in which most of their bytes are. */
  failureDomain: string
  /** Size of all results, in bytes. */
  bytes: number
}

/** Why stage work ended without results. */
export enum PreparationFailureKind {
  /** It cannot be done in time. */
  TooLate = 'too-late',
  /** More work waits than can be done in time; nothing was started. */
  Overloaded = 'overloaded',
  /** No backend server of a stage's service can be used. On the wire between gateways since the first release. */
  NoBackend = 'no-replica',
  /** Items failed repeatedly. */
  Failed = 'failed',
  /** The coordinator is stopping; the next one takes the work. */
  HandedOver = 'handed-over',
  /** The request was cancelled. */
  Cancelled = 'cancelled',
}

/** Stage work that ended without results; nothing that may not be repeated has run. */
export interface PreparationFailure {
  kind: PreparationFailureKind
  message: string
  /** Milliseconds after which a retry is worth while. */
  retryAfterMs: number
  /** What is done, where the work is handed over. */
  progress?: StageProgress[]
}

/** Does the stage work of requests. */
export interface Preparer {
  prepare: (request: PreparationRequest, signal: AbortSignal) => Promise<Result<PreparedInputs, PreparationFailure>>
  /** Frees the results of a request. */
  release: (requestId: string) => void
}
