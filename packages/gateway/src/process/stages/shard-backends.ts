/**
 * The backend servers of one shard of the stage work: a view of the registry,
 * restricted to the failure domains of the shard. Stateless.
 */
import type { Backend } from '../../connection/backends/backend.js'
import type { StageShard } from '../../connection/peers/stage-shard.js'
import type { BackendListener, BackendRegistry } from '../backend-registry.js'
import { isInShard } from '../../connection/peers/stage-shard.js'

/** Backend servers as a stage coordinator sees them: the whole registry, or a part of it. */
export type BackendView = Pick<BackendRegistry, 'available' | 'listen'>

/** Restricts a registry to the backend servers of a shard. */
export class ShardBackends implements BackendView {
  constructor(private readonly registry: BackendView, private readonly shard: StageShard) {}

  /** Backend servers of a service that accept new work. */
  available(service: string): Backend[] {
    return this.registry.available(service).filter(backend => this.includes(backend))
  }

  listen({ added, removed, stateChanged }: BackendListener): void {
    this.registry.listen({ added: this.filterListener(added), removed: this.filterListener(removed), stateChanged: this.filterListener(stateChanged) })
  }

  private filterListener(listener: ((backend: Backend) => void) | undefined): ((backend: Backend) => void) | undefined {
    return listener && (backend => this.includes(backend) && listener(backend))
  }

  private includes({ failureDomain }: Backend): boolean {
    return isInShard(this.shard, failureDomain)
  }
}
