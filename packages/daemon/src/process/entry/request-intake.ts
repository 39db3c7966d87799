/**
 * Turns a checked call of a caller, or a request that another entry passes on,
 * into a planned request and hands it to the request service of its kind.
 * Pipelines and plain services have a service each, with limits, load counts
 * and policies of its own, so that neither takes the other's capacity. Keeps
 * no state of its own.
 */
import type { RequestError } from '@eidermast/common'
import type { Result } from 'ts-results-es'
import type { RequestAnswer } from '../../connection/answer.js'
import type { CallerCall, PipelineCall, ServiceCall } from '../../connection/caller-service.js'
import type { ForwardedRequest } from '../../connection/messages.js'
import type { Ticket, TicketOffice } from '../../request/authority/tickets.js'
import type { IncomingRequest } from '../../request/incoming-request.js'
import type { RequestPlan } from '../../request/plan.js'
import type { RequestService } from '../../request/request-service.js'
import type { Configuration, UsableObject } from '../../version/configuration.js'
import type { Account } from '../../version/objects.js'
import { createError, ErrorKind, NEVER_ABORTED } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import { TicketFault } from '../../request/authority/tickets.js'
import { planPipeline, planService } from '../../request/plan.js'
import { ObjectKind } from '../../version/objects.js'

/** What a caller reads when a ticket is refused. */
const EXPIRED = 'The ticket has expired, and whether it was used is no longer known; look at what the request did, then get a new one.'
const FOREIGN = 'The ticket is not one that was given to this client account; get one from POST /v1/tickets.'
const UNKNOWN = 'The entry that made the ticket does not know the account or the pipeline; check them.'

/** Parts of the intake. */
export interface RequestIntakeOptions {
  configuration: Configuration
  pipelines: RequestService
  services: RequestService
  tickets: TicketOffice
}

/** Takes in the requests of one entry. */
export class RequestIntake {
  constructor(private readonly options: RequestIntakeOptions) {}

  /** Requests of both kinds that have not been answered. */
  get inFlight(): number {
    return this.options.pipelines.inFlight + this.options.services.inFlight
  }

  /** Answers a caller's call of a pipeline. */
  async runPipeline(call: PipelineCall): Promise<RequestAnswer> {
    const { pipeline, caller } = call
    const plan = planPipeline(pipeline.name, pipeline.value, caller.account.value, caller.headers)
    const incoming = this.createIncoming(call, plan)
    return incoming.isOk() ? this.options.pipelines.handle({ ...incoming.value, onToken: call.onToken }) : incoming
  }

  /** Answers a caller's call of a plain service. */
  async runService(call: ServiceCall): Promise<RequestAnswer> {
    const { service, request, caller } = call
    const plan = planService(service, request, caller.account.value, caller.headers)
    const incoming = this.createIncoming(call, plan)
    return incoming.isOk() ? this.options.services.handle(incoming.value) : incoming
  }

  /** Answers a request that another entry passes on because its ticket was made here. */
  async runForwarded(request: ForwardedRequest, ticketText: string): Promise<RequestAnswer> {
    const incoming = this.createForwarded(request, ticketText)
    if (!incoming)
      return Err(createError(ErrorKind.TicketInvalid, UNKNOWN))
    const service = request.serviceRequest ? this.options.services : this.options.pipelines
    return service.handle(incoming)
  }

  private createIncoming(call: CallerCall, plan: RequestPlan): Result<IncomingRequest, RequestError> {
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
      callerGone: call.callerGone,
    })
  }

  private checkTicket(text: string, account: string): Result<Ticket, RequestError> {
    const ticket = this.options.tickets.verify(text)
    if (ticket.isOk() && ticket.value.account === account)
      return ticket
    const expired = ticket.isErr() && ticket.error === TicketFault.Expired
    return Err(expired ? createError(ErrorKind.RequestIdExpired, EXPIRED) : createError(ErrorKind.TicketInvalid, FOREIGN))
  }

  private createForwarded(request: ForwardedRequest, ticketText: string): IncomingRequest | undefined {
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
      // The caller's connection ends at the other entry; the deadline bounds the run.
      callerGone: NEVER_ABORTED,
    }
  }

  private planForwarded(request: ForwardedRequest, account: UsableObject<Account>): RequestPlan | undefined {
    const { pipeline, service, serviceRequest } = request
    const asked = { deadlineMs: Math.max(1, request.deadlineMs), unrepeatable: true }
    const template = pipeline === undefined ? undefined : this.options.configuration.get(ObjectKind.Template, pipeline)
    if (template)
      return planPipeline(template.name, template.value, account.value, asked)
    return service && serviceRequest ? planService(service, serviceRequest, account.value, asked) : undefined
  }
}
