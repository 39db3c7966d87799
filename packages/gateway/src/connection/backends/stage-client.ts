/**
 * Interface for calls to the backend servers of stage services, used by the stage
 * coordinator. Implemented by the platform's adapter.
 */
import type { Backend } from './backend.js'

/** One work item of a stage. */
export interface StageItem {
  requestId: string
  /** Index of the stage in its route. */
  stage: number
  /** Index of the item in its stage. */
  index: number
  /** Milliseconds until the client's deadline. */
  remainingMs: number
  /** Input of a stage that depends on no other stage. */
  key?: string
  /** Handles of all results that the item reads. */
  inputs?: readonly string[]
}

/** Why an item produced no result. */
export enum ItemFailure {
  /** Its deadline passed before the backend server started it. */
  Late = 'late',
  /** The backend server could not fetch an input. */
  InputGone = 'input-gone',
  /** The backend server has not enough memory for the result. */
  NoMemory = 'no-memory',
  /** Requests with the same fingerprint crash backend servers; the item is not sent. */
  Quarantined = 'quarantined',
  /** Any other failure of the item. */
  Error = 'error',
}

/** The handle of an item's result, or why there is none. */
export type ItemOutcome = { handle: string } | { failure: ItemFailure }

/** How a stage call ended. */
export enum StageCallEnd {
  /** The response contains an outcome for each item. */
  Done = 'done',
  /** The backend server is at capacity; nothing was executed. */
  Refused = 'refused',
  /** The address now belongs to another backend server; nothing was executed. */
  Misdirected = 'misdirected',
  /** No byte was sent. */
  NotSent = 'not-sent',
  /** No valid response was received; results may exist and occupy memory until they expire. */
  Broken = 'broken',
}

/** The end of a call, and the outcomes in the order of the items; empty unless the call is done. */
export interface StageCallResult {
  end: StageCallEnd
  outcomes: ItemOutcome[]
}

/** Runs batches of items, and deletes results. */
export interface StageClient {
  /** Never rejects: aborted and failed calls are reported by their `end`. */
  run: (backend: Backend, items: readonly StageItem[], signal: AbortSignal) => Promise<StageCallResult>
  /** Deletes results; false if the backend server did not confirm the deletion, in which case they exist until they expire. */
  free: (backend: Backend, handles: readonly string[]) => Promise<boolean>
  /** Free memory for results in bytes; undefined if the backend server does not report it. */
  freeResultMemory: (backend: Backend) => Promise<number | undefined>
}
