/**
 * Counts the bodies of requests in a pool of memory. What a request takes is given
 * back once its answer is written or its connection closed.
 */
import type { ServerResponse } from 'node:http'
import type { MemoryPool } from './memory-pool.js'

/** Takes memory for bytes that are received; returns whether some was left. */
export type TakeMemory = (bytes: number) => boolean

/** Returns how the body of a request takes memory until its response is closed. */
export function takeUntilClosed(pool: MemoryPool, response: ServerResponse): TakeMemory {
  let taken = 0
  response.once('close', () => {
    pool.release(taken)
    taken = 0
  })
  return (bytes) => {
    if (pool.isFull || response.closed)
      return false
    pool.take(bytes)
    taken += bytes
    return true
  }
}
