/**
 * A monotonic clock that leaves out the time in which the main thread of the
 * test's process was ready to run and waited for a processor, as on a machine that
 * runs more than it has processors for. Time in which it computes or is blocked
 * counts, so code that blocks the event loop shows.
 */
import { readFileSync } from 'node:fs'

/** Its second figure is the time that the main thread has waited for a processor, in nanoseconds. */
const SCHEDULING_FILE = '/proc/self/schedstat'
const NANOSECONDS_PER_MILLISECOND = 1_000_000

/** The time in milliseconds. */
export function processNow(): number {
  const [, waited] = readFileSync(SCHEDULING_FILE, 'utf8').split(' ')
  return performance.now() - Number(waited) / NANOSECONDS_PER_MILLISECOND
}
