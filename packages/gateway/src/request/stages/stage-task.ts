/**
 * One stage of one request, waiting for or at work in its service's pool.
 */
import type { PieceFailure } from '../../connection/stage-client.js'
import type { StageWorker } from '../../process/stages/stage-backend.js'

/** A result and the replica that holds it. */
export interface StageResult {
  handle: string
  worker: StageWorker
  bytes: number
}

/** What a task reports. */
export interface StageTaskListener {
  /** The replicas have fetched all inputs of all pieces, as far as can be told. */
  inputsFetched: () => void
  completed: (results: StageResult[]) => void
  failed: (failure: PieceFailure) => void
}

/** The pieces of one stage of one request. */
export interface StageTask {
  requestId: string
  stage: number
  service: string
  pieces: number
  /** Bytes of one result. */
  resultBytes: number
  key: string | undefined
  inputs: readonly StageResult[]
  /** Zone of the replica that reads the results, if it does so directly. */
  readerZone: string | undefined
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

/** Bytes that cross zones if the task's pieces run in a zone. */
export function crossingBytes(task: StageTask, zone: string): number {
  let fetched = 0
  for (const input of task.inputs) {
    if (input.worker.zone !== zone)
      fetched += input.bytes
  }
  const handedOn = task.readerZone !== undefined && task.readerZone !== zone ? task.resultBytes : 0
  return task.pieces * (fetched + handedOn)
}
