/**
 * Seeds of the soaks and the random draws that follow from one.
 */
import type { Draw } from './soak-clients.js'
import process from 'node:process'
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'

/** Seeds that CI plays; `SOAK_SEEDS=100-149` plays others by hand. */
const DEFAULT_SEEDS = [1, 2]

/** The seeds to play. */
export function readSeeds(): number[] {
  const [first, last] = (process.env.SOAK_SEEDS ?? '').split('-').map(Number)
  return first > 0 ? Array.from({ length: (last || first) - first + 1 }, (_, index) => first + index) : DEFAULT_SEEDS
}

/** Draws that a seed decides. */
export function createDraw(seed: number): Draw {
  const generator = xoroshiro128plus(seed)
  return bound => unsafeUniformIntDistribution(0, bound - 1, generator)
}
