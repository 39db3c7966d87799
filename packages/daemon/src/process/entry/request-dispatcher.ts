/**
 * Creates a planned request from a validated call of a caller or from a request
 * forwarded by another entry, and dispatches it to the request service for
 * pipelines or the one for plain services. Each has its own limits, load
 * counters and policies, so that neither can exhaust the capacity of the other.
 * Stateless.
 */
import type { RequestError } from '@eidermast/common'
import type { Result } from 'ts-results-es'
import type { RequestAnswer } from '../../connection/answer.js'
import type { CallerCall, PipelineCall, ServiceCall } from '../../connection/caller-service.js'
import type { ForwardedRequest } from '../../connection/messages.js'
import type { ConfigurationFreshness } from '../../connection/side-heartbeats.js'
import type { Ticket, TicketIssuer } from '../../request/authority/tickets.js'
import type { IncomingRequest } from '../../request/incoming-request.js'
import type { RequestPlan } from '../../request/plan.js'
import type { RequestService } from '../../request/request-service.js'
import type { Configuration, UsableObject } from '../../version/configuration.js'
import type { Account } from '../../version/objects.js'
import { createError, ErrorKind, NEVER_ABORTED } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import { errorOfDenial } from '../../connection/configuration-denial.js'
import { TicketError } from '../../request/authority/tickets.js'
import { planPipeline, planService } from '../../request/plan.js'
import { ObjectKind } from '../../version/objects.js'

/** Error messages for callers whose ticket is rejected. */
const EXPIRED_TICKET_MESSAGE = 'The ticket has expired, and whether it was used is no longer known; check the effects of the request, then get a new ticket.'
const FOREIGN_TICKET_MESSAGE = 'The ticket was not issued to this client account; get one from POST /v1/tickets.'
const UNKNOWN_TICKET_MESSAGE = 'The entry that issued the ticket does not know the account or the pipeline; check them.'

/** Dependencies of the dispatcher. */
export interface RequestDispatcherOptions {
  configuration: Configuration
  freshness: ConfigurationFreshness
  pipelines: RequestService
  services: RequestService
  tickets: TicketIssuer
}

/** Dispatches the requests of one entry. */
export class RequestDispatcher {
  constructor(private readonly options: RequestDispatcherOptions) {}

  /** Number of pipeline and service requests without a response. */
  get inFlight(): number {
    return this.options.pipelines.inFlight + this.options.services.inFlight
  }

  /** Runs a pipeline for a caller. */
  async runPipeline(call: PipelineCall): Promise<RequestAnswer> {
    const { pipeline, caller } = call
    const plan = planPipeline(pipeline.name, pipeline.value, caller.account.value, caller.headers)
    const incoming = this.createIncomingRequest(call, plan)
    return incoming.isOk() ? this.options.pipelines.handle({ ...incoming.value, onToken: call.onToken }) : incoming
  }

  /** Calls a plain service for a caller. */
  async runService(call: ServiceCall): Promise<RequestAnswer> {
    const { service, request, caller } = call
    const plan = planService(service, request, caller.account.value, caller.headers)
    const incoming = this.createIncomingRequest(call, plan)
    return incoming.isOk() ? this.options.services.handle(incoming.value) : incoming
  }

  /** Runs a request that another entry forwarded because this entry issued its ticket. */
  async runForwarded(request: ForwardedRequest, ticketText: string): Promise<RequestAnswer> {
    const incoming = this.createForwardedRequest(request, ticketText)
    if (!incoming)
      return Err(this.errorOfForwarded(request, ticketText))
    const service = request.serviceRequest ? this.options.services : this.options.pipelines
    return service.handle(incoming)
  }

  private createIncomingRequest(call: CallerCall, plan: RequestPlan): Result<IncomingRequest, RequestError> {
    const { headers, account } = call.caller
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
      body: call.body,
      arrivedAt: call.arrivedAt,
      lateness: call.lateness,
      callerSignal: call.callerSignal,
    })
  }

  private checkTicket(text: string, account: string): Result<Ticket, RequestError> {
    const ticket = this.options.tickets.verify(text)
    if (ticket.isOk() && ticket.value.account === account)
      return ticket
    const expired = ticket.isErr() && ticket.error === TicketError.Expired
    return Err(expired ? createError(ErrorKind.RequestIdExpired, EXPIRED_TICKET_MESSAGE) : createError(ErrorKind.TicketInvalid, FOREIGN_TICKET_MESSAGE))
  }

  /** The error of a forwarded request whose ticket is invalid, or whose account or pipeline is not known. */
  private errorOfForwarded({ account }: ForwardedRequest, ticketText: string): RequestError {
    const error = createError(ErrorKind.TicketInvalid, UNKNOWN_TICKET_MESSAGE)
    return this.checkTicket(ticketText, account).isOk() ? errorOfDenial(error, this.options.freshness) : error
  }

  private createForwardedRequest(request: ForwardedRequest, ticketText: string): IncomingRequest | undefined {
    const ticket = this.options.tickets.verify(ticketText)
    const account = this.options.configuration.get(ObjectKind.Account, request.account)
    if (ticket.isErr() || !account || ticket.value.account !== request.account)
      return undefined
    const plan = this.planForwarded(request, account)
    return plan && {
      account: request.account,
      share: account.value.share,
      ticket: ticket.value,
      ticketText,
      plan,
      body: request.body,
      arrivedAt: performance.now(),
      // The caller is connected to the other entry; only the deadline limits this run.
      callerSignal: NEVER_ABORTED,
    }
  }

  private planForwarded(request: ForwardedRequest, account: UsableObject<Account>): RequestPlan | undefined {
    const { pipeline, service, serviceRequest } = request
    const planRequest = { deadlineMs: Math.max(1, request.deadlineMs), unrepeatable: true }
    const template = pipeline === undefined ? undefined : this.options.configuration.get(ObjectKind.Template, pipeline)
    if (template)
      return planPipeline(template.name, template.value, account.value, planRequest)
    return service && serviceRequest ? planService(service, serviceRequest, account.value, planRequest) : undefined
  }
}
