/**
 * HTTP server of the caller API: reads and validates a request, passes it to the
 * entry's `CallerService` and writes the response. Owns the callers' connections
 * and no persistent state: if the process dies, the connections close and callers
 * retry.
 */
import type { ConnectionLimits, MemoryPool, ReadLateness, RequestError } from '@eidermast/common'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Result } from 'ts-results-es'
import type { Configuration } from '../version/configuration.js'
import type { CallerPath } from './caller-path.js'
import type { Caller, CallerCall, CallerService, PipelineCall, ServiceCall } from './caller-service.js'
import { createError, createGuardedServer, createLogger, ErrorKind, formatError, ListenerQueue, takeUntilClosed } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import * as z from 'zod'
import { ObjectKind } from '../version/objects.js'
import { AnswerWriter } from './answer-writer.js'
import { parseJson } from './answer.js'
import { readBody } from './body-reader.js'
import { errorOfStopping, identifyCaller } from './caller-identity.js'
import { CallerPathKind, hasDotSegment, parseCallerPath, requiredMethod } from './caller-path.js'
import { errorOfDenial } from './configuration-denial.js'
import { isRequestId } from './identity.js'
import { OutcomeState } from './messages.js'

const log = createLogger('process')

/** Limits of the caller API. */
export interface CallerLimits {
  connections: ConnectionLimits
  /** Memory for bodies of requests that are not answered. */
  bodies: MemoryPool
  maxBodyBytes: number
  /** Time within which the complete body must arrive. */
  bodyTimeoutMs: number
  /** Time that a caller may take to read its response. */
  writeTimeoutMs: number
}

/** Dependencies of the caller API. */
export interface CallerServerOptions {
  limits: CallerLimits
  configuration: Configuration
  service: CallerService
  /** Handles metrics and health requests; returns whether the request was one of them. */
  answerOperations: (request: IncomingMessage, response: ServerResponse) => Promise<boolean>
}

/**
 * Time within which a request's headers must arrive. Long enough for callers on
 * lossy links; bounds how long a stalled caller occupies one of the limited
 * connections.
 */
const HEADERS_TIMEOUT_MS = 5000
/**
 * Time for which an idle connection is kept, so that callers that call about once
 * a minute need not reconnect; idle connections count towards the limit.
 */
const KEEP_ALIVE_MS = 60_000
/** Response to data that is not a valid HTTP request. */
const BAD_REQUEST = 'HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n'

const UNKNOWN_PATH_MESSAGE = 'No endpoint exists at this path; see the section on the callers\' interface in the README.'

const pipelineBodySchema = z.strictObject({ input: z.string().min(1) })

/** Creates the HTTP server for callers. */
export function createCallerServer(options: CallerServerOptions): Server {
  const handler = new CallerHandler(options)
  const { server } = createGuardedServer({
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: HEADERS_TIMEOUT_MS + options.limits.bodyTimeoutMs,
    keepAliveTimeout: KEEP_ALIVE_MS,
  }, options.limits.connections, log)
  server.on('request', (request, response) => void handler.handle(request, response, readArrival(queue, request)))
  const queue = new ListenerQueue(server, waitMs => log('listener-late', { waitMs: Math.round(waitMs) }))
  server.on('clientError', (_error, socket) => {
    if (socket.writable)
      socket.end(BAD_REQUEST)
  })
  return server
}

/** One HTTP request and the writer of its response. */
interface Exchange {
  request: IncomingMessage
  response: ServerResponse
  writer: AnswerWriter
  /** Since when its caller has waited for it to be read; monotonic time in milliseconds. */
  arrivedAt: number
  /** Undefined if it was read in time. */
  lateness: ReadLateness | undefined
}

function readArrival(queue: ListenerQueue, { socket }: IncomingMessage): Pick<Exchange, 'arrivedAt' | 'lateness'> {
  const arrivedAt = queue.arrivalOf(socket)
  return { arrivedAt, lateness: queue.latenessOf(arrivedAt) }
}

/** Handles callers' requests. */
class CallerHandler {
  constructor(private readonly options: CallerServerOptions) {}

  async handle(request: IncomingMessage, response: ServerResponse, arrival: Pick<Exchange, 'arrivedAt' | 'lateness'>): Promise<void> {
    const writer = new AnswerWriter(response, {
      writeTimeoutMs: this.options.limits.writeTimeoutMs,
      shouldClose: () => this.options.service.isRefusing(),
    })
    try {
      if (await this.options.answerOperations(request, response))
        return
      await this.route({ request, response, writer, ...arrival })
    }
    catch (error) {
      log('caller-request-failed', { url: request.url, error: formatError(error) })
      writer.sendError(createError(ErrorKind.Internal, `Internal error in the entry: ${String(error)}`))
    }
  }

