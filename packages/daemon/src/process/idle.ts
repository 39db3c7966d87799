/**
 * Waits for work in flight to end, for entries and sides that stop.
 */
import { wait } from '@eidermast/common'

/**
 * Milliseconds between looks at the work in flight. It only adds to the time
 * that a stop takes.
 */
const IDLE_POLL_MS = 20

/** Waits until nothing is in flight, or until the time is over. */
export async function waitUntilIdle(isIdle: () => boolean, timeoutMs: number): Promise<void> {
  const deadline = performance.now() + timeoutMs
  while (!isIdle() && performance.now() < deadline)
    await wait(IDLE_POLL_MS)
}
