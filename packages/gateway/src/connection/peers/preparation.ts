/**
 * The stage work of one request, as requested from a coordinator, and its
 * outcome. The coordinator may be this gateway or another one; `peer-messages.ts`
 * encodes these types for calls between gateways.
 */
import type { Result } from 'ts-results-es'
import type { PromptPart } from '../clients/client-codec.js'

/** One preparatory stage of a request. */
export interface PreparationStage {
  service: string
  /** Indexes of the stages whose results this one reads. */
  dependsOn: number[]
  /** Expected size of one result, in bytes. */
  resultBytes: number
  /** Number of items; 0 if the request does not need the stage. */
  items: number
}

/** A stage result, as handed over from one coordinator to the next. */
export interface StageProgressResult {
  handle: string
  /** Id of the backend server that stores it. */
  backend: string
  bytes: number
  /** Milliseconds until it expires. */
  remainingMs: number
}

/** A stage that an earlier coordinator has completed; `results` is empty if all their readers have fetched them. */
export interface StageProgress {
  /** Index of the stage in its route. */
  stage: number
  results: StageProgressResult[]
}

/** The stage work of one request. */
export interface PreparationRequest {
  requestId: string
  stages: PreparationStage[]
  /** Input of the stages that depend on no other stage. */
  key: string
  /** 0 is the highest priority. */
  priority: number
  /** Milliseconds left to meet the target latency; negative if it has been missed. */
  targetMs: number
  /** Milliseconds left until the client's deadline. */
  deadlineMs: number
  /** The client repeats a request that was rejected before. */
  isRetry: boolean
  /** Failure domain of the backend server that will read the results. */
  failureDomain: string
  /** Identical each time that the client sends the request; undefined for releases that do not send it. */
  fingerprint?: string
  /** Name of its client account; undefined if it has none, and for releases that do not send it. */
  account?: string
  /** The service that the request is for. */
  service?: string
  /** Software version of the backend server that has to answer it, where it continues a stream. @default any */
  softwareVersion?: string
  /** Parts of its prompt in order; undefined if it has none. */
  prompt?: PromptPart[]
  /** Name of the shard that does the work, see `stage-shard.ts`. @default all */
  shard?: string
  /** Stages that an earlier coordinator has completed and handed over. */
  progress?: StageProgress[]
}

/** Stage results for the backend server of the request. */
export interface PreparedInputs {
  handles: string[]
  /** Failure domain that holds most of their bytes. */
  failureDomain: string
  /** Size of all results, in bytes. */
  bytes: number
  /** Id of the model engine that should read them, if the coordinator chose one. */
  engine?: string
}

/** Why stage work failed. */
export enum PreparationFailureKind {
  /** It cannot be completed before its deadline. */
  TooLate = 'too-late',
  /** It would miss its target because of queued work; nothing was started. */
  Overloaded = 'overloaded',
  /** No backend server of a stage's service is known. The value is part of the protocol between gateways. */
  NoBackend = 'no-replica',
  /** Items failed repeatedly. */
  Failed = 'failed',
  /** The coordinator is shutting down; the next one continues the work. */
  HandedOver = 'handed-over',
  /** The request was cancelled. */
  Cancelled = 'cancelled',
}

/** Failed stage work. Nothing that must not be repeated was executed. */
export interface PreparationFailure {
  kind: PreparationFailureKind
  message: string
  /** Milliseconds after which a retry is likely to succeed. */
  retryAfterMs: number
  /** Completed stages, if the work is handed over. */
  progress?: StageProgress[]
}

/** Runs the stage work of requests. */
export interface Preparer {
  /** Fails with kind `cancelled` when the signal is aborted. */
  prepare: (request: PreparationRequest, signal: AbortSignal) => Promise<Result<PreparedInputs, PreparationFailure>>
  /** Releases the results of a request; does nothing if there are none. */
  release: (requestId: string) => void
}
