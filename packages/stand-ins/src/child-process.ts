/**
 * Child processes as the launcher needs them: their first line and their end.
 */
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'

/**
 * Milliseconds for a child to listen. Not measured: half as long fails starts on
 * a busy machine, twice as long only delays the report of a child that hangs.
 */
const START_TIMEOUT_MS = 30_000

/** Whether a child has not ended. */
export function isRunning(child: ChildProcess): boolean {
  return child.exitCode === null && child.signalCode === null
}

/** The first line that a child prints; throws if it ends before. */
export async function readFirstLine(child: ChildProcess, name: string): Promise<string> {
  const lines = createInterface({ input: child.stdout! })
  const timeout = AbortSignal.timeout(START_TIMEOUT_MS)
  const line = await Promise.race([
    once(lines, 'line', { signal: timeout }).then(([text]) => String(text)),
    once(child, 'exit', { signal: timeout }).then(() => undefined),
  ])
  if (line === undefined)
    throw new Error(`${name} ended before it listened`)
  return line
}

/** Waits for a child's end, if it has not come. */
export async function untilEnded(child: ChildProcess): Promise<void> {
  if (isRunning(child))
    await once(child, 'exit')
}
