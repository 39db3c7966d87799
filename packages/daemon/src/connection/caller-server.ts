/**
 * The callers' interface over HTTP.
 */
import type { RequestError } from '@eidermast/common'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Result } from 'ts-results-es'
import type { EntrySettings } from '../process/settings.js'
import type { Ticket, TicketOffice } from '../request/authority/tickets.js'
import type { IncomingRequest } from '../request/incoming-request.js'
import type { PlanRequest, RequestPlan } from '../request/plan.js'
import type { RequestService } from '../request/request-service.js'
import type { Configuration, UsableObject } from '../version/configuration.js'
import type { Account } from '../version/objects.js'
import type { CallerHeaders } from './caller-headers.js'
import { createServer } from 'node:http'
import { createError, ErrorKind } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import { z } from 'zod'
import { TicketFault } from '../request/authority/tickets.js'
import { planPipeline, planService } from '../request/plan.js'
import { ObjectKind } from '../version/objects.js'
import { AnswerWriter } from './answer-writer.js'
import { parseAnswer, parseJson } from './answer.js'
import { readBody } from './body-reader.js'
import { parseCallerHeaders } from './caller-headers.js'
import { isRequestId } from './identity.js'
import { equalSecrets } from './peer-key.js'

const pipelineBodySchema = z.strictObject({ input: z.string().min(1) })

/** Parts of the callers' interface. */
export interface CallerServerOptions {
  settings: EntrySettings
  configuration: Configuration
  pipelines: RequestService
  services: RequestService
  tickets: TicketOffice
  /** Whether the configuration is known. */
  isReady: () => boolean
  /** Whether the process takes new requests no longer. */
  isStopping: () => boolean
  knowsService: (service: string) => boolean
  /** Finds the answer of a request at any entry, as JSON text. */
  findOutcome: (account: string, requestId: string) => Promise<string | undefined>
  /** Answers metrics and health; returns whether the path was one of them. */
  answerOperations: (request: IncomingMessage, response: ServerResponse) => Promise<boolean>
}

/** A request whose account is known. */
interface Caller {
  headers: CallerHeaders
  account: UsableObject<Account>
}

const HEADERS_TIMEOUT_MS = 5000
const PIPELINE_PATH = /^\/v1\/pipelines\/([^/]+)\/requests$/
const SERVICE_PATH = /^\/v1\/services\/([^/]+)(\/.*)$/
const REQUEST_PATH = /^\/v1\/requests\/([^/]+)$/
const TICKET_PATH = '/v1/tickets'
/** Path segments that could lead a service path elsewhere. */
const DOT_SEGMENT = /(?:^|\/)(?:\.|%2e){1,2}(?:\/|$)/i

/** Creates the HTTP server for callers. */
export function createCallerServer(options: CallerServerOptions): Server {
  const handler = new CallerHandler(options)
  const server = createServer({
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: HEADERS_TIMEOUT_MS + options.settings['body-timeout-ms'],
    keepAliveTimeout: 60_000,
  }, (request, response) => void handler.handle(request, response))
  server.maxConnections = options.settings['max-connections']
  server.on('clientError', (_error, socket) => {
    if (socket.writable)
      socket.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n')
  })
  return server
}

