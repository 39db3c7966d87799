/**
 * Calls to the backend servers of stage services, as the coordinator sees them.
 * The platform's adapter implements them; nothing here has state.
 */
import type { Backend } from './backend.js'

/** One item of stage work. */
export interface StageItem {
  requestId: string
  /** Number of the stage in its route. */
  stage: number
  /** Number of the item within its stage. */
  index: number
  /** Milliseconds until the client stops waiting. */
  remainingMs: number
  /** Input of a stage that reads no results. */
  key?: string
  /** Handles of all results that the item reads. */
  inputs?: readonly string[]
}

/** Why an item has no result. */
export enum ItemFailure {
  /** Its time ran out before the backend server started it. */
  Late = 'late',
  /** The backend server could not fetch an input. */
  InputGone = 'input-gone',
  /** The backend server has no memory for the result. */
  NoMemory = 'no-memory',
  /** Requests like its own end the backend servers that run them; it is not sent. */
  Quarantined = 'quarantined',
  /** Any other failure of the item itself. */
  Error = 'error',
}

/** An item's result or why there is none. */
export type ItemOutcome = { handle: string } | { failure: ItemFailure }

/** How a call ended. */
export enum StageCallEnd {
  /** With an outcome for each item. */
  Done = 'done',
  /** The backend server is full; nothing ran. */
  Refused = 'refused',
  /** Another backend server has the address; nothing ran. */
  Misdirected = 'misdirected',
  /** No byte was sent. */
  NotSent = 'not-sent',
  /** No valid answer; results may exist and use memory until they expire. */
  Broken = 'broken',
}

/** How a call ended; outcomes are in the order of the items, and empty unless it is done. */
export interface StageCallResult {
  end: StageCallEnd
  outcomes: ItemOutcome[]
}

/** Runs batches of items and deletes results. */
export interface StageClient {
  /** Never rejects: a call that was aborted or failed has its end. */
  run: (backend: Backend, items: readonly StageItem[], signal: AbortSignal) => Promise<StageCallResult>
  /** Deletes results; false where the backend server did not confirm it, so that they last until they expire. */
  free: (backend: Backend, handles: readonly string[]) => Promise<boolean>
  /** Free result memory in bytes; undefined where the backend server does not report it. */
  freeResultMemory: (backend: Backend) => Promise<number | undefined>
}
