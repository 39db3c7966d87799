/**
 * Decides into which shards the stage work is divided, each with a coordinator
 * of its own.
 *
 * Inputs: the gateways listed, and those that went in the last
 * DEPARTED_FOR_MS, with their failure domains and the cores that each may use.
 * Rule: as many shards as divide the failure domains evenly, no more than one for
 * GATEWAYS_FOR_SHARD gateways; more where the largest gateway has less than
 * USUAL_SHARE of a core, in proportion. One where a gateway does not tell its
 * failure domain.
 * Why: calls are fuller and queues more even in one large pool, so that the work
 * is divided only where one coordinator would not have the processor time for
 * it, and no gateway that joins or leaves a few others changes that. Failure
 * domains are known to all alike, and results stay within them.
 * Log event: `stage-division`.
 */
import type { Member } from '../../connection/peers/member.js'
import type { StageShard } from '../../connection/peers/stage-shard.js'
import { createShard, WHOLE_SHARD } from '../../connection/peers/stage-shard.js'

/** Gateways whose requests one coordinator serves well. */
const GATEWAYS_FOR_SHARD = 20

/** Share of a core that a coordinator of as many needs. */
const USUAL_SHARE = 0.5

/**
 * Milliseconds for which a gateway that went still counts: while gateways are
 * stopped and started in turn, the division stays.
 */
export const DEPARTED_FOR_MS = 30_000

/** The shards, in the order of their names; the whole alone where nothing is divided. */
export function divideStageWork(gateways: readonly Pick<Member, 'failureDomain' | 'coreShare'>[]): StageShard[] {
  const domains = [...new Set(gateways.map(({ failureDomain }) => failureDomain))]
  if (domains.includes(undefined))
    return [WHOLE_SHARD]
  const largestShare = Math.max(...gateways.map(({ coreShare }) => coreShare ?? USUAL_SHARE))
  const count = countShards(domains.length, gateways.length, largestShare)
  return count === 1 ? [WHOLE_SHARD] : dealOut(domains as string[], count)
}

/** The maximum number of shards that divide the failure domains evenly and have gateways enough. */
function countShards(domains: number, gateways: number, largestShare: number): number {
  const limit = Math.max(1, Math.floor(gateways / GATEWAYS_FOR_SHARD * Math.max(1, USUAL_SHARE / largestShare)))
  let count = Math.min(limit, domains)
  while (domains % count !== 0)
    count--
  return count
}

/** Deals failure domains out to shards in turn. */
function dealOut(domains: readonly string[], count: number): StageShard[] {
  const sorted = [...domains].sort()
  const shards = Array.from({ length: count }, (_, number) => sorted.filter((_, index) => index % count === number))
  return shards.map(createShard)
}
