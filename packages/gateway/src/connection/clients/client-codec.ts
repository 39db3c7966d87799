/**
 * How clients write requests and read errors; the platform's adapter brings the
 * implementation.
 */
import type { RequestError } from '@eidermast/common'
import type { Result } from 'ts-results-es'
import type { HeaderList } from '../backends/backend-client.js'

/** One part of a prompt; several requests may begin with the same parts. */
export interface PromptPart {
  id: string
  tokens: number
}

/** What a request's head says. */
export interface ClientRequestHead {
  requestId: string
  host: string
  /** The key of its client account, if it sent one. */
  key: string | undefined
  /** Milliseconds that the client will wait from the start of its request. */
  deadlineMs: number | undefined
  /** In order; empty for requests without a prompt. */
  promptParts: PromptPart[]
  /** Items of each stage. */
  stageItems: number[]
  /** What stages without inputs work on. */
  stageKey: string
  /** The stream goes on after this event. */
  lastEventId: string | undefined
  /** Headers that are passed on. */
  headers: HeaderList
}

/** Decodes heads and encodes errors. */
export interface ClientCodec {
  /** A head, or what is wrong with it. */
  readHead: (rawHeaders: readonly string[]) => Result<ClientRequestHead, string>
  /** Status and headers of an error of the gateway's own. */
  errorHead: (error: RequestError, requestId: string | undefined) => { status: number, headers: HeaderList }
}
