/**
 * Creates the components that run the requests of an entry: claims, tickets,
 * outcomes, and one request service each for pipelines and for plain services,
 * with separate limits, load counters and policies. Their state lives in memory
 * and is lost when the process ends.
 */
import type { EntryPeers } from '../../connection/entry-peers.js'
import type { Configuration } from '../../version/configuration.js'
import type { LogClient } from '../../version/log.js'
import type { DecisionLog } from '../decision-log.js'
import type { Membership } from '../membership/membership.js'
import type { VirtualMachineList } from '../membership/virtual-machine-list.js'
import type { EntryMetrics } from '../metrics.js'
import type { Settings } from '../settings.js'
import { ClaimRegistry } from '../../request/authority/claims.js'
import { NotRunProof } from '../../request/authority/not-run-proof.js'
import { OutcomeFinder } from '../../request/authority/outcome-finder.js'
import { TicketIssuer } from '../../request/authority/tickets.js'
import { OutcomeTable } from '../../request/outcomes.js'
import { RequestRunner } from '../../request/request-runner.js'
import { RequestService } from '../../request/request-service.js'
import { StageCaller } from '../../request/stages/stage-caller.js'
import { createAdmission, createChoice, createEjection, createRetry, createStageBudget } from '../policies.js'

/**
 * Time for which keys of unrepeatable requests are retained beyond the lifetime
 * of claims and tickets. It covers clock skew between entries, including clocks
 * that are not synchronized, and responses in transit, at the cost of memory.
 */
const KEY_RETENTION_MARGIN_MS = 120_000

/** Options of `createRequestComponents`. */
export interface RequestComponentsOptions {
  settings: Settings
  incarnation: string
  /** Peer address of this entry, as `host:port`. */
  address: string
  configuration: Configuration
  logClient: LogClient
  membership: Membership
  machines: VirtualMachineList
  peers: EntryPeers
  decisions: DecisionLog
  metrics: EntryMetrics
}

/** Components that run the requests of one entry. */
export interface RequestComponents {
  claims: ClaimRegistry
  outcomes: OutcomeTable
  tickets: TicketIssuer
  finder: OutcomeFinder
  pipelines: RequestService
  services: RequestService
}

/** Creates the components; `claims.run` has to be started by the caller. */
export function createRequestComponents(options: RequestComponentsOptions): RequestComponents {
  const { settings, incarnation, address, membership, peers, decisions } = options
  const { entry, process: identity } = settings
  const claims = createClaims(options)
  const outcomes = createOutcomes(entry)
  const tickets = new TicketIssuer({ key: identity.key, incarnation, address, lifetimeMs: entry['ticket-lifetime-ms'] })
  const finder = new OutcomeFinder({ incarnation, claims, outcomes, peers, membership, decisions })
  const shared = { claims, outcomes, tickets, finder }
  return {
    ...shared,
    pipelines: createRequestService(options, shared, entry['max-requests']),
    services: createRequestService(options, shared, entry['max-service-calls']),
  }
}

function createClaims({ settings, incarnation, address, logClient }: RequestComponentsOptions): ClaimRegistry {
  return new ClaimRegistry(logClient, {
    incarnation,
    address,
    batchMs: settings.entry['claim-batch-ms'],
    retentionMs: settings.entry['claim-memory-ms'],
    readBackTimeoutMs: settings.platform['log-timeout-ms'],
  })
}

function createOutcomes(entry: Settings['entry']): OutcomeTable {
  return new OutcomeTable({
    entries: entry['outcome-memory-entries'],
    bytes: entry['outcome-memory-bytes'],
    lifetimeMs: entry['outcome-memory-ms'],
    unrepeatableLifetimeMs: Math.max(entry['claim-memory-ms'], entry['ticket-lifetime-ms']) + KEY_RETENTION_MARGIN_MS,
  })
}

function createStageCaller(options: RequestComponentsOptions): StageCaller {
  const { settings, incarnation, configuration, membership, decisions, metrics } = options
  const { entry, process: identity } = settings
  return new StageCaller({
    entryIncarnation: incarnation,
    failureDomain: identity['failure-domain'],
    membership,
    choice: createChoice(entry.choice),
    ejection: createEjection(entry.ejection),
    retry: createRetry(entry.retry),
    decisions,
    metrics,
    offset: () => configuration.offset,
  })
}

function createRequestService(
  options: RequestComponentsOptions,
  shared: Omit<RequestComponents, 'pipelines' | 'services'>,
  inFlightLimit: number,
): RequestService {
  const { settings, incarnation, address, membership, machines, peers, decisions, metrics } = options
  const { claims, outcomes, finder } = shared
  const { entry } = settings
  const stageCaller = createStageCaller(options)
  return new RequestService({
    incarnation,
    inFlightLimit,
    claimRetentionMs: entry['claim-memory-ms'],
    admission: createAdmission(entry.admission),
    runner: new RequestRunner({ stageCaller, stageBudget: createStageBudget(entry['stage-budget']), metrics }),
    claims,
    outcomes,
    proof: new NotRunProof({ claims, peers, listedEntries: machines, address }),
    finder,
    membership,
    decisions,
    metrics,
  })
}