/** Answers callers' requests. */
class CallerHandler {
  constructor(private readonly options: CallerServerOptions) {}

  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const writer = new AnswerWriter(response, {
      writeTimeoutMs: this.options.settings['write-timeout-ms'],
      closing: this.options.isStopping,
    })
    try {
      if (await this.options.answerOperations(request, response))
        return
      await this.route(request, response, writer)
    }
    catch (error) {
      writer.sendError(createError(ErrorKind.Internal, `The entry failed: ${String(error)}`))
    }
  }

  private async route(request: IncomingMessage, response: ServerResponse, writer: AnswerWriter): Promise<void> {
    const arrivedAt = performance.now()
    // The path is taken as it came: resolving dot segments could lead it to another service.
    const [path, query] = splitTarget(request.url ?? '/')
    const pipeline = PIPELINE_PATH.exec(path)?.[1]
    const service = SERVICE_PATH.exec(path)
    const outcome = REQUEST_PATH.exec(path)?.[1]
    const isTicket = path === TICKET_PATH
    if (!pipeline && !service && !outcome && !isTicket)
      return this.reject(request, writer, createError(ErrorKind.UnknownPath, 'There is nothing at this path; see the callers\' interface in the README.'))
    const wantedMethod = outcome ? 'GET' : 'POST'
    if (!service && request.method !== wantedMethod)
      return this.reject(request, writer, createError(ErrorKind.MethodNotAllowed, `Use ${wantedMethod} at this path.`))
    const caller = this.identify(request)
    if (caller.isErr())
      return this.reject(request, writer, caller.error)
    if (outcome)
      return this.answerOutcome(caller.value, outcome, writer)
    if (isTicket)
      return this.answerTicket(request, caller.value, writer)
    const body = await readBody(request, { maximumBytes: this.options.settings['max-body-bytes'], timeoutMs: this.options.settings['body-timeout-ms'] })
    if (body.isErr())
      return this.reject(request, writer, body.error)
    const incoming = service
      ? this.createServiceRequest(request, caller.value, service[1], service[2] + query, body.value, arrivedAt)
      : this.createPipelineRequest(caller.value, pipeline!, body.value, arrivedAt)
    if (incoming.isErr())
      return writer.sendError(incoming.error)
    await this.run(incoming.value, response, writer, caller.value.headers.stream, service !== null)
  }

  private async run(incoming: IncomingRequest, response: ServerResponse, writer: AnswerWriter, stream: boolean, isService: boolean): Promise<void> {
    const gone = new AbortController()
    response.once('close', () => {
      if (!response.writableFinished)
        gone.abort()
    })
    incoming.callerGone = gone.signal
    if (stream && !isService)
      incoming.onToken = (index, text) => writer.sendToken(index, text)
    if (isService)
      writer.sendServiceAnswer(await this.options.services.handle(incoming))
    else
      writer.sendAnswer(await this.options.pipelines.handle(incoming))
  }

  /** Refuses a request whose body may still be coming; the connection ends with the answer. */
  private reject(request: IncomingMessage, writer: AnswerWriter, error: RequestError): void {
    const unread = !request.complete && request.headers['content-length'] !== '0'
    request.resume()
    writer.sendError(error, unread)
  }

  /** Checks headers, account and token. */
  private identify(request: IncomingMessage): Result<Caller, RequestError> {
    if (this.options.isStopping())
      return Err(createError(ErrorKind.Stopping, 'This entry is stopping; send the request again, the balancer knows others.'))
    if (!this.options.isReady())
      return Err(createError(ErrorKind.NotReady, 'This entry does not know its configuration yet; come back after the given time.'))
    const headers = parseCallerHeaders(request.headers)
    if (headers.isErr())
      return headers
    const account = this.options.configuration.get(ObjectKind.Account, headers.value.account)
    if (!account)
      return Err(createError(ErrorKind.UnknownAccount, 'The client account is not configured; check Eidermast-Account.'))
    if (!acceptsToken(account.value, headers.value.tokenHash))
      return Err(createError(ErrorKind.Unauthenticated, 'The client account asks for a bearer token; send it in Authorization.'))
    return Ok({ headers: headers.value, account })
  }

  private createPipelineRequest(caller: Caller, pipeline: string, body: string, arrivedAt: number): Result<IncomingRequest, RequestError> {
    const template = this.options.configuration.get(ObjectKind.Template, pipeline)
    if (!template)
      return Err(createError(ErrorKind.UnknownPipeline, 'No pipeline of this name is published; check the path.'))
    const parsed = pipelineBodySchema.safeParse(parseJson(body))
    if (!parsed.success)
      return Err(createError(ErrorKind.InvalidRequest, 'Send a JSON object with the one field "input", a text that is not empty.'))
    const plan = planPipeline(pipeline, template.value, caller.account.value, caller.headers)
    return this.createIncoming(caller, plan, parsed.data.input, arrivedAt)
  }

  private createServiceRequest(request: IncomingMessage, caller: Caller, service: string, path: string, body: string, arrivedAt: number): Result<IncomingRequest, RequestError> {
    if (!this.options.knowsService(service))
      return Err(createError(ErrorKind.UnknownService, 'No plain service of this name is configured; check the path.'))
    if (DOT_SEGMENT.test(path))
      return Err(createError(ErrorKind.InvalidRequest, 'The path of a service call must hold no dot segments.'))
    const planRequest: PlanRequest = caller.headers
    const plan = planService(service, { method: request.method ?? 'GET', path }, caller.account.value, planRequest)
    return this.createIncoming(caller, plan, body, arrivedAt)
  }

  private createIncoming(caller: Caller, plan: RequestPlan, body: string, arrivedAt: number): Result<IncomingRequest, RequestError> {
    const { headers, account } = caller
    const ticket = headers.ticket === undefined ? Ok(undefined) : this.checkTicket(headers.ticket, account.name)
    if (ticket.isErr())
      return ticket
    return Ok({
      account: account.name,
      share: account.value.share,
      requestId: headers.requestId,
      ticket: ticket.value,
      ticketText: headers.ticket,
      plan: ticket.value ? { ...plan, unrepeatable: true } : plan,
      body,
      arrivedAt,
      callerGone: new AbortController().signal,
    })
  }

  private checkTicket(text: string, account: string): Result<Ticket, RequestError> {
    const ticket = this.options.tickets.verify(text)
    if (ticket.isOk() && ticket.value.account === account)
      return ticket
    if (ticket.isErr() && ticket.error === TicketFault.Expired)
      return Err(createError(ErrorKind.RequestIdExpired, 'The ticket has expired, and whether it was used is no longer known; look at what the request did, then get a new one.'))
    return Err(createError(ErrorKind.TicketInvalid, 'The ticket is not one that was given to this client account; get one from POST /v1/tickets.'))
  }

  private answerTicket(request: IncomingMessage, caller: Caller, writer: AnswerWriter): void {
    request.resume()
    const { requestId, ticket, expiresAt } = this.options.tickets.issue(caller.account.name)
    writer.sendJson(201, { requestId, ticket, expiresAt: new Date(expiresAt).toISOString() })
  }

  private async answerOutcome(caller: Caller, requestId: string, writer: AnswerWriter): Promise<void> {
    if (!isRequestId(requestId))
      return writer.sendError(createError(ErrorKind.InvalidRequest, 'The request id must be a lower-case UUIDv7.'))
    const answer = await this.options.findOutcome(caller.account.name, requestId)
    if (answer === undefined)
      return writer.sendError(createError(ErrorKind.UnknownRequest, 'No entry knows the outcome of this request.'))
    if (answer === '')
      return writer.sendJson(202, { requestId, state: 'running' })
    writer.sendAnswer(parseAnswer(answer))
  }
}

/** Splits a request target into its path and its query, which begins with a question mark. */
function splitTarget(target: string): [string, string] {
  const index = target.indexOf('?')
  return index < 0 ? [target, ''] : [target.slice(0, index), target.slice(index)]
}

function acceptsToken(account: Account, tokenHash: string | undefined): boolean {
  if (account.tokenHashes.length === 0)
    return true
  return tokenHash !== undefined && account.tokenHashes.some(accepted => equalSecrets(accepted, tokenHash))
}
