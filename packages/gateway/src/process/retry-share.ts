/**
 * Decides which part of the fixed retry allowance of all gateways this process
 * may use.
 *
 * Inputs: time since this process started (ms), the window of the retry budget
 * (ms), the number of gateways in the platform's directory.
 * Rule: nothing until a whole window has passed since the start, then the share
 * of one gateway (`gateway-share.ts`).
 * Why: the limit is a sum over all processes that send within a window, those
 * that have ended included, and counts end with their process. What the
 * predecessors of a process sent has left every window once it uses its part.
 * Counts that outlive a process would need a message for each retry, or would be
 * out of date exactly when all gateways are killed together.
 * Log event: `retry-refused` (`part`).
 *
 * State: the time of the start.
 */
import { countSharingGateways } from './gateway-share.js'

/** What the share is computed from. */
export interface RetryShareInputs {
  /** Window of the retry budget in milliseconds. */
  windowMs: number
  /** Number of listed gateways, including this one. */
  gateways: () => number
}

/** Computes the part for one process, from its creation on. */
export class RetryShare {
  private readonly startedAt: number

  constructor(private readonly inputs: RetryShareInputs, private readonly now: () => number = () => performance.now()) {
    this.startedAt = now()
  }

  /** The part, from 0 to 1. */
  get part(): number {
    if (this.now() - this.startedAt < this.inputs.windowMs)
      return 0
    return 1 / countSharingGateways(this.inputs.gateways())
  }
}
