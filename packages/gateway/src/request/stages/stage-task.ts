/**
 * One stage of one request as it is submitted to the queue of its service, and
 * what the request's stages rely on: a queue that runs the items and holders
 * that keep the results. The process floor gives both; nothing here has state.
 */
import type { Backend } from '../../connection/backends/backend.js'
import type { ItemFailure } from '../../connection/backends/stage-client.js'
import type { StageProgress } from '../../connection/peers/preparation.js'

/**
 * Keeps results in the memory of one backend server, as far as this process
 * knows; times are on the process clock.
 */
export interface ResultHolder {
  readonly backend: Backend
  readonly failureDomain: string
  /** Whether a reader can still fetch a result. */
  isReadable: (handle: string, now: number) => boolean
  /** Milliseconds until the backend server drops a result by itself. */
  remainingLifetimeMs: (handle: string, now: number) => number
  /**
   * Marks a result for deletion; false where it is unknown or marked already.
   * Its bytes stay counted until it is dropped.
   */
  markFreeing: (handle: string) => boolean
  /** The backend server no longer holds the result; its bytes are free. */
  drop: (handle: string) => void
}

/** A result and the backend server that holds it. */
export interface StageResult {
  handle: string
  holder: ResultHolder
  bytes: number
}

/** What a task reports. */
export interface StageTaskListener {
  /** The backend servers have fetched all inputs of all items, by estimate. */
  inputsFetched: () => void
  completed: (results: StageResult[]) => void
  failed: (failure: ItemFailure) => void
}

/** The items of one stage of one request. */
export interface StageTask {
  requestId: string
  /** Of the request; absent where its gateway does not tell it. */
  fingerprint: string | undefined
  stage: number
  service: string
  items: number
  /** Bytes of one result. */
  resultBytes: number
  key: string | undefined
  inputs: readonly StageResult[]
  /** Failure domain of the backend server that reads the results, where that is not another stage's. */
  readerDomain: string | undefined
  /** Place in the order; the least goes first. */
  rank: number
  /** When the request's answer misses its target, on the process clock in milliseconds. */
  targetAt: number
  /** When the client stops waiting, on the process clock in milliseconds. */
  deadlineAt: number
  /** Expected time of everything after this stage, in milliseconds. */
  remainingMs: number
  listener: StageTaskListener
}

/** A task that a queue has accepted. */
export interface SubmittedTask {
  /** Ends it without a report; results of items under way are freed when they arrive. */
  cancel: () => void
  /** Whether every item without a result is in a call. */
  isUnderWay: () => boolean
}

/** Runs the tasks of one stage service. */
export interface StageTaskQueue {
  /** Accepts a task; may report to its listener before it returns. */
  submit: (task: StageTask) => SubmittedTask
  /** Takes results of an earlier coordinator over; undefined where the backend server of one of them is unknown. */
  adopt: (progress: StageProgress) => StageResult[] | undefined
  /** Deletes a result at its backend server. */
  free: (result: StageResult) => void
  /** Expected time of one call, in milliseconds. */
  typicalCallMs: () => number
}

/** The queue of a service; undefined where the configuration has no such stage service. */
export type StageTaskQueues = (service: string) => StageTaskQueue | undefined
