/**
 * A request with what the configuration says of it. It lives as long as the
 * request and isn't changed; the router makes it.
 */
import type { ClientRequest } from '../connection/clients/client-request.js'
import type { ClientAccount, Route } from '../version/configuration.js'

/** A request whose route, client account and service are known. */
export interface RoutedRequest extends ClientRequest {
  route: Route
  /** Absent where the route is public or no client accounts are configured. */
  account: ClientAccount | undefined
  /** Name of the service that answers it. */
  service: string
  /** 0 is the most urgent. */
  priority: number
  /** When its answer has to be complete: milliseconds of the process clock. */
  deadlineAt: number
  /** When its client stops waiting for a first event: milliseconds of the process clock. */
  firstEventBy: number
  /** The same for each time that a client sends it (`request-fingerprint.ts`). */
  fingerprint: string
  /** Its client was refused before and sends the request again. */
  isRetry: boolean
}
