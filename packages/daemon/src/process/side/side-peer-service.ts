/**
 * Implements the peer API of a side: stage calls, result queries, heartbeats and
 * configuration differences from entries, and operator queries. Stateless.
 */
import type {
  CancelReply,
  Heartbeat,
  HeartbeatReply,
  ResultQuery,
  StageCall,
  StageReply,
  StreamMessage,
} from '../../connection/messages.js'
import type { Decision, ProcessStatus, SideService } from '../../connection/peer-router.js'
import type { StageRunner } from '../../request/side/stage-runner.js'
import type { StageTable } from '../../request/side/stage-table.js'
import type { Configuration, ConfigurationDifference } from '../../version/configuration.js'
import type { ObjectKind } from '../../version/objects.js'
import type { Placement } from '../../version/placement.js'
import type { DecisionLog } from '../decision-log.js'
import type { Settings } from '../settings.js'
import type { BackendHealthMonitor } from './backend-health-monitor.js'
import type { PlacementReconciler } from './placement-reconciler.js'
import type { SideConfiguration } from './side-configuration.js'
import process from 'node:process'
import { streamReply } from './reply-stream.js'

/** Dependencies of the service. */
export interface SidePeerServiceOptions {
  identity: Settings['process']
  incarnation: string
  configuration: Configuration
  sideConfiguration: SideConfiguration
  reconciler: PlacementReconciler
  healthMonitor: BackendHealthMonitor
  runner: StageRunner
  table: StageTable
  decisions: DecisionLog
}

/** Serves the peers and operators of one side. */
export class SidePeerService implements SideService {
  constructor(private readonly options: SidePeerServiceOptions) {}

  heartbeat(heartbeat: Heartbeat): HeartbeatReply {
    const { incarnation, identity, configuration, sideConfiguration, runner, table } = this.options
    for (const key of heartbeat.acknowledged)
      table.acknowledge(key)
    sideConfiguration.handleHeartbeat(heartbeat)
    return { incarnation, name: identity.name, offset: configuration.offset, load: runner.load() }
  }

  difference(request: { since: number, kinds: ObjectKind[] }): ConfigurationDifference {
    return this.options.configuration.differenceSince(request.since, request.kinds)
  }

  offer(difference: ConfigurationDifference): number {
    const offset = this.options.sideConfiguration.apply(difference)
    void this.options.reconciler.reconcile()
    return offset
  }

  status(): ProcessStatus {
    const { identity, incarnation, configuration, reconciler, runner, healthMonitor } = this.options
    const { name, role, 'failure-domain': failureDomain } = identity
    const { running, queued, draining } = runner.load()
    const detail = [
      { subject: 'running', text: String(running) },
      { subject: 'queued', text: String(queued.high + queued.normal + queued.low) },
      { subject: 'draining', text: String(draining) },
      { subject: 'backend-instance', text: healthMonitor.instance ?? 'unknown' },
      { subject: 'placement', text: formatPlacement(reconciler.placement) },
    ]
    return { name, role, incarnation, pid: process.pid, failureDomain, offset: configuration.offset, ready: !draining, detail }
  }

  explain(requestId: string): Decision[] {
    return this.options.decisions.explain(requestId)
  }

  run(call: StageCall): Promise<StageReply> {
    return this.options.runner.run(call)
  }

  /** The run continues if the stream is cut, so that the entry can query its result. */
  stream(call: StageCall): AsyncIterable<StreamMessage> {
    return streamReply(onToken => this.options.runner.run(call, onToken))
  }

  cancel(key: string): CancelReply {
    return this.options.runner.cancel(key)
  }

  findResult(query: ResultQuery): StageReply | undefined {
    return this.options.table.findFinished(query)
  }
}

function formatPlacement(placement: Placement | undefined): string {
  if (!placement)
    return 'none'
  return `${placement.model ?? '-'}@${placement.version ?? '-'} fence ${placement.fence}`
}