  private async route(exchange: Exchange): Promise<void> {
    const { request, writer } = exchange
    const path = parseCallerPath(request.url ?? '/')
    if (!path)
      return rejectRequest(exchange, createError(ErrorKind.UnknownPath, UNKNOWN_PATH_MESSAGE))
    const method = requiredMethod(path)
    if (method && request.method !== method)
      return rejectRequest(exchange, createError(ErrorKind.MethodNotAllowed, `This path requires the method ${method}.`))
    const caller = identifyCaller(request.headers, this.options.configuration, this.options.service)
    if (caller.isErr())
      return rejectRequest(exchange, caller.error)
    if (path.kind === CallerPathKind.Outcome)
      return this.handleOutcome(caller.value, path.requestId, writer)
    if (path.kind === CallerPathKind.Ticket)
      return this.handleTicket(caller.value, exchange)
    const body = await this.readBody(request, exchange.response)
    if (body.isErr())
      return rejectRequest(exchange, body.error)
    // The entry may have begun to stop while the body arrived.
    if (this.options.service.isRefusing())
      return rejectRequest(exchange, errorOfStopping())
    const callerSignal = createDisconnectSignal(exchange.response)
    await this.run(path, exchange, { caller: caller.value, body: body.value, arrivedAt: exchange.arrivedAt, lateness: exchange.lateness, callerSignal })
  }

  private readBody(request: IncomingMessage, response: ServerResponse): Promise<Result<string, RequestError>> {
    const { maxBodyBytes, bodyTimeoutMs, bodies } = this.options.limits
    return readBody(request, { maxBytes: maxBodyBytes, timeoutMs: bodyTimeoutMs, takeMemory: takeUntilClosed(bodies, response) })
  }

  private async run(path: CallerPath, { request, writer }: Exchange, call: CallerCall): Promise<void> {
    if (path.kind === CallerPathKind.Pipeline) {
      const pipelineCall = this.createPipelineCall(path.pipeline, call, writer)
      writer.sendAnswer(pipelineCall.isOk() ? await this.options.service.runPipeline(pipelineCall.value) : pipelineCall)
    }
    else if (path.kind === CallerPathKind.Service) {
      const serviceCall = this.createServiceCall(path.service, path.path, request, call)
      writer.sendServiceAnswer(serviceCall.isOk() ? await this.options.service.runService(serviceCall.value) : serviceCall)
    }
  }

  private createPipelineCall(name: string, call: CallerCall, writer: AnswerWriter): Result<PipelineCall, RequestError> {
    const pipeline = this.options.configuration.get(ObjectKind.Template, name)
    if (!pipeline)
      return Err(errorOfDenial(createError(ErrorKind.UnknownPipeline, 'No pipeline with this name is published; check the path.'), this.options.service.configurationFreshness))
    const parsed = pipelineBodySchema.safeParse(parseJson(call.body))
    if (!parsed.success)
      return Err(createError(ErrorKind.InvalidRequest, 'Send a JSON object whose only field is "input", a non-empty string.'))
    const onToken = (index: number, text: string): void => writer.sendToken(index, text)
    return Ok({ ...call, body: parsed.data.input, pipeline, onToken: call.caller.headers.stream ? onToken : undefined })
  }

  private createServiceCall(service: string, path: string, request: IncomingMessage, call: CallerCall): Result<ServiceCall, RequestError> {
    if (!this.options.service.knowsService(service))
      return Err(createError(ErrorKind.UnknownService, 'No plain service with this name is configured; check the path.'))
    if (hasDotSegment(path))
      return Err(createError(ErrorKind.InvalidRequest, 'The path of a service call must not contain dot segments.'))
    return Ok({ ...call, service, request: { method: request.method ?? 'GET', path } })
  }

  private handleTicket(caller: Caller, { request, writer }: Exchange): void {
    request.resume()
    const { requestId, ticket, expiresAt } = this.options.service.issueTicket(caller.account.name)
    writer.sendJson(201, { requestId, ticket, expiresAt: new Date(expiresAt).toISOString() })
  }

  private async handleOutcome(caller: Caller, requestId: string, writer: AnswerWriter): Promise<void> {
    if (!isRequestId(requestId))
      return writer.sendError(createError(ErrorKind.InvalidRequest, 'The request id must be a lower-case UUIDv7.'))
    const outcome = await this.options.service.findOutcome(caller.account.name, requestId)
    if (outcome.state === OutcomeState.Finished)
      return writer.sendAnswer(outcome.answer)
    if (outcome.state === OutcomeState.Running)
      return writer.sendJson(202, { requestId, state: 'running' })
    writer.sendError(createError(ErrorKind.UnknownRequest, 'No entry has an outcome for this request.'))
  }
}

/** Returns a signal that aborts if the caller disconnects before its response was written. */
function createDisconnectSignal(response: ServerResponse): AbortSignal {
  const disconnected = new AbortController()
  response.once('close', () => {
    if (!response.writableFinished)
      disconnected.abort()
  })
  return disconnected.signal
}

/** Rejects a request whose body may not be fully received; in that case the connection is closed after the response. */
function rejectRequest({ request, writer }: Exchange, error: RequestError): void {
  const bodyPending = !request.complete && request.headers['content-length'] !== '0'
  request.resume()
  writer.sendError(error, bodyPending)
}
