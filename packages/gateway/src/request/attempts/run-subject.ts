/**
 * What a run at backend servers begins with, and how it ends.
 */
import type { RequestError } from '@eidermast/common'
import type { ClientAnswer } from '../../connection/clients/client-answer.js'
import type { RoutedRequest } from '../routed-request.js'
import type { RetryDecision } from './retry-rule.js'

/** Stage results that a request's backend server reads. */
export interface RunInputs {
  handles: readonly string[] | undefined
  /** Failure domain where most of their bytes lie. */
  failureDomain: string | undefined
  bytes: number
  /** Id of the backend server that shall read them, if it can; chosen with them. */
  engine?: string
  /** The backend server has read them. */
  onRead?: () => void
  /** Makes them again; undefined where that failed. */
  renew?: () => Promise<readonly string[] | undefined>
}

/** Inputs of a request that has no stages. */
export const NO_INPUTS: RunInputs = { handles: undefined, failureDomain: undefined, bytes: 0 }

/** How a request's run ended. */
export interface RunEnd {
  /** Absent where the request was answered. */
  error?: RequestError
  /** Why there was no further attempt; absent where one answered. */
  retry?: RetryDecision
  /** When the first event of a stream was passed on: milliseconds of the process clock. */
  firstEventAt?: number
}

/** One request, and where its answer goes. */
export interface RunSubject {
  request: RoutedRequest
  inputs: RunInputs
  answer: ClientAnswer
  /** Aborts when the client leaves. */
  signal: AbortSignal
}
