/**
 * The stage coordinators of this process, one per shard that it was asked to
 * coordinate. Each owns its pools and requests; this module owns the coordinators
 * for the lifetime of the process. When it exits, the requesting gateways ask the next
 * coordinator of each shard.
 */
import type { Result } from 'ts-results-es'
import type { PreparationFailure, PreparationRequest, PreparedInputs, Preparer } from '../../connection/peers/preparation.js'
import type { StageShard } from '../../connection/peers/stage-shard.js'
import type { RouteTable } from '../../version/route-table.js'
import type { BackendRegistry } from '../backend-registry.js'
import type { StageCoordinatorDependencies } from './stage-coordinator.js'
import { decodeShard, WHOLE_SHARD } from '../../connection/peers/stage-shard.js'
import { ShardBackends } from './shard-backends.js'
import { StageCoordinator } from './stage-coordinator.js'

/** Dependencies of the coordinators. */
export interface StageCoordinatorsDependencies extends StageCoordinatorDependencies {
  registry: BackendRegistry
}

/** Role of this process after a change of a shard's coordinator. */
export enum CoordinatorRole {
  /** It coordinates the shard from now on. */
  Coordinates = 'coordinates',
  /**
   * Another process coordinates it, and takes over the work. Work that stayed here
   * would run in small calls beside those of the other coordinator.
   */
  HandsOver = 'hands-over',
  /** Another process coordinates it; this one is shutting down and accepts no more work. */
  Leaves = 'leaves',
}

/** Creates coordinators on demand and forwards requests to them by shard. */
export class StageCoordinators implements Preparer {
  private readonly byShard = new Map<string, StageCoordinator>()
  private table: RouteTable | undefined
  private leaving = false

  constructor(private readonly dependencies: StageCoordinatorsDependencies) {}

  prepare(request: PreparationRequest, signal: AbortSignal): Promise<Result<PreparedInputs, PreparationFailure>> {
    return this.coordinatorFor(request.shard ?? WHOLE_SHARD.name).prepare(request, signal)
  }

  release(requestId: string): void {
    for (const coordinator of this.byShard.values())
      coordinator.release(requestId)
  }

  /** Updates all coordinators to the stage services of a configuration. */
  applyConfiguration(table: RouteTable): void {
    this.table = table
    for (const coordinator of this.byShard.values())
      coordinator.applyConfiguration(table)
  }

  /** Applies a change of the coordinator of a shard. */
  applyRole(shard: StageShard, role: CoordinatorRole): void {
    if (role === CoordinatorRole.Leaves)
      this.leaving = true
    // A gateway that is shutting down is only elected if no other is left; it then accepts all work.
    if (role === CoordinatorRole.Coordinates)
      this.leaving = false
    const coordinator = this.byShard.get(shard.name)
    coordinator?.expectOtherCoordinator()
    if (role === CoordinatorRole.Coordinates)
      coordinator?.takeOver()
    else
      coordinator?.handOver(role === CoordinatorRole.Leaves)
  }

  stop(): void {
    for (const coordinator of this.byShard.values())
      coordinator.stop()
  }

  private coordinatorFor(shardName: string): StageCoordinator {
    const existing = this.byShard.get(shardName)
    if (existing)
      return existing
    const created = new StageCoordinator(new ShardBackends(this.dependencies.registry, decodeShard(shardName)), this.dependencies)
    this.byShard.set(shardName, created)
    if (this.table)
      created.applyConfiguration(this.table)
    if (this.leaving)
      created.handOver(true)
    return created
  }
}
