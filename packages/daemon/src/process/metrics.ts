/**
 * Prometheus metrics of entries and sides. Operators' dashboards depend on the
 * names, labels and help texts. Counters start at 0 when the process starts.
 */
import type { CloseReason, ConnectionMetrics } from '@eidermast/common'
import type { StageCall, StageReply } from '../connection/messages.js'
import type { RequestEnd, RequestMetrics, StageMetrics } from '../request/request-metrics.js'
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client'
import { StageReplyKind } from '../connection/messages.js'

/** Upper bounds of the histogram buckets, in seconds: from a single cached call to the longest pipelines. */
const SECONDS_BUCKETS = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10]
/** Prometheus convention: durations are exported in seconds. */
const MILLISECONDS_PER_SECOND = 1000

/** Metrics registry of one process, including the default Node.js metrics of prom-client. */
class ProcessMetrics implements ConnectionMetrics {
  readonly registry = new Registry()
  private readonly connectionsClosed = this.createCounter(
    'eidermast_connections_closed_total',
    'Connections of all ports that were closed or not accepted to protect this process, by reason',
    ['reason'],
  )

  constructor() {
    collectDefaultMetrics({ register: this.registry })
  }

  countConnectionsClosed(reason: CloseReason, count: number): void {
    this.connectionsClosed.inc({ reason }, count)
  }

  protected createCounter<Label extends string>(name: string, help: string, labelNames: Label[]): Counter<Label> {
    return new Counter({ name, help, labelNames, registers: [this.registry] })
  }

  protected createGauge(name: string, help: string): Gauge {
    return new Gauge({ name, help, registers: [this.registry] })
  }

  protected createSecondsHistogram<Label extends string>(name: string, help: string, labelNames: Label[]): Histogram<Label> {
    return new Histogram({ name, help, labelNames, buckets: SECONDS_BUCKETS, registers: [this.registry] })
  }
}

/** Metrics of an entry. */
export class EntryMetrics extends ProcessMetrics implements RequestMetrics {
  private readonly requests = this.createCounter(
    'eidermast_requests_total',
    'Requests by how they ended; attainment is attained / all',
    ['target', 'priority', 'end'],
  )

  private readonly errors = this.createCounter('eidermast_errors_total', 'Errors told to callers, by kind', ['kind', 'ran'])
  private readonly requestSeconds = this.createSecondsHistogram('eidermast_request_seconds', 'Time from arrival to answer', ['target'])
  private readonly cost = this.createCounter('eidermast_stage_cost_total', 'Cost by stage, wasted cost apart', ['stage', 'use'])
  private readonly retries = this.createCounter('eidermast_retries_total', 'Stage calls made again, by cause', ['stage', 'cause'])
  private readonly inFlight = this.createGauge('eidermast_requests_in_flight', 'Requests that have not been answered')
  private readonly offset = this.createGauge('eidermast_configuration_offset', 'Offset of the configuration in force')
  private readonly configurationAge = this.createGauge('eidermast_configuration_age_seconds', 'Time since the log last confirmed the configuration')
  private readonly claims = this.createCounter('eidermast_claims_total', 'Claims of unrepeatable requests, by result', ['result'])
  private readonly connections = this.createGauge('eidermast_caller_connections', 'Open connections of callers')

  setCallerConnections(count: number): void {
    this.connections.set(count)
  }

  recordRequest(target: string, priority: string, end: RequestEnd, milliseconds: number): void {
    this.requests.inc({ target, priority, end })
    this.requestSeconds.observe({ target }, milliseconds / MILLISECONDS_PER_SECOND)
  }

  recordError(kind: string, ran: string): void {
    this.errors.inc({ kind, ran })
  }

  /** `cost` is in the unit that the operators use in the configuration. */
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

  /** The age gauge is NaN until the log has responded once. */
  setConfiguration(offset: number, ageMs: number | undefined): void {
    this.offset.set(offset)
    this.configurationAge.set(ageMs === undefined ? Number.NaN : ageMs / MILLISECONDS_PER_SECOND)
  }
}

/** Metrics of a side. */
export class SideMetrics extends ProcessMetrics implements StageMetrics {
  private readonly stages = this.createCounter('eidermast_side_stages_total', 'Stage calls by how they ended', ['stage', 'end'])
  private readonly serviceSeconds = this.createSecondsHistogram('eidermast_side_service_seconds', 'Service time at the backend server', ['stage'])
  private readonly refusals = this.createCounter('eidermast_side_refusals_total', 'Refused stage calls, by reason', ['reason'])
  private readonly queue = this.createGauge('eidermast_side_queue', 'Calls that wait')
  private readonly running = this.createGauge('eidermast_side_running', 'Calls that run')
  private readonly offset = this.createGauge('eidermast_configuration_offset', 'Offset of the configuration in force')
  private readonly orders = this.createCounter('eidermast_side_orders_total', 'Orders to the backend server, by result', ['result'])

  recordStage(call: StageCall, reply: StageReply, serviceMs: number): void {
    this.stages.inc({ stage: call.identity.stage, end: reply.kind })
    if (reply.kind === StageReplyKind.Done)
      this.serviceSeconds.observe({ stage: call.identity.stage }, serviceMs / MILLISECONDS_PER_SECOND)
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
