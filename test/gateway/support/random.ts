/**
 * Seeded random numbers.
 */

/** Creates a generator of random numbers in [0, 1) from a seed (mulberry32). */
export function createRandom(seed: number): () => number {
  let state = seed
  return () => {
    state = (state + 0x6D2B79F5) | 0
    let value = Math.imul(state ^ (state >>> 15), 1 | state)
    value = (value + Math.imul(value ^ (value >>> 7), 61 | value)) ^ value
    return ((value ^ (value >>> 14)) >>> 0) / 2 ** 32
  }
}
