/**
 * Calls to backend servers, as the rest of the gateway sees them: the call, its
 * answer or failure, and the codec that a platform brings.
 */
import type { Result } from 'ts-results-es'
import type { ReadNotice } from './backend-notice.js'
import type { Backend, BackendLoad } from './backend.js'

/** Header names and values in the order of the wire. */
export type HeaderList = readonly (readonly [name: string, value: string])[]

/** One request as it is sent to a backend server. */
export interface BackendCall {
  requestId: string
  method: string
  /** Path with its query. */
  path: string
  /** The client's headers that are passed on. */
  headers: HeaderList
  body: Buffer | undefined
  /** Milliseconds that the backend server may work. */
  remainingMs: number
  account?: string
  /** 0 is the most urgent. */
  priority?: number
  /** Handles of the stage results that the backend server reads. */
  inputs?: readonly string[]
  /** The stream goes on after this event. */
  lastEventId?: string
}

/** The head of a backend server's answer, and its body as it comes. */
export interface BackendAnswer {
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
  /** No byte reached the backend server. */
  NotSent = 'not-sent',
  /** The backend server began to leave before the first byte. */
  Leaving = 'leaving',
  /** The backend server takes no request now, by its own word; no byte reached it. */
  Withheld = 'withheld',
  /** Abandoned by this process before the first byte, while it waited for a connection. */
  AbandonedUnsent = 'abandoned-unsent',
  /** The backend server says that it did not run the request. */
  Refused = 'refused',
  /** Another backend server has the address; the request was not run. */
  Misdirected = 'misdirected',
  /** A stage result that the request reads is gone; it was not run. */
  InputGone = 'input-gone',
  /** Sent, and no sound answer came: it may have run. */
  Broken = 'broken',
  /** Abandoned by this process: it may have run. */
  Aborted = 'aborted',
}

/** A call that brought no answer of the request's own. */
export interface CallFailure {
  kind: CallFailureKind
  message: string
}

/** Runs requests at backend servers. */
export interface BackendClient {
  /** Calls a backend server; returns with the head of its answer. Never rejects. */
  run: (backend: Backend, call: BackendCall, signal: AbortSignal) => Promise<Result<BackendAnswer, CallFailure>>
  /** Whether the backend server answers at all within a time in milliseconds. */
  probe: (backend: Backend, timeoutMs: number) => Promise<boolean>
}

/** What an answer's head says of the call itself. */
export interface AnswerFacts {
  /** The request id that the answer echoes. */
  requestId: string | undefined
  /** Absent where the answer is the request's own. */
  failure: CallFailureKind | undefined
  /** Absent where the backend server did not report it. */
  load: BackendLoad | undefined
  /** Milliseconds for which the backend server is cold; absent where it does not say so. */
  coldMs: number | undefined
  /** Headers for the client. */
  headers: HeaderList
}

/** Spells calls and reads the heads of answers. */
export interface BackendCodec {
  /** Path that shows that a backend server is alive without taking a slot. */
  readonly probePath: string
  /** Headers of a call. */
  encode: (backend: Backend, call: BackendCall) => HeaderList
  /** What an answer's head says of the call. */
  decode: (status: number, headers: Record<string, string | string[] | undefined>) => AnswerFacts
  /** What an answer says of the requests that its backend server takes; of any call, stage calls and probes included. */
  readNotice: ReadNotice
}
