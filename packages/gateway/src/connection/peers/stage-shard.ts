/**
 * A shard of the stage work: the stage backend servers and model engines of some
 * failure domains, which one gateway coordinates. Its name says which domains
 * they are, so that gateways need not agree on a division beforehand.
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

/** All stage work together. */
export const WHOLE_SHARD: StageShard = { name: '', failureDomains: [] }

/** The shard of some failure domains. */
export function createShard(failureDomains: readonly string[]): StageShard {
  const sorted = [...failureDomains].sort()
  return { name: sorted.join(SEPARATOR), failureDomains: sorted }
}

/** The shard that a peer named. */
export function decodeShard(name: string): StageShard {
  return name === '' ? WHOLE_SHARD : createShard(name.split(SEPARATOR))
}

/** Whether what lies in a failure domain belongs to a shard. */
export function isInShard({ failureDomains }: StageShard, failureDomain: string | undefined): boolean {
  return failureDomains.length === 0 || (failureDomain !== undefined && failureDomains.includes(failureDomain))
}
