/**
 * The backend servers of one shard of the stage work: what the registry holds of
 * its failure domains. It owns nothing.
 */
import type { Backend } from '../../connection/backends/backend.js'
import type { StageShard } from '../../connection/peers/stage-shard.js'
import type { BackendListener, BackendRegistry } from '../backend-registry.js'
import { isInShard } from '../../connection/peers/stage-shard.js'

/** What a stage coordinator follows; the registry, or a part of it. */
export type BackendView = Pick<BackendRegistry, 'available' | 'listen'>

/** The part of the registry that belongs to a shard. */
export class ShardBackends implements BackendView {
  constructor(private readonly registry: BackendView, private readonly shard: StageShard) {}

  /** Backend servers of a service that take new work. */
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
