/**
 * The limit of Node's heap, for limits of memory that the settings do not give.
 * Stateless.
 */
import v8 from 'node:v8'

/** Returns the limit of the heap of this process, in bytes. */
export function heapLimitBytes(): number {
  return v8.getHeapStatistics().heap_size_limit
}
