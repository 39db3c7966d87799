/**
 * What an entry answers to other processes: heartbeats, differences of the
 * configuration, requests that are passed on to it and questions for their
 * outcomes, and operators' questions. Keeps no state of its own.
 */
import type { ForwardedRequest, HeartbeatReply, OutcomeQuestion, OutcomeReply } from '../../connection/messages.js'
import type { Decision, EntryService, ProcessStatus } from '../../connection/peer-router.js'
import type { ClaimRegistry } from '../../request/authority/claims.js'
import type { OutcomeFinder } from '../../request/authority/outcome-finder.js'
import type { Configuration, ConfigurationDifference } from '../../version/configuration.js'
import type { ObjectKind } from '../../version/objects.js'
import type { DecisionLog } from '../decision-log.js'
import type { Membership } from '../membership/membership.js'
import type { Settings } from '../settings.js'
import type { EntryCallerService } from './caller-service.js'
import type { ConfigurationWatch } from './configuration-watch.js'
import type { OutcomeSearch } from './outcome-search.js'
import type { RequestIntake } from './request-intake.js'
import process from 'node:process'
import { formatAnswer } from '../../connection/answer.js'
import { digestRequest } from '../../connection/identity.js'

/** Parts of the service. */
export interface EntryPeerServiceOptions {
  identity: Settings['process']
  incarnation: string
  configuration: Configuration
  watch: ConfigurationWatch
  membership: Membership
  claims: ClaimRegistry
  finder: OutcomeFinder
  intake: RequestIntake
  search: OutcomeSearch
  callerService: EntryCallerService
  decisions: DecisionLog
}

/** The side of one entry that faces its peers. */
export class EntryPeerService implements EntryService {
  constructor(private readonly options: EntryPeerServiceOptions) {}

  heartbeat(): HeartbeatReply {
    const { incarnation, identity, configuration } = this.options
    return { incarnation, name: identity.name, offset: configuration.offset }
  }

  difference(request: { since: number, kinds: ObjectKind[] }): ConfigurationDifference {
    return this.options.configuration.differenceSince(request.since, request.kinds)
  }

  /** Sides do not hold every kind of object, so entries take differences only by asking other entries. */
  offer(): number {
    return this.options.configuration.offset
  }

  status(): ProcessStatus {
    const { identity, incarnation, configuration, watch, membership, claims, callerService } = this.options
    const { name, role, 'failure-domain': failureDomain } = identity
    const members = membership.list().map(member => ({ subject: member.backendName, text: member.state }))
    const detail = [
      { subject: 'in-flight', text: String(callerService.inFlight) },
      { subject: 'configuration-age-ms', text: String(watch.ageMs ?? 'never read') },
      { subject: 'claims', text: String(claims.size) },
      ...members,
    ]
    const ready = callerService.isReady()
    return { name, role, incarnation, pid: process.pid, failureDomain, offset: configuration.offset, ready, detail }
  }

  explain(requestId: string): Decision[] {
    return this.options.decisions.explain(requestId)
  }

  /** With a ticket the request is run here; without one it is claimed here, and only its outcome is found. */
  async forward(request: ForwardedRequest): Promise<string> {
    const { account, requestId, target, body, deadlineMs, ticket } = request
    if (ticket !== undefined)
      return formatAnswer(await this.options.intake.runForwarded(request, ticket))
    const digest = digestRequest(target, body)
    return formatAnswer(await this.options.finder.answerForPeer({ account, requestId, digest, deadlineMs }))
  }

  outcome(question: OutcomeQuestion): OutcomeReply {
    return this.options.search.lookUp(question)
  }
}
