/**
 * Prometheus metrics of a gateway. Names are kept from the first release
 * (`replicas` counts backend servers, `owns_stages` shows the coordinator).
 * Counters start at zero in each process.
 */
import type { CloseReason } from '@eidermast/common'
import type { ClientServer } from '../connection/clients/client-server.js'
import type { HeldBytes } from '../connection/held/held-bytes.js'
import type { RoomReason } from '../connection/held/room-decision.js'
import type { Demand, DemandEnd } from '../request/admission/account-shares.js'
import type { LimitedAccount } from '../request/admission/max-min-shares.js'
import type { RetryCost } from '../request/attempts/retry-budget.js'
import type { OriginSource } from '../request/continuation/origin-decision.js'
import type { RequestStep } from '../request/deadline-guard.js'
import type { ConfigurationHolder } from '../version/configuration-holder.js'
import type { BackendRegistry } from './backend-registry.js'
import type { CrashTracker } from './crashes/crash-tracker.js'
import type { EvacuationList } from './evacuation/evacuation-list.js'
import type { Members } from './membership/members.js'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { HeldKind } from '../connection/held/room-decision.js'

/** Histogram bounds in seconds, around the routes' latency targets of tenths of a second to several seconds. */
const SECONDS_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16]
const MILLISECONDS_PER_SECOND = 1000
/** Client accounts that are counted by their names; bounds the memory of their counters. */
const MAX_NAMED_ACCOUNTS = 256
const OTHER_ACCOUNTS = 'other accounts'

/** Components whose values are read at scrape time. */
export interface GaugeSources {
  clients: ClientServer
  configuration: ConfigurationHolder
  registry: BackendRegistry
  members: Members
  crashTracker: CrashTracker
  evacuations: EvacuationList
  held: HeldBytes
  accountSharing: { limitedAccounts: () => LimitedAccount[] }
  /** Backend servers that are much slower than their service. */
  slowBackends: number
}

/** Counters, histograms and gauges of one gateway. */
export class GatewayMetrics {
  readonly registry = new Registry()
  private readonly requests = new Counter({
    name: 'eidermast_gateway_requests_total',
    help: 'Requests by route and outcome',
    labelNames: ['route', 'outcome'],
    registers: [this.registry],
  })

  private readonly seconds = new Histogram({
    name: 'eidermast_gateway_request_seconds',
    help: 'Time from arrival to the end of the answer',
    labelNames: ['route'],
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  })

  private readonly overdueRequests = new Counter({
    name: 'eidermast_gateway_overdue_requests_total',
    help: 'Requests ended because their work had not ended by their deadline, by the step they had reached',
    labelNames: ['step'],
    registers: [this.registry],
  })

  private readonly callWait = new Histogram({
    name: 'eidermast_gateway_call_wait_seconds',
    help: 'Time from a call to a backend server to its first byte',
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  })

  private readonly waitingCalls = new Gauge({
    name: 'eidermast_gateway_waiting_calls',
    help: 'Calls to backend servers that wait for a connection',
    registers: [this.registry],
  })

  private readonly rejectedCalls = new Counter({
    name: 'eidermast_gateway_calls_turned_away_total',
    help: 'Calls that waited for a connection when their backend server began to leave',
    registers: [this.registry],
  })

  private readonly avoidedConnections = new Counter({
    name: 'eidermast_gateway_connections_avoided_total',
    help: 'Connections closed instead of carrying the same request a second time',
    registers: [this.registry],
  })

  private readonly crashes = new Counter({
    name: 'eidermast_gateway_backend_crashes_total',
    help: 'Ends of backend servers while requests of this gateway ran there, by service',
    labelNames: ['service'],
    registers: [this.registry],
  })

  private readonly retries = new Counter({
    name: 'eidermast_gateway_retries_total',
    help: 'Attempts after the first one of a request, by service and by whether the retry budget counted them',
    labelNames: ['service', 'cost'],
    registers: [this.registry],
  })

  private readonly heldWaits = new Counter({
    name: 'eidermast_gateway_held_waits_total',
    help: 'Bodies and answers that waited for memory, by kind',
    labelNames: ['kind'],
    registers: [this.registry],
  })

  private readonly heldRefusals = new Counter({
    name: 'eidermast_gateway_held_refusals_total',
    help: 'Requests refused since there was no memory for their body, by reason',
    labelNames: ['reason'],
    registers: [this.registry],
  })

  private readonly clientCutOffs = new Counter({
    name: 'eidermast_gateway_clients_cut_off_total',
    help: 'Clients cut off since they did not read their answer or send their body',
    registers: [this.registry],
  })

