/**
 * One stage of one request, waiting for or at work in its service's pool.
 */
import type { ItemFailure } from '../../connection/stage-client.js'
import type { StageBackend } from '../../process/stages/stage-backend.js'

/** A result and the backend server that holds it. */
export interface StageResult {
  handle: string
  backend: StageBackend
  bytes: number
}

/** What a task reports. */
export interface StageTaskListener {
  /** The backend servers have fetched all inputs of all items, as far as can be told. */
  inputsFetched: () => void
  completed: (results: StageResult[]) => void
  failed: (failure: ItemFailure) => void
}

/** The items of one stage of one request. */
export interface StageTask {
  requestId: string
  stage: number
  service: string
  items: number
  /** Bytes of one result. */
  resultBytes: number
  key: string | undefined
  inputs: readonly StageResult[]
  /** Failure domain of the backend server that reads the results, if it does so directly. */
  readerDomain: string | undefined
  /** Place in the order; the least goes first. */
  rank: number
  /** When the request's answer becomes late, on the process clock. */
  targetAt: number
  /** When the client gives up, on the process clock. */
  deadlineAt: number
  /** Expected time of everything after this stage, in milliseconds. */
  remainingMs: number
  listener: StageTaskListener
}

/** Bytes that cross failure domains if the task's items run in a failure domain. */
export function crossingBytes(task: StageTask, failureDomain: string): number {
  let fetched = 0
  for (const input of task.inputs) {
    if (input.backend.failureDomain !== failureDomain)
      fetched += input.bytes
  }
  const handedOn = task.readerDomain !== undefined && task.readerDomain !== failureDomain ? task.resultBytes : 0
  return task.items * (fetched + handedOn)
}
