/**
 * Seeds for the soak tests, and random numbers derived from a seed.
 */
import type { Draw } from './soak-clients.js'
import process from 'node:process'
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'

/** Seeds for CI runs; for manual runs `SOAK_SEEDS=100-149` sets a range of others. */
const DEFAULT_SEEDS = [1, 2]

/** Returns the seeds to run; `defaults` are those of CI. */
export function readSeeds(defaults = DEFAULT_SEEDS): number[] {
  const [first, last] = (process.env.SOAK_SEEDS ?? '').split('-').map(Number)
  return first > 0 ? Array.from({ length: (last || first) - first + 1 }, (_, index) => first + index) : defaults
}

/** Creates a deterministic random number generator from a seed. */
export function createDraw(seed: number): Draw {
  const generator = xoroshiro128plus(seed)
  return bound => unsafeUniformIntDistribution(0, bound - 1, generator)
}