  private readonly connectionsClosed = new Counter({
    name: 'eidermast_gateway_connections_closed_total',
    help: 'Connections of all ports that were closed or not accepted to protect this process, by reason',
    labelNames: ['reason'],
    registers: [this.registry],
  })

  private readonly streamsResumed = new Counter({
    name: 'eidermast_gateway_streams_resumed_total',
    help: 'Streams that clients resumed, by how the software version that began them was found; those with source unknown or lost were refused',
    labelNames: ['source'],
    registers: [this.registry],
  })

  private readonly streamReports = new Counter({
    name: 'eidermast_gateway_stream_reports_total',
    help: 'Streams reported to other gateways, once for each gateway, while several software versions serve',
    registers: [this.registry],
  })

  /** Counts an attempt after the first one of its request. */
  countRetry(service: string, cost: RetryCost): void {
    this.retries.inc({ service, cost })
  }

  /** Counts a stream that its client resumes. */
  countStreamResumed(source: OriginSource): void {
    this.streamsResumed.inc({ source })
  }

  /** Counts streams in a report to another gateway. */
  countStreamReports(streams: number): void {
    this.streamReports.inc(streams)
  }

  /** Counts a body or a part of an answer that has to wait for memory. */
  countHeldWait(kind: HeldKind): void {
    this.heldWaits.inc({ kind })
  }

  /** Counts a request that is refused for lack of memory. */
  countHeldRefusal(reason: RoomReason): void {
    this.heldRefusals.inc({ reason })
  }

  /** Counts a client that stops reading its answer or sending its body. */
  countClientCutOff(): void {
    this.clientCutOffs.inc()
  }

  /** Counts connections that were closed or not accepted. */
  countConnectionsClosed(reason: CloseReason, count: number): void {
    this.connectionsClosed.inc({ reason }, count)
  }

  private readonly namedAccounts = new Set<string>()
  private readonly accountRequests = new Counter({
    name: 'eidermast_gateway_account_requests_total',
    help: 'Requests without stages by service, client account, arrival and end, where accounts have shares',
    labelNames: ['service', 'account', 'arrival', 'end'],
    registers: [this.registry],
  })

  /** Counts the end of a request of a client account. */
  countAccountRequest({ service, account = '', kind }: Demand, end: DemandEnd): void {
    if (this.namedAccounts.size < MAX_NAMED_ACCOUNTS)
      this.namedAccounts.add(account)
    const label = this.namedAccounts.has(account) ? account : OTHER_ACCOUNTS
    this.accountRequests.inc({ service, account: label, arrival: kind, end })
  }

  private readonly stageAdmissions = new Counter({
    name: 'eidermast_gateway_stage_admissions_total',
    help: 'Requests admitted to stage work or refused by this coordinator, by reason and by how they arrived',
    labelNames: ['reason', 'arrival'],
    registers: [this.registry],
  })

  /** Counts a request that the coordinator admitted or refused. */
  countStageAdmission(reason: string, arrival: string): void {
    this.stageAdmissions.inc({ reason, arrival })
  }

  private readonly waitingRequests = new Gauge({
    name: 'eidermast_gateway_admission_waiting',
    help: 'Requests without stages that wait for room, by service',
    labelNames: ['service'],
    registers: [this.registry],
  })

  private readonly admissionWait = new Histogram({
    name: 'eidermast_gateway_admission_wait_seconds',
    help: 'Time that requests without stages waited before they were sent or refused, by service',
    labelNames: ['service'],
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  })

  private readonly admissionRefusals = new Counter({
    name: 'eidermast_gateway_admission_refusals_total',
    help: 'Requests without stages that were refused before they were sent, by service and reason',
    labelNames: ['service', 'reason'],
    registers: [this.registry],
  })

  /** Adjusts the number of requests that wait for room. */
  countWaiting(service: string, difference: 1 | -1): void {
    this.waitingRequests.inc({ service }, difference)
  }

  /** Records the time in milliseconds that a request waited before it was sent or refused. */
  countWait(service: string, milliseconds: number): void {
    this.admissionWait.observe({ service }, milliseconds / MILLISECONDS_PER_SECOND)
  }

  /** Counts a request that was refused before it was sent. */
  countRefusal(service: string, reason: string): void {
    this.admissionRefusals.inc({ service, reason })
  }

  /** Counts a backend server that crashed while running requests. */
  countCrash(service: string): void {
    this.crashes.inc({ service })
  }

