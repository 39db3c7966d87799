/**
 * Decides which part of the retry allowance of the stage services this process
 * may use as a coordinator.
 *
 * Inputs: time since this process started and the window of the retry budget
 * (ms), the coordinators of the shards of the stage work at each time, as this
 * process elects them.
 * Rule: nothing until a whole window has passed since the start. Then the share of
 * one shard of all (`gateway-share.ts`), which leaves one share for a takeover;
 * nothing while more gateways than that have coordinated within a window.
 * Why: a coordinator that takes over does not know what its predecessor used, and
 * the stage work that it restarts needs retries at once. A second takeover within
 * a window would exceed the allowance.
 * Log event: `stage-call` (failures).
 *
 * State: the time of the start, and the coordinators of the last window.
 */
import { countSharingGateways } from '../gateway-share.js'

/** Computes the part for one process, from its creation on. */
export class StageRetryShare {
  private readonly startedAt: number
  private current: readonly string[] = []
  /** When former coordinators last coordinated, by name, on the monotonic clock in milliseconds. */
  private readonly former = new Map<string, number>()

  /** Takes the window of the retry budget in milliseconds. */
  constructor(private readonly windowMs: number, private readonly now: () => number = () => performance.now()) {
    this.startedAt = now()
  }

  /** Records the names of the coordinators from now on, one for each shard. */
  noteCoordinators(names: readonly string[]): void {
    for (const name of this.current)
      this.former.set(name, this.now())
    this.current = names
  }

  /** The part, from 0 to 1. */
  get part(): number {
    const shares = countSharingGateways(Math.max(1, this.current.length))
    const isWindowPast = this.now() - this.startedAt >= this.windowMs
    return isWindowPast && this.countCoordinators() <= shares ? 1 / shares : 0
  }

  /** Gateways that have coordinated within the last window. */
  private countCoordinators(): number {
    for (const [name, until] of this.former) {
      if (this.now() - until >= this.windowMs)
        this.former.delete(name)
    }
    return new Set([...this.current, ...this.former.keys()]).size
  }
}
