/**
 * How clients spell requests and read answers; the platform's adapter and the
 * product's own stand-ins each bring one.
 */
import type { RequestError } from '@eidermast/common'
import type { Result } from 'ts-results-es'
import type { HeaderList } from './backend-client.js'

/** One part of a prompt; several requests may begin with the same parts. */
export interface PromptPart {
  id: string
  tokens: number
}

/** What a request's head says. */
export interface ClientRequestHead {
  requestId: string
  host: string
  key: string | undefined
  /** Milliseconds that the client will wait. */
  deadlineMs: number | undefined
  promptParts: PromptPart[]
  /** Items of each stage. */
  stageItems: number[]
  /** What stages without inputs work on. */
  stageKey: string
  lastEventId: string | undefined
  /** Headers that are passed on. */
  headers: HeaderList
}

/** Reads heads and spells errors. */
export interface ClientCodec {
  /** A head, or what is wrong with it. */
  readHead: (rawHeaders: readonly string[]) => Result<ClientRequestHead, string>
  /** Status and headers of an error of the gateway's own. */
  errorHead: (error: RequestError, requestId: string | undefined) => { status: number, headers: HeaderList }
}