  /** Counts a call that was rejected before its first byte was sent. */
  countRejectedCall(): void {
    this.rejectedCalls.inc()
  }

  /** Counts a connection that was closed because it had carried the same request before. */
  countAvoidedConnection(): void {
    this.avoidedConnections.inc()
  }

  /** Records the wait in milliseconds between a call and its first byte. */
  countCallStart(waitedMs: number): void {
    this.callWait.observe(waitedMs / MILLISECONDS_PER_SECOND)
  }

  /** Adjusts the number of calls that wait for a connection. */
  countWaitingCalls(difference: 1 | -1): void {
    this.waitingCalls.inc(difference)
  }

  /** Counts a finished request and records its duration in milliseconds. */
  countRequest(route: string, outcome: string, milliseconds: number): void {
    this.requests.inc({ route, outcome })
    this.seconds.observe({ route }, milliseconds / MILLISECONDS_PER_SECOND)
  }

  /** Counts a request that was ended because its work had not ended by its deadline. */
  countOverdue(step: RequestStep): void {
    this.overdueRequests.inc({ step })
  }

  /** Registers gauges whose values are read at scrape time. */
  addGauges(sources: GaugeSources): void {
    const { clients, configuration, registry, members, crashTracker, evacuations, held, accountSharing } = sources
    this.addAccountShares(accountSharing)
    this.addGauge('eidermast_gateway_active_requests', 'Requests without an answer yet', () => clients.activeRequests)
    this.addGauge(
      'eidermast_gateway_listener_wait_seconds',
      'Time for which connections that are accepted now have waited at least',
      () => clients.listenerWaitMs / MILLISECONDS_PER_SECOND,
    )
    this.addGauge('eidermast_gateway_configuration_version', 'Configuration version in force', () => configuration.version)
    this.addGauge(
      'eidermast_gateway_configuration_age_seconds',
      'Time since that version was known to be the newest, from the platform or a peer',
      () => configuration.ageMs(performance.now()) / MILLISECONDS_PER_SECOND,
    )
    this.addGauge('eidermast_gateway_replicas', 'Backend servers known', () => registry.size)
    this.addGauge(
      'eidermast_gateway_backend_list_age_seconds',
      'Time since the list of backend servers was known to be complete, by own reads',
      () => registry.listAgeMs / MILLISECONDS_PER_SECOND,
    )
    this.addGauge('eidermast_gateway_evacuated_domains', 'Failure domains whose backend servers get no work', () => evacuations.evacuated.size)
    this.addGauge('eidermast_gateway_evacuated_calls', 'Calls under way at backend servers of evacuated failure domains', () => registry.callsInEvacuated)
    this.addGauge('eidermast_gateway_slow_backends', 'Backend servers that take more than twice as long as their service, as far as measured', () => sources.slowBackends)
    this.addGauge('eidermast_gateway_members', 'Gateways known, this one included', () => members.count)
    this.addGauge('eidermast_gateway_quarantined', 'Causes for which requests are refused since they end backend servers: fingerprints of requests or of prompt parts', () => crashTracker.quarantined)
    this.addGauge('eidermast_gateway_owns_stages', 'Shards of the stage work that this gateway coordinates', () => members.coordinatedShardCount)
    this.addGauge('eidermast_gateway_held_bytes_limit', 'Bytes that the process may hold for others; 0 without a limit', () => Number.isFinite(held.limitBytes) ? held.limitBytes : 0)
    this.addHeldBytes(held)
  }

  private addHeldBytes(held: HeldBytes): void {
    void new Gauge({
      name: 'eidermast_gateway_held_bytes',
      help: 'Bytes held for clients and backend servers, by kind',
      labelNames: ['kind'],
      registers: [this.registry],
      collect() {
        for (const kind of Object.values(HeldKind))
          this.set({ kind }, held.heldOf(kind))
      },
    })
  }

  private addAccountShares(sharing: GaugeSources['accountSharing']): void {
    void new Gauge({
      name: 'eidermast_gateway_account_share',
      help: 'Admitted fraction of new requests, by service and client account; absent where all are admitted',
      labelNames: ['service', 'account'],
      registers: [this.registry],
      collect() {
        this.reset()
        for (const { service, account = '', fraction } of sharing.limitedAccounts())
          this.set({ service, account }, fraction)
      },
    })
  }

  private addGauge(name: string, help: string, read: () => number): void {
    // prom-client calls `collect` with the gauge as `this`.
    const registry = this.registry
    void new Gauge({
      name,
      help,
      registers: [registry],
      collect() {
        this.set(read())
      },
    })
  }
}
