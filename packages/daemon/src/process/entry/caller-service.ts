/**
 * What an entry answers to its callers' HTTP server. Owns the phase in which
 * the entry leaves; everything else belongs to the parts that it calls.
 */
import type { RequestAnswer } from '../../connection/answer.js'
import type { CallerService, FoundOutcome, IssuedTicket, PipelineCall, ServiceCall } from '../../connection/caller-service.js'
import type { TicketIssuer } from '../../request/authority/tickets.js'
import type { Membership } from '../membership/membership.js'
import type { ConfigurationWatch } from './configuration-watch.js'
import type { LeavingEntry } from './leaving.js'
import type { OutcomeSearch } from './outcome-search.js'
import type { RequestIntake } from './request-intake.js'
import { EntryPhase } from './leaving.js'

/** Parts of the service. */
export interface EntryCallerServiceOptions {
  intake: RequestIntake
  tickets: TicketIssuer
  search: OutcomeSearch
  watch: ConfigurationWatch
  membership: Membership
}

/** The callers' side of one entry. */
export class EntryCallerService implements CallerService, LeavingEntry {
  phase = EntryPhase.Serving

  constructor(private readonly options: EntryCallerServiceOptions) {}

  get inFlight(): number {
    return this.options.intake.inFlight
  }

  /** Whether the balancer should send callers here. */
  isReady(): boolean {
    return this.phase === EntryPhase.Serving && this.knowsConfiguration() && this.options.membership.hasMetBackends
  }

  knowsConfiguration(): boolean {
    return this.options.watch.isKnown
  }

  isRefusing(): boolean {
    return this.phase === EntryPhase.Refusing
  }

  knowsService(service: string): boolean {
    return this.options.membership.knowsService(service)
  }

  runPipeline(call: PipelineCall): Promise<RequestAnswer> {
    return this.options.intake.runPipeline(call)
  }

  runService(call: ServiceCall): Promise<RequestAnswer> {
    return this.options.intake.runService(call)
  }

  issueTicket(account: string): IssuedTicket {
    return this.options.tickets.issue(account)
  }

  findOutcome(account: string, requestId: string): Promise<FoundOutcome> {
    return this.options.search.find({ account, requestId })
  }
}
