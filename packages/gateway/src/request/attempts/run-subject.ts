/**
 * Input and result of running a request at backend servers.
 */
import type { RequestError } from '@eidermast/common'
import type { Result } from 'ts-results-es'
import type { ClientResponse } from '../../connection/clients/client-response.js'
import type { StreamOrigin } from '../continuation/stream-origin.js'
import type { RoutedRequest } from '../routed-request.js'
import type { RetryDecision } from './retry-rule.js'

/** How far a request has come whose stage results are recreated. */
export interface RecreationProgress {
  /** Where its stream began; undefined if it has not, or is no stream. */
  origin: StreamOrigin | undefined
  /** When the last event was passed on, on the monotonic clock in milliseconds; undefined before the first one. */
  lastEventAt: number | undefined
}

/** Stage results that the request's backend server reads. */
export interface RunInputs {
  handles: readonly string[] | undefined
  /** Failure domain that holds most of their bytes. */
  failureDomain: string | undefined
  bytes: number
  /** Id of the backend server that should read them, if it can; selected together with them. */
  engine?: string
  /** Called when the backend server has read them. */
  onRead?: () => void
  /** Recreates them; resolves with undefined if that fails. */
  recreate?: (progress: RecreationProgress) => Promise<readonly string[] | undefined>
}

/** Inputs of a request without stages. */
export const NO_INPUTS: RunInputs = { handles: undefined, failureDomain: undefined, bytes: 0 }

/** The result of running a request. */
export interface RunResult {
  /** Undefined if the request was answered. */
  error?: RequestError
  /** Why there was no further attempt; undefined if an attempt succeeded. */
  retry?: RetryDecision
  /** When the first event of a stream was forwarded, on the monotonic clock in milliseconds. */
  firstEventAt?: number
}

/** One request and the destination of its response. */
export interface RunSubject {
  request: RoutedRequest
  inputs: RunInputs
  clientResponse: ClientResponse
  /** Aborts when the client disconnects, and when the process ends. */
  signal: AbortSignal
  /** Called just before the first byte of an attempt is sent. @default nothing */
  onSent?: () => void
  /** Waits for room after a full backend server refused the request, or resolves with the error of its refusal. @default does not wait */
  awaitRoom?: () => Promise<Result<void, RequestError>>
}
