/**
 * Metrics of entries and sides, by prom-client.
 */
import type { StageCall, StageReply } from '../connection/messages.js'
import type { RequestEnd, RequestMetrics, StageMetrics } from '../request/request-metrics.js'
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client'
import { StageReplyKind } from '../connection/messages.js'

const SECONDS_BUCKETS = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10]
const MILLISECONDS_PER_SECOND = 1000

function createRegistry(): Registry {
  const registry = new Registry()
  collectDefaultMetrics({ register: registry })
  return registry
}

/** Metrics of an entry. */
export class EntryMetrics implements RequestMetrics {
  readonly registry = createRegistry()
  private readonly requests = new Counter({ name: 'eidermast_requests_total', help: 'Requests by how they ended; attainment is attained / all', labelNames: ['target', 'priority', 'end'], registers: [this.registry] })
  private readonly errors = new Counter({ name: 'eidermast_errors_total', help: 'Errors told to callers, by kind', labelNames: ['kind', 'ran'], registers: [this.registry] })
  private readonly seconds = new Histogram({ name: 'eidermast_request_seconds', help: 'Time from arrival to answer', labelNames: ['target'], buckets: SECONDS_BUCKETS, registers: [this.registry] })
  private readonly cost = new Counter({ name: 'eidermast_stage_cost_total', help: 'Cost by stage, wasted cost apart', labelNames: ['stage', 'use'], registers: [this.registry] })
  private readonly retries = new Counter({ name: 'eidermast_retries_total', help: 'Stage calls made again, by cause', labelNames: ['stage', 'cause'], registers: [this.registry] })
  private readonly inFlight = new Gauge({ name: 'eidermast_requests_in_flight', help: 'Requests that have not been answered', registers: [this.registry] })
  private readonly offset = new Gauge({ name: 'eidermast_configuration_offset', help: 'Offset of the configuration in force', registers: [this.registry] })
  private readonly age = new Gauge({ name: 'eidermast_configuration_age_seconds', help: 'Time since the log last confirmed the configuration', registers: [this.registry] })
  private readonly claims = new Counter({ name: 'eidermast_claims_total', help: 'Claims of unrepeatable requests, by result', labelNames: ['result'], registers: [this.registry] })

  private readonly connections = new Gauge({ name: 'eidermast_caller_connections', help: 'Open connections of callers', registers: [this.registry] })

  setCallerConnections(count: number): void {
    this.connections.set(count)
  }

  recordRequest(target: string, priority: string, end: RequestEnd, milliseconds: number): void {
    this.requests.inc({ target, priority, end })
    this.seconds.observe({ target }, milliseconds / MILLISECONDS_PER_SECOND)
  }

  recordError(kind: string, ran: string): void {
    this.errors.inc({ kind, ran })
  }

  recordCost(stage: string, cost: number, wasted: boolean): void {
    this.cost.inc({ stage, use: wasted ? 'wasted' : 'used' }, cost)
  }

  recordRetry(stage: string, cause: string): void {
    this.retries.inc({ stage, cause })
  }

  recordClaim(result: string): void {
    this.claims.inc({ result })
  }

  setInFlight(count: number): void {
    this.inFlight.set(count)
  }

  setConfiguration(offset: number, ageMs: number | undefined): void {
    this.offset.set(offset)
    this.age.set(ageMs === undefined ? Number.NaN : ageMs / MILLISECONDS_PER_SECOND)
  }
}

/** Metrics of a side. */
export class SideMetrics implements StageMetrics {
  readonly registry = createRegistry()
  private readonly stages = new Counter({ name: 'eidermast_side_stages_total', help: 'Stage calls by how they ended', labelNames: ['stage', 'end'], registers: [this.registry] })
  private readonly seconds = new Histogram({ name: 'eidermast_side_service_seconds', help: 'Service time at the backend server', labelNames: ['stage'], buckets: SECONDS_BUCKETS, registers: [this.registry] })
  private readonly refusals = new Counter({ name: 'eidermast_side_refusals_total', help: 'Refused stage calls, by reason', labelNames: ['reason'], registers: [this.registry] })
  private readonly queue = new Gauge({ name: 'eidermast_side_queue', help: 'Calls that wait', registers: [this.registry] })
  private readonly running = new Gauge({ name: 'eidermast_side_running', help: 'Calls that run', registers: [this.registry] })
  private readonly offset = new Gauge({ name: 'eidermast_configuration_offset', help: 'Offset of the configuration in force', registers: [this.registry] })
  private readonly orders = new Counter({ name: 'eidermast_side_orders_total', help: 'Orders to the backend server, by result', labelNames: ['result'], registers: [this.registry] })

  recordStage(call: StageCall, reply: StageReply, serviceMs: number): void {
    this.stages.inc({ stage: call.identity.stage, end: reply.kind })
    if (reply.kind === StageReplyKind.Done)
      this.seconds.observe({ stage: call.identity.stage }, serviceMs / MILLISECONDS_PER_SECOND)
  }

  recordRefusal(reason: string): void {
    this.refusals.inc({ reason })
  }

  recordOrder(result: string): void {
    this.orders.inc({ result })
  }

  setLoad(running: number, queued: number): void {
    this.running.set(running)
    this.queue.set(queued)
  }

  setConfiguration(offset: number): void {
    this.offset.set(offset)
  }
}
