/**
 * Decides whether a request is served, on which route, for which client account
 * and by which service.
 *
 * Inputs: the request's head and HTTP version, and the configuration in effect on
 * arrival, whose look-ups are in version/route-table.
 * Rule: a request needs a route, and the key of a client account unless the
 * route is public or no accounts are configured. A hash of the request id selects
 * the service by the weights of the route; for a stream that a client resumes, the
 * id of the request that began it. A stream is only sent to clients that read
 * chunks: others could not tell its end from that of the connection.
 * Why a hash: a client's retry with the same id goes to the same service at every
 * gateway.
 * Log events: `request-ended` (`route`, or the error's kind), `route` (`service`).
 *
 * State: the longest deadlines of routes, see client-retry-detector.ts.
 */
import type { RequestError } from '@eidermast/common'
import type { Result } from 'ts-results-es'
import type { ArrivingRequest, ClientRequest } from '../connection/clients/client-request.js'
import type { ConfigurationHolder } from '../version/configuration-holder.js'
import type { ClientAccount, Route } from '../version/configuration.js'
import type { RouteTable } from '../version/route-table.js'
import type { ReturnDetector } from './returns/return-detector.js'
import type { RoutedRequest } from './routed-request.js'
import { createError, ErrorKind } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import { pickService } from '../version/route-table.js'
import { ClientRetryDetector } from './client-retry-detector.js'
import { beginningRequestId } from './continuation/stream-key.js'
import { decideDeadlines } from './deadlines.js'
import { HASH_RANGE, hashText } from './rendezvous.js'
import { fingerprintOf, partFingerprintsOf } from './request-fingerprint.js'
import { DeadlineReturnDetector } from './returns/return-detector.js'

/** Routes requests by the configuration in effect. */
export class RequestRouter {
  private readonly retryDetector = new ClientRetryDetector()
  private readonly stageReturns = new DeadlineReturnDetector()

  constructor(
    private readonly configuration: ConfigurationHolder,
    /** Classifies requests without stages; all others are classified by their deadlines. */
    private readonly returns: ReturnDetector = new DeadlineReturnDetector(),
  ) {
    configuration.onChange(table => this.retryDetector.retainRoutes(new Set(table.configuration.routes.map(route => route.name))))
  }

  /** Routes a request, or returns the error to respond with. */
  route(request: ClientRequest): Result<RoutedRequest, RequestError> {
    const { table } = this.configuration
    if (!table)
      return Err(createError(ErrorKind.NotReady, 'no configuration loaded yet; retry later'))
    const path = request.path.split('?', 1)[0]
    const route = table.findRoute(request.head.host, path)
    if (!route)
      return Err(createError(ErrorKind.UnknownPath, `no route for ${request.head.host}${path}`))
    const account = findAccount(table, route, request.head.key)
    return account.andThen(found => this.describe(request, table, route, found))
  }

  /** When a request has to be answered, on the monotonic clock in milliseconds; undefined if no route serves it. */
  deadlineOf({ path, head, arrivedAt }: ArrivingRequest): number | undefined {
    const route = this.configuration.table?.findRoute(head.host, path.split('?', 1)[0])
    return route && decideDeadlines(arrivedAt, head.deadlineMs, route).deadlineAt
  }

  private describe(
    request: ClientRequest,
    table: RouteTable,
    route: Route,
    account: ClientAccount | undefined,
  ): Result<RoutedRequest, RequestError> {
    if (route.streaming && request.acceptsChunks === false)
      return Err(createError(ErrorKind.InvalidRequest, `route ${route.name} streams its responses, which needs HTTP/1.1`))
    const service = pickService(route, hashText(beginningRequestId(request.head) ?? request.head.requestId) / HASH_RANGE)
    if (!service)
      return Err(createError(ErrorKind.NoBackend, `route ${route.name} has no service`))
    const fingerprint = fingerprintOf({ method: request.method, host: request.head.host, path: request.path, account: account?.name, body: request.body })
    const isRetry = this.retryDetector.isRetry(route.name, request.head.deadlineMs)
    const detector = route.stages.length === 0 ? this.returns : this.stageReturns
    return Ok({
      ...request,
      ...decideDeadlines(request.arrivedAt, request.head.deadlineMs, route),
      route,
      account,
      service,
      priority: table.priorityOf(route, account),
      fingerprint,
      fingerprints: [fingerprint, ...partFingerprintsOf(service, request.head.promptParts)],
      isRetry,
      arrivalKind: detector.classify({ fingerprint, isRetry, arrivedAt: request.arrivedAt }),
    })
  }
}

/** The account that the key belongs to; undefined if none is needed. */
function findAccount(table: RouteTable, route: Route, key: string | undefined): Result<ClientAccount | undefined, RequestError> {
  if (route.public || !table.needsKeys)
    return Ok(undefined)
  const account = key === undefined ? undefined : table.findAccount(key)
  return account ? Ok(account) : Err(createError(ErrorKind.Unauthenticated, 'API key missing or unknown'))
}
