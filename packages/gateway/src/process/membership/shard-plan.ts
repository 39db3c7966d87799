/**
 * Decides into which shards the stage work is divided. Each shard has its own
 * coordinator.
 *
 * Inputs: the listed gateways, and those that left within DEPARTED_RETENTION_MS,
 * with their failure domains and available cores.
 * Rule: the largest number of shards that divides the failure domains evenly and
 * leaves at least GATEWAYS_PER_SHARD gateways for each. If the largest gateway
 * has less than REFERENCE_CORE_SHARE of a core, the limit rises in proportion. A
 * single shard if any gateway does not report its failure domain.
 * Why: one large pool gives fuller batches and more even queues, so the work is
 * divided only when one coordinator lacks the CPU time for it. The plan
 * does not change when a few gateways join or leave. All gateways know the
 * failure domains alike, and results stay within them.
 * Log event: `stage-division`.
 */
import type { Member } from '../../connection/peers/member.js'
import type { StageShard } from '../../connection/peers/stage-shard.js'
import { createShard, WHOLE_SHARD } from '../../connection/peers/stage-shard.js'

/** Gateways whose requests one coordinator can handle. */
const GATEWAYS_PER_SHARD = 20

/** Share of a core that a coordinator needs for GATEWAYS_PER_SHARD gateways. */
const REFERENCE_CORE_SHARE = 0.5

/** Time for which a removed gateway still counts, so that a rolling restart does not change the plan. */
export const DEPARTED_RETENTION_MS = 30_000

/** Returns the shards sorted by name, or the whole as one shard if the work is not divided. */
export function planShards(gateways: readonly Pick<Member, 'failureDomain' | 'coreShare'>[]): StageShard[] {
  const domains = [...new Set(gateways.map(({ failureDomain }) => failureDomain))]
  if (domains.includes(undefined))
    return [WHOLE_SHARD]
  const largestShare = Math.max(...gateways.map(({ coreShare }) => coreShare ?? REFERENCE_CORE_SHARE))
  const count = countShards(domains.length, gateways.length, largestShare)
  return count === 1 ? [WHOLE_SHARD] : assignDomains(domains as string[], count)
}

/** The largest number of shards that divides the failure domains evenly and has enough gateways for each shard. */
function countShards(domains: number, gateways: number, largestShare: number): number {
  const limit = Math.max(1, Math.floor(gateways / GATEWAYS_PER_SHARD * Math.max(1, REFERENCE_CORE_SHARE / largestShare)))
  let count = Math.min(limit, domains)
  while (domains % count !== 0)
    count--
  return count
}

/** Assigns the failure domains to shards in round-robin order. */
function assignDomains(domains: readonly string[], count: number): StageShard[] {
  const sorted = [...domains].sort()
  const shards = Array.from({ length: count }, (_, shardIndex) => sorted.filter((_, index) => index % count === shardIndex))
  return shards.map(createShard)
}
