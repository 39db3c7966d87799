/**
 * The coordinators of the stage work in this process, one for each shard that
 * it was asked to coordinate. Each owns its pools and requests; this module owns
 * the coordinators for the life of the process. They are lost with it, and the
 * requesting gateways ask the next coordinator of each shard.
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

/** What the coordinators work with. */
export interface StageCoordinatorsDependencies extends StageCoordinatorDependencies {
  registry: BackendRegistry
}

/** What a change of a shard's coordinator means for this process. */
export enum CoordinatorRole {
  /** It coordinates the shard from now on. */
  Coordinates = 'coordinates',
  /**
   * Another one does, and this process leaves its work to it: what it holds
   * would go on in small calls beside the other's.
   */
  HandsOver = 'hands-over',
  /** Another one does; this process is leaving and takes no more work. */
  Leaves = 'leaves',
}

/** Coordinates the shards that this process is asked for. */
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

  /** Follows the stage services of a configuration. */
  applyConfiguration(table: RouteTable): void {
    this.table = table
    for (const coordinator of this.byShard.values())
      coordinator.applyConfiguration(table)
  }

  /** A shard has another coordinator. */
  applyRole(shard: StageShard, role: CoordinatorRole): void {
    if (role === CoordinatorRole.Leaves)
      this.leaving = true
    // A leaving gateway is chosen only where no other is left: then it takes what comes.
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
