/**
 * A shard of the stage work: the stage backend servers and model engines of
 * certain failure domains, which are coordinated by one gateway. The name of a
 * shard lists its failure domains, so that gateways need not agree on a partition
 * beforehand.
 */

/** Separates the failure domains in the name of a shard. */
const SEPARATOR = '+'

/** Failure domains whose stage work is coordinated together. */
export interface StageShard {
  /** The failure domains in order, separated by `+`; empty for all. */
  readonly name: string
  /** Empty for all. */
  readonly failureDomains: readonly string[]
}

/** The shard that covers all stage work. */
export const WHOLE_SHARD: StageShard = { name: '', failureDomains: [] }

/** Creates the shard of the given failure domains. */
export function createShard(failureDomains: readonly string[]): StageShard {
  const sorted = [...failureDomains].sort()
  return { name: sorted.join(SEPARATOR), failureDomains: sorted }
}

/** Decodes a shard from its name. */
export function decodeShard(name: string): StageShard {
  return name === '' ? WHOLE_SHARD : createShard(name.split(SEPARATOR))
}

/** Whether a failure domain belongs to a shard. */
export function isInShard({ failureDomains }: StageShard, failureDomain: string | undefined): boolean {
  return failureDomains.length === 0 || (failureDomain !== undefined && failureDomains.includes(failureDomain))
}
