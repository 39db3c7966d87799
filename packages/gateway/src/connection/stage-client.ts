/**
 * Calls to the replicas that make stage results, as the scheduler sees them.
 */
import type { Replica } from './backend.js'

/** One piece of stage work. */
export interface StagePiece {
  requestId: string
  /** Number of the stage in its route. */
  stage: number
  /** Number of the piece within its stage. */
  index: number
  /** Milliseconds after which the result is of no use. */
  remainingMs: number
  /** What a stage without inputs works on. */
  key?: string
  /** Handles of all results that it reads. */
  inputs?: readonly string[]
}

/** Why a piece was not made. */
export enum PieceFailure {
  /** Its time ran out before its turn. */
  Late = 'late',
  /** An input is gone. */
  InputGone = 'input-gone',
  /** The replica has no room for the result. */
  NoRoom = 'no-room',
  Error = 'error',
}

/** A piece's result or why there is none. */
export type PieceOutcome = { handle: string } | { failure: PieceFailure }

/** How a call ended. */
export enum StageCallEnd {
  Done = 'done',
  /** The replica is full; nothing ran. */
  Refused = 'refused',
  /** Another replica has the address; nothing ran. */
  Misdirected = 'misdirected',
  /** No byte was sent. */
  NotSent = 'not-sent',
  /** No sound answer; pieces may have been made and take room until their end. */
  Broken = 'broken',
}

/** What a call brought; outcomes stand in the order of the pieces. */
export interface StageCallResult {
  end: StageCallEnd
  outcomes: PieceOutcome[]
}

/** Runs batches of pieces and frees results. */
export interface StageClient {
  run: (replica: Replica, pieces: readonly StagePiece[], signal: AbortSignal) => Promise<StageCallResult>
  /** Gives results up; false where the replica did not say that they are gone: they end by themselves. */
  free: (replica: Replica, handles: readonly string[]) => Promise<boolean>
  /** Room left for results, in bytes; undefined where the replica does not tell. */
  freeRoom: (replica: Replica) => Promise<number | undefined>
}
