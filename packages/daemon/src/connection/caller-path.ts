/**
 * Parses the target of a caller's HTTP request. Pure: it uses neither the
 * configuration nor the request's headers.
 */

/** Endpoints of the caller API. */
export enum CallerPathKind {
  /** `POST /v1/pipelines/NAME/requests`. */
  Pipeline = 'pipeline',
  /** `/v1/services/NAME/...`, with any method. */
  Service = 'service',
  /** `GET /v1/requests/ID`. */
  Outcome = 'outcome',
  /** `POST /v1/tickets`. */
  Ticket = 'ticket',
}

/** A parsed path of the caller API. */
export type CallerPath
  = { kind: CallerPathKind.Pipeline, pipeline: string }
    /** `path` is the path sent to the service, including the query. */
    | { kind: CallerPathKind.Service, service: string, path: string }
    | { kind: CallerPathKind.Outcome, requestId: string }
    | { kind: CallerPathKind.Ticket }

const PIPELINE_PATH = /^\/v1\/pipelines\/([^/]+)\/requests$/
const SERVICE_PATH = /^\/v1\/services\/([^/]+)(\/.*)$/
const REQUEST_PATH = /^\/v1\/requests\/([^/]+)$/
const TICKET_PATH = '/v1/tickets'
/** Dot segments, with which a service path could reach another service. */
const DOT_SEGMENT = /(?:^|\/)(?:\.|%2e){1,2}(?:\/|$)/i

/** Parses a request target; undefined if no endpoint has its path. Dot segments are not resolved. */
export function parseCallerPath(target: string): CallerPath | undefined {
  const queryAt = target.indexOf('?')
  const path = queryAt < 0 ? target : target.slice(0, queryAt)
  const query = queryAt < 0 ? '' : target.slice(queryAt)
  const pipeline = PIPELINE_PATH.exec(path)
  if (pipeline)
    return { kind: CallerPathKind.Pipeline, pipeline: pipeline[1] }
  const service = SERVICE_PATH.exec(path)
  if (service)
    return { kind: CallerPathKind.Service, service: service[1], path: service[2] + query }
  const outcome = REQUEST_PATH.exec(path)
  if (outcome)
    return { kind: CallerPathKind.Outcome, requestId: outcome[1] }
  return path === TICKET_PATH ? { kind: CallerPathKind.Ticket } : undefined
}

/** The method that a path requires; undefined if any method is allowed. */
export function requiredMethod(path: CallerPath): 'GET' | 'POST' | undefined {
  if (path.kind === CallerPathKind.Service)
    return undefined
  return path.kind === CallerPathKind.Outcome ? 'GET' : 'POST'
}

/** Whether a service path contains segments that an HTTP library could resolve to another service. */
export function hasDotSegment(path: string): boolean {
  return DOT_SEGMENT.test(path)
}
