/**
 * Implements the service behind the HTTP server for callers. Owns the phase of
 * the entry's graceful stop; all other state belongs to the components it calls.
 */
import type { RequestAnswer } from '../../connection/answer.js'
import type { CallerService, FoundOutcome, IssuedTicket, PipelineCall, ServiceCall } from '../../connection/caller-service.js'
import type { ConfigurationFreshness } from '../../connection/side-heartbeats.js'
import type { TicketIssuer } from '../../request/authority/tickets.js'
import type { Membership } from '../membership/membership.js'
import type { ConfigurationMonitor } from './configuration-monitor.js'
import type { StoppableEntry } from './graceful-stop.js'
import type { OutcomeSearch } from './outcome-search.js'
import type { RequestDispatcher } from './request-dispatcher.js'
import { EntryPhase } from './graceful-stop.js'

/** Dependencies of the service. */
export interface EntryCallerServiceOptions {
  dispatcher: RequestDispatcher
  tickets: TicketIssuer
  search: OutcomeSearch
  configurationMonitor: ConfigurationMonitor
  membership: Membership
}

/** Serves the callers of one entry. */
export class EntryCallerService implements CallerService, StoppableEntry {
  phase = EntryPhase.Serving

  constructor(private readonly options: EntryCallerServiceOptions) {}

  get inFlight(): number {
    return this.options.dispatcher.inFlight
  }

  /** Whether the load balancer should route callers to this entry. */
  isReady(): boolean {
    return this.phase === EntryPhase.Serving && this.knowsConfiguration() && this.options.membership.hasTriedBackends
  }

  knowsConfiguration(): boolean {
    return this.options.configurationMonitor.isKnown
  }

  get configurationFreshness(): ConfigurationFreshness {
    return this.options.configurationMonitor
  }

  isRefusing(): boolean {
    return this.phase === EntryPhase.Refusing
  }

  knowsService(service: string): boolean {
    return this.options.membership.knowsService(service)
  }

  runPipeline(call: PipelineCall): Promise<RequestAnswer> {
    return this.options.dispatcher.runPipeline(call)
  }

  runService(call: ServiceCall): Promise<RequestAnswer> {
    return this.options.dispatcher.runService(call)
  }

  issueTicket(account: string): IssuedTicket {
    return this.options.tickets.issue(account)
  }

  findOutcome(account: string, requestId: string): Promise<FoundOutcome> {
    return this.options.search.find({ account, requestId })
  }
}
