/**
 * Implements the peer API of an entry: heartbeats, configuration differences,
 * forwarded requests, outcome queries and operator queries. Stateless.
 */
import type { ForwardedRequest, HeartbeatReply, OutcomeQuery, OutcomeReply } from '../../connection/messages.js'
import type { Decision, EntryService, ProcessStatus } from '../../connection/peer-router.js'
import type { ClaimRegistry } from '../../request/authority/claims.js'
import type { OutcomeFinder } from '../../request/authority/outcome-finder.js'
import type { Configuration, ConfigurationDifference } from '../../version/configuration.js'
import type { ObjectKind } from '../../version/objects.js'
import type { DecisionLog } from '../decision-log.js'
import type { Membership } from '../membership/membership.js'
import type { Settings } from '../settings.js'
import type { ConfigurationMonitor } from './configuration-monitor.js'
import type { EntryCallerService } from './entry-caller-service.js'
import type { OutcomeSearch } from './outcome-search.js'
import type { RequestDispatcher } from './request-dispatcher.js'
import process from 'node:process'
import { formatAnswer } from '../../connection/answer.js'
import { digestRequest } from '../../connection/identity.js'

/** Dependencies of the service. */
export interface EntryPeerServiceOptions {
  identity: Settings['process']
  incarnation: string
  configuration: Configuration
  configurationMonitor: ConfigurationMonitor
  membership: Membership
  claims: ClaimRegistry
  finder: OutcomeFinder
  dispatcher: RequestDispatcher
  search: OutcomeSearch
  callerService: EntryCallerService
  decisions: DecisionLog
}

/** Serves the peers and operators of one entry. */
export class EntryPeerService implements EntryService {
  constructor(private readonly options: EntryPeerServiceOptions) {}

  heartbeat(): HeartbeatReply {
    const { incarnation, identity, configuration } = this.options
    return { incarnation, name: identity.name, offset: configuration.offset }
  }

  difference(request: { since: number, kinds: ObjectKind[] }): ConfigurationDifference {
    return this.options.configuration.differenceSince(request.since, request.kinds)
  }

  /** Ignores the offer: sides do not have all kinds of objects, so entries only pull differences from other entries. */
  offer(): number {
    return this.options.configuration.offset
  }

  status(): ProcessStatus {
    const { identity, incarnation, configuration, configurationMonitor, membership, claims, callerService } = this.options
    const { name, role, 'failure-domain': failureDomain } = identity
    const members = membership.list().map(member => ({ subject: member.backendName, text: member.state }))
    const detail = [
      { subject: 'in-flight', text: String(callerService.inFlight) },
      { subject: 'configuration-age-ms', text: String(configurationMonitor.ageMs ?? 'never read') },
      { subject: 'claims', text: String(claims.size) },
      ...members,
    ]
    const ready = callerService.isReady()
    return { name, role, incarnation, pid: process.pid, failureDomain, offset: configuration.offset, ready, detail }
  }

  explain(requestId: string): Decision[] {
    return this.options.decisions.explain(requestId)
  }

  /** Runs the request if it has a ticket; otherwise it is claimed by this entry, and only its outcome is looked up. */
  async forward(request: ForwardedRequest): Promise<string> {
    const { account, requestId, target, body, deadlineMs, ticket } = request
    if (ticket !== undefined)
      return formatAnswer(await this.options.dispatcher.runForwarded(request, ticket))
    const digest = digestRequest(target, body)
    return formatAnswer(await this.options.finder.answerForPeer({ account, requestId, digest, deadlineMs }))
  }

  outcome(query: OutcomeQuery): OutcomeReply {
    return this.options.search.lookUp(query)
  }
}
