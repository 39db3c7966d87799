/**
 * Builds what runs the requests of an entry: authority, outcomes, and one
 * request service for pipelines and one for plain services, each with limits,
 * load counts and policies of its own. Everything built here lives as long as
 * the process and is lost with it.
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
 * Milliseconds by which keys of unrepeatable requests outlive what may be sent
 * again. It covers clocks that differ between entries and answers under way;
 * half still does where clocks are kept in step, twice costs memory.
 */
const KEY_MARGIN_MS = 120_000

/** What the builder needs. */
export interface RequestPartsOptions {
  settings: Settings
  incarnation: string
  /** This entry's address between processes, as `host:port`. */
  address: string
  configuration: Configuration
  logClient: LogClient
  membership: Membership
  machines: VirtualMachineList
  peers: EntryPeers
  decisions: DecisionLog
  metrics: EntryMetrics
}

/** What runs the requests of one entry. */
export interface RequestParts {
  claims: ClaimRegistry
  outcomes: OutcomeTable
  tickets: TicketIssuer
  finder: OutcomeFinder
  pipelines: RequestService
  services: RequestService
}

/** Builds the parts; `claims.run` has to be started by the caller. */
export function createRequestParts(options: RequestPartsOptions): RequestParts {
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

function createClaims({ settings, incarnation, address, logClient }: RequestPartsOptions): ClaimRegistry {
  return new ClaimRegistry(logClient, {
    incarnation,
    address,
    batchMs: settings.entry['claim-batch-ms'],
    memoryMs: settings.entry['claim-memory-ms'],
    readBackTimeoutMs: settings.platform['log-timeout-ms'],
  })
}

function createOutcomes(entry: Settings['entry']): OutcomeTable {
  return new OutcomeTable({
    entries: entry['outcome-memory-entries'],
    bytes: entry['outcome-memory-bytes'],
    lifetimeMs: entry['outcome-memory-ms'],
    unrepeatableLifetimeMs: Math.max(entry['claim-memory-ms'], entry['ticket-lifetime-ms']) + KEY_MARGIN_MS,
  })
}

function createStageCaller(options: RequestPartsOptions): StageCaller {
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
  options: RequestPartsOptions,
  shared: Omit<RequestParts, 'pipelines' | 'services'>,
  inFlightLimit: number,
): RequestService {
  const { settings, incarnation, address, membership, machines, peers, decisions, metrics } = options
  const { claims, outcomes, finder } = shared
  const { entry } = settings
  const stageCaller = createStageCaller(options)
  return new RequestService({
    incarnation,
    inFlightLimit,
    claimMemoryMs: entry['claim-memory-ms'],
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
