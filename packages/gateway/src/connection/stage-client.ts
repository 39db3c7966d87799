/**
 * Calls to the backend servers that make stage results, as the scheduler sees them.
 */
import type { Backend } from './backend.js'

/** One item of stage work. */
export interface StageItem {
  requestId: string
  /** Number of the stage in its route. */
  stage: number
  /** Number of the item within its stage. */
  index: number
  /** Milliseconds after which the result is of no use. */
  remainingMs: number
  /** What a stage without inputs works on. */
  key?: string
  /** Handles of all results that it reads. */
  inputs?: readonly string[]
}

/** Why a item was not made. */
export enum ItemFailure {
  /** Its time ran out before its turn. */
  Late = 'late',
  /** An input is gone. */
  InputGone = 'input-gone',
  /** The backend server has no room for the result. */
  NoMemory = 'no-memory',
  Error = 'error',
}

/** A item's result or why there is none. */
export type ItemOutcome = { handle: string } | { failure: ItemFailure }

/** How a call ended. */
export enum StageCallEnd {
  Done = 'done',
  /** The backend server is full; nothing ran. */
  Refused = 'refused',
  /** Another backend server has the address; nothing ran. */
  Misdirected = 'misdirected',
  /** No byte was sent. */
  NotSent = 'not-sent',
  /** No sound answer; items may have been made and take room until their end. */
  Broken = 'broken',
}

/** What a call brought; outcomes stand in the order of the items. */
export interface StageCallResult {
  end: StageCallEnd
  outcomes: ItemOutcome[]
}

/** Runs batches of items and frees results. */
export interface StageClient {
  run: (backend: Backend, items: readonly StageItem[], signal: AbortSignal) => Promise<StageCallResult>
  /** Gives results up; false where the backend server did not say that they are gone: they end by themselves. */
  free: (backend: Backend, handles: readonly string[]) => Promise<boolean>
  /** Room left for results, in bytes; undefined where the backend server does not tell. */
  freeResultMemory: (backend: Backend) => Promise<number | undefined>
}
