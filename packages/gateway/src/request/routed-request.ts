/**
 * A request together with the configuration that applies to it. Created by the
 * router, immutable, lives as long as the request.
 */
import type { ClientRequest } from '../connection/clients/client-request.js'
import type { ClientAccount, Route } from '../version/configuration.js'
import type { StreamOrigin } from './continuation/stream-origin.js'
import type { ArrivalKind } from './returns/refusal-memory.js'

/** A request whose route, client account and service are known. */
export interface RoutedRequest extends ClientRequest {
  route: Route
  /** Undefined if the route is public or no client accounts are configured. */
  account: ClientAccount | undefined
  /** Name of the service that answers it. */
  service: string
  /** 0 is the most urgent. */
  priority: number
  /** When its response has to be complete, on the monotonic clock in milliseconds. */
  deadlineAt: number
  /** When its client gives up waiting for a first event, on the monotonic clock in milliseconds. */
  firstEventBy: number
  /** Identical for every attempt of the client (`request-fingerprint.ts`). */
  fingerprint: string
  /** The fingerprint, followed by those of the shared parts of its prompt. */
  fingerprints: readonly string[]
  /** The client retries this request after a rejection. */
  isRetry: boolean
  /** How it relates to earlier attempts of its client (`returns/return-detector.ts`). */
  arrivalKind: ArrivalKind
  /** Where the stream began that the client resumes; undefined for a request that resumes none. */
  origin?: StreamOrigin
}
