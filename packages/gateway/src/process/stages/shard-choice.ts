/**
 * Decides which shards of the stage work a request is sent to, in order.
 *
 * Inputs: the current shards; for each service that the request needs, the
 * number of its backend servers that accept work in each failure domain (the
 * platform's list); the last shared part of the prompt, or the request's id if
 * there is none.
 * Rule: weighted rendezvous hashing. The weight of a shard is the smallest share
 * that it has of the backend servers of a required service; shards with weight 0
 * are excluded.
 * Why: prompts with a common part go to the same shard, whose engines have the
 * part cached. A shard that loses backend servers gets less work at once, without
 * any message.
 * Log event: `stages-admission` (shard).
 */
import type { PreparationRequest } from '../../connection/peers/preparation.js'
import type { StageShard } from '../../connection/peers/stage-shard.js'
import type { BackendRegistry } from '../backend-registry.js'
import type { Members } from '../membership/members.js'
import { isInShard, WHOLE_SHARD } from '../../connection/peers/stage-shard.js'
import { sharedParts } from '../../request/prompt-parts.js'
import { HASH_RANGE, hashText } from '../../request/rendezvous.js'

/** Selects the shards for a request. */
export interface ShardChoice {
  /** Shards in order of preference; never empty. */
  order: (request: PreparationRequest) => readonly StageShard[]
}

/** All stage work belongs to one shard. */
export const UNSHARDED: ShardChoice = { order: () => [WHOLE_SHARD] }

/** Selects shards by the shared prompt parts and by the backend servers of each shard. */
export class PromptShardChoice implements ShardChoice {
  constructor(private readonly members: Pick<Members, 'shards'>, private readonly registry: Pick<BackendRegistry, 'countByDomain'>) {}

  order(request: PreparationRequest): readonly StageShard[] {
    const { shards } = this.members
    if (shards.length === 1)
      return shards
    const counts = requiredServices(request).map(service => this.registry.countByDomain(service))
    const key = affinityKey(request)
    const scored = shards
      .map(shard => ({ shard, score: rendezvousScore(key, shard, minBackendShare(shard, counts)) }))
      .filter(({ score }) => score > 0)
      .sort((left, right) => right.score - left.score)
    return scored.length === 0 ? [WHOLE_SHARD] : scored.map(({ shard }) => shard)
  }
}

function requiredServices({ stages, service, prompt }: PreparationRequest): string[] {
  const required = stages.filter(({ items }) => items > 0).map(stage => stage.service)
  return [...new Set(prompt && service ? [...required, service] : required)]
}

/** The smallest share, from 0 to 1, that a shard has of the backend servers of a service. */
function minBackendShare(shard: StageShard, counts: readonly ReadonlyMap<string, number>[]): number {
  return Math.min(1, ...counts.map((byDomain) => {
    let all = 0
    let inShard = 0
    for (const [failureDomain, count] of byDomain) {
      all += count
      inShard += isInShard(shard, failureDomain) ? count : 0
    }
    return all === 0 ? 0 : inShard / all
  }))
}

/** Score of a shard in weighted rendezvous hashing: it is the highest with a probability proportional to the weight. */
function rendezvousScore(key: string, { name }: StageShard, weight: number): number {
  const uniform = (hashText(`${key}\n${name}`) + 0.5) / HASH_RANGE
  return weight / -Math.log(uniform)
}

/** Hash key; equal for requests that benefit from the same engines. */
function affinityKey({ prompt, requestId }: PreparationRequest): string {
  return sharedParts(prompt ?? []).at(-1)?.id ?? requestId
}
