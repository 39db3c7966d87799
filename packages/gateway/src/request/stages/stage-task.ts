/**
 * A stage of one request as submitted to the queue of its service, and the
 * interfaces that the request's stages depend on: a queue that runs the items and
 * holders that store the results, both implemented by the process. Stateless.
 */
import type { Backend } from '../../connection/backends/backend.js'
import type { ItemFailure } from '../../connection/backends/stage-client.js'
import type { StageProgress } from '../../connection/peers/preparation.js'

/**
 * What this process knows of the results in the memory of one backend server;
 * times are on the monotonic clock in milliseconds.
 */
export interface ResultHolder {
  readonly backend: Backend
  readonly failureDomain: string
  /** Whether a reader can still fetch a result. */
  isReadable: (handle: string, now: number) => boolean
  /** Milliseconds until the backend server drops a result on its own. */
  remainingLifetimeMs: (handle: string, now: number) => number
  /**
   * Marks a result for deletion; returns false if it is unknown or already
   * marked. Its bytes stay accounted for until it is dropped.
   */
  markForDeletion: (handle: string) => boolean
  /** Removes a result that the backend server no longer holds and releases its bytes. */
  drop: (handle: string) => void
}

/** A result and the backend server that holds it. */
export interface StageResult {
  handle: string
  holder: ResultHolder
  bytes: number
}

/** Callbacks of a task. */
export interface StageTaskListener {
  /** Called when the backend servers are estimated to have fetched all inputs of all items. */
  inputsFetched: () => void
  completed: (results: StageResult[]) => void
  failed: (failure: ItemFailure) => void
}

/** The items of one stage of one request. */
export interface StageTask {
  requestId: string
  /** Fingerprint of the request; undefined if its gateway does not report one. */
  fingerprint: string | undefined
  /** Fingerprints of the shared parts of its prompt. */
  partFingerprints: readonly string[]
  stage: number
  service: string
  items: number
  /** Expected size of one result. */
  resultBytes: number
  key: string | undefined
  inputs: readonly StageResult[]
  /** Failure domain of the backend server that reads the results; undefined if another stage reads them. */
  readerDomain: string | undefined
  /** Position in the processing order; the lowest goes first. */
  rank: number
  /** When the request's response misses its target, on the monotonic clock in milliseconds. */
  targetAt: number
  /** When the client gives up, on the monotonic clock in milliseconds. */
  deadlineAt: number
  /** Expected time of everything after this stage, in milliseconds. */
  remainingMs: number
  listener: StageTaskListener
}

/** A task that a queue has accepted. */
export interface SubmittedTask {
  /** Cancels it without calling the listener; results of items in flight are freed on arrival. */
  cancel: () => void
  /** Whether every item without a result is in flight. */
  isInFlight: () => boolean
}

/** Runs the tasks of one stage service. */
export interface StageTaskQueue {
  /** Accepts a task; may call its listener before returning. */
  submit: (task: StageTask) => SubmittedTask
  /** Adopts the results of an earlier coordinator; undefined if the backend server of one of them is unknown. */
  adopt: (progress: StageProgress) => StageResult[] | undefined
  /** Deletes a result at its backend server. */
  free: (result: StageResult) => void
  /** Expected duration of one call, in milliseconds. */
  typicalCallMs: () => number
}

/** Returns the queue of a service; undefined if the configuration has no such stage service. */
export type StageTaskQueueLookup = (service: string) => StageTaskQueue | undefined
