/**
 * Calls to replicas, as the rest of the gateway sees them.
 */
import type { Result } from 'ts-results-es'
import type { Replica, ReplicaLoad } from './backend.js'

/** Header names and values in the order of the wire. */
export type HeaderList = readonly (readonly [name: string, value: string])[]

/** One request as it is sent to a replica. */
export interface ReplicaCall {
  requestId: string
  method: string
  /** Path with its query. */
  path: string
  /** The client's headers that are passed on. */
  headers: HeaderList
  body: Buffer | undefined
  /** Milliseconds that the replica may work. */
  remainingMs: number
  tenant?: string
  /** 0 is the most urgent. */
  priority?: number
  /** Handles of the stage results that the replica reads. */
  inputs?: readonly string[]
  /** The stream goes on after this event. */
  lastEventId?: string
}

/** The head of a replica's answer, and its body as it comes. */
export interface ReplicaAnswer {
  status: number
  /** Headers for the client. */
  headers: HeaderList
  /** Whether its head says where the body ends; one that does not ends with its connection. */
  framed: boolean
  /** Throws where the answer breaks off. */
  body: AsyncIterable<Buffer>
  /** Closes the connection of this answer. */
  destroy: () => void
}

/** Why a call brought no answer of the request's own. */
export enum CallFailureKind {
  /** No byte reached the replica. */
  NotSent = 'not-sent',
  /** The replica says that it did not run the request. */
  Refused = 'refused',
  /** Another replica has the address; the request was not run. */
  Misdirected = 'misdirected',
  /** A stage result that the request reads is gone; it was not run. */
  InputGone = 'input-gone',
  /** Sent, and no sound answer came: it may have run. */
  Broken = 'broken',
  /** Given up by this process: it may have run. */
  Aborted = 'aborted',
}

/** A call that brought no answer of the request's own. */
export interface CallFailure {
  kind: CallFailureKind
  message: string
}

/** Failures that prove that the request did not run there. */
export function provesNotRun(kind: CallFailureKind): boolean {
  return kind !== CallFailureKind.Broken && kind !== CallFailureKind.Aborted
}

/** Runs requests at replicas. */
export interface ReplicaClient {
  run: (replica: Replica, call: ReplicaCall, signal: AbortSignal) => Promise<Result<ReplicaAnswer, CallFailure>>
  /** Whether the replica answers at all within a time in milliseconds. */
  probe: (replica: Replica, timeoutMs: number) => Promise<boolean>
}

/** What an answer's head says of the call itself. */
export interface AnswerFacts {
  /** The request id that the answer echoes. */
  requestId: string | undefined
  failure: CallFailureKind | undefined
  load: ReplicaLoad | undefined
  headers: HeaderList
}

/** Spells calls and reads the heads of answers. */
export interface ReplicaCodec {
  /** Path that tells a replica's state without taking a slot. */
  readonly probePath: string
  encode: (replica: Replica, call: ReplicaCall) => HeaderList
  decode: (status: number, headers: Record<string, string | string[] | undefined>) => AnswerFacts
}
