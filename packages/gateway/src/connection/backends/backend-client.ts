/**
 * Interface for calls to backend servers: the call, its response or failure, and
 * the codec that the platform's adapter implements.
 */
import type { Result } from 'ts-results-es'
import type { ReadRequestId } from './backend-connections.js'
import type { ReadNotice } from './backend-notice.js'
import type { Backend, BackendLoad } from './backend.js'
import type { UsedConnections } from './used-connections.js'

/** Header names and values in the order in which they are sent. */
export type HeaderList = readonly (readonly [name: string, value: string])[]

/** A request to be sent to a backend server. */
export interface BackendCall {
  requestId: string
  method: string
  /** Path including the query string. */
  path: string
  /** Headers of the client's request that are forwarded. */
  headers: HeaderList
  body: Buffer | undefined
  /** Time in milliseconds that the backend server has for the request. */
  remainingMs: number
  account?: string
  /** 0 is the highest priority. */
  priority?: number
  /** Handles of the stage results that the backend server reads as input. */
  inputs?: readonly string[]
  /** The stream resumes after this event. */
  lastEventId?: string
  /** The connections that carried the request in earlier attempts. @default avoids none */
  usedConnections?: UsedConnections
  /** Called just before the first byte is sent. */
  onSent?: () => void
}

/** A backend server's response: its head, and its body as a stream. */
export interface BackendResponse {
  status: number
  /** Headers for the client. */
  headers: HeaderList
  /** Whether the head delimits the body (length or chunks); otherwise the body ends when the connection closes. */
  framed: boolean
  /** Length of the body as announced in the head; undefined if it is not. */
  bodyBytes?: number
  /** Throws if the response is cut off, or if it is not framed and its backend server may have died. */
  body: AsyncIterable<Buffer>
  /** Closes the connection of this response. */
  destroy: () => void
}

/** Why a call returned no response to the request itself. */
export enum CallFailureKind {
  /** No byte was sent to the backend server. */
  NotSent = 'not-sent',
  /** The backend server started to leave before the first byte was sent. */
  Leaving = 'leaving',
  /** The backend server currently accepts no request, because of its rate limit or a backoff that it requested; no byte was sent. */
  Withheld = 'withheld',
  /** Abandoned by this process while the call waited for a connection; no byte was sent. */
  AbandonedUnsent = 'abandoned-unsent',
  /** The backend server reports that it did not execute the request. */
  Refused = 'refused',
  /** The address now belongs to another backend server; the request was not executed. */
  Misdirected = 'misdirected',
  /** A stage result that the request reads no longer exists; the request was not executed. */
  InputGone = 'input-gone',
  /** Sent, but no valid response was received; the request may have been executed. */
  Broken = 'broken',
  /** Abandoned by this process after it was sent; the request may have been executed. */
  Aborted = 'aborted',
}

/** A call that returned no response to the request itself. */
export interface CallFailure {
  kind: CallFailureKind
  message: string
}

/** Sends requests to backend servers. */
export interface BackendClient {
  /** Calls a backend server and resolves as soon as the response head is received. Never rejects. */
  run: (backend: Backend, call: BackendCall, signal: AbortSignal) => Promise<Result<BackendResponse, CallFailure>>
  /** Whether the backend server responds at all within `timeoutMs`. */
  probe: (backend: Backend, timeoutMs: number) => Promise<boolean>
}

/** What a response head says about the call. */
export interface ResponseMetadata {
  /** Undefined if the response is the result of the request itself. */
  failure: CallFailureKind | undefined
  /** Undefined if the backend server did not report its load. */
  load: BackendLoad | undefined
  /** Time in milliseconds for which the backend server stays cold; undefined if it did not report one. */
  coldMs: number | undefined
  /** Headers to forward to the client. */
  headers: HeaderList
}

/** Encodes calls and decodes response heads. */
export interface BackendCodec {
  /** Path for liveness probes; a request to it takes no slot at the backend server. */
  readonly probePath: string
  /** Encodes the headers of a call. */
  encode: (backend: Backend, call: BackendCall) => HeaderList
  /** Reads the request id that a response echoes; undefined if there is none. */
  readonly readRequestId: ReadRequestId
  /** Decodes a response head. */
  decode: (status: number, headers: Record<string, string | string[] | undefined>) => ResponseMetadata
  /** Reads the flow-control notice of a response to any call, including stage calls and probes. */
  readNotice: ReadNotice
}
