/**
 * Keeps the event loop of the test process busy, like that of a process which
 * gets more work than it has processor time for.
 */

/** Length of a task in milliseconds; other events are handled between two tasks. */
const TASK_MS = 20

/** Occupies the event loop with one task after the other until the work has ended. */
export async function beBusyDuring(work: Promise<unknown>): Promise<void> {
  const ended = new AbortController()
  void work.then(() => ended.abort())
  while (!ended.signal.aborted) {
    const until = performance.now() + TASK_MS
    while (performance.now() < until);
    await new Promise(resolve => setImmediate(resolve))
  }
}
