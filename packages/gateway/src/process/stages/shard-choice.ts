/**
 * Decides which shards of the stage work are asked for a request, in order.
 *
 * Inputs: the current shards; for each service that the request needs, how many
 * of its backend servers take work in each failure domain (the platform's list);
 * the last shared part of the prompt, or the request's id where there is none.
 * Rule: by weighted rendezvous hashing, each shard weighed by the least share
 * that it has of a needed service; a shard without one of them is left out.
 * Why: prompts that share a part come to the same shard, so that its engines
 * keep the part. A shard that loses backend servers gets less at once, without
 * a message.
 * Log event: `stages-admission` (shard).
 */
import type { PreparationRequest } from '../../connection/peers/preparation.js'
import type { StageShard } from '../../connection/peers/stage-shard.js'
import type { BackendRegistry } from '../backend-registry.js'
import type { Members } from '../membership/members.js'
import { isInShard, WHOLE_SHARD } from '../../connection/peers/stage-shard.js'
import { sharedParts } from '../../request/prompt-parts.js'
import { HASH_RANGE, hashText } from '../../request/rendezvous.js'

/** A way to choose the shards that are asked for a request. */
export interface ShardChoice {
  /** The shards to ask, the preferred one first; never empty. */
  order: (request: PreparationRequest) => readonly StageShard[]
}

/** All work goes to the one shard. */
export const UNSHARDED: ShardChoice = { order: () => [WHOLE_SHARD] }

/** Chooses by the prompt and by what each shard has. */
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

/** The least share that a shard has of a service's backend servers, from 0 to 1. */
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

/** Weighted rendezvous hashing: the highest score wins, in proportion to the weights. */
function rendezvousScore(key: string, { name }: StageShard, weight: number): number {
  const uniform = (hashText(`${key}\n${name}`) + 0.5) / HASH_RANGE
  return weight / -Math.log(uniform)
}

/** What requests have in common that should meet the same engines. */
function affinityKey({ prompt, requestId }: PreparationRequest): string {
  return sharedParts(prompt ?? []).at(-1)?.id ?? requestId
}
