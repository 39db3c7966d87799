/**
 * Waits for work in flight to finish when an entry or a side stops.
 */
import { wait } from '@eidermast/common'

/** Poll interval; affects only how long a stop takes. */
const IDLE_POLL_MS = 20

/** Resolves when `isIdle` returns true or after the timeout. */
export async function waitUntilIdle(isIdle: () => boolean, timeoutMs: number): Promise<void> {
  const deadline = performance.now() + timeoutMs
  while (!isIdle() && performance.now() < deadline)
    await wait(IDLE_POLL_MS)
}
