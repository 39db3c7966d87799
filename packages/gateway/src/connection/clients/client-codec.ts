/**
 * Interface for decoding client requests and encoding errors; the platform's
 * adapter implements it.
 */
import type { RequestError } from '@eidermast/common'
import type { Result } from 'ts-results-es'
import type { HeaderList } from '../backends/backend-client.js'

/** One part of a prompt; different requests may share a prefix of parts. */
export interface PromptPart {
  id: string
  tokens: number
}

/** The decoded head of a client's request. */
export interface ClientRequestHead {
  requestId: string
  host: string
  /** API key of its client account, if the client sent one. */
  key: string | undefined
  /** Milliseconds from the start of the request after which the client gives up. */
  deadlineMs: number | undefined
  /** In order; empty if the request has no prompt. */
  promptParts: PromptPart[]
  /** Number of items of each stage. */
  stageItems: number[]
  /** Input of the stages that depend on no other stage. */
  stageKey: string
  /** The client resumes its stream after this event. */
  lastEventId: string | undefined
  /** Id of the client's request that brought the first event of the stream that it resumes; undefined if it names none. */
  resumedRequestId: string | undefined
  /** Headers to forward to the backend server. */
  headers: HeaderList
}

/** Decodes request heads and encodes errors. */
export interface ClientCodec {
  /** Decodes a head, or returns why it is invalid. */
  readHead: (rawHeaders: readonly string[]) => Result<ClientRequestHead, string>
  /** Status and headers of the response to an error of the gateway. */
  errorHead: (error: RequestError, requestId: string | undefined) => { status: number, headers: HeaderList }
}
