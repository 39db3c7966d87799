/**
 * Decides which part of the fixed retry allowance of all gateways this process
 * may use.
 *
 * Inputs: time since this process started, and the window of the retry budget
 * (ms); whether it is stopping; the number of gateways listed at each time, here
 * or at a peer that reported it.
 * Rule: nothing until a whole window has passed since the start, nor before the
 * list names this process, nor while stopping. Otherwise the share of one gateway
 * (`gateway-share.ts`) of the largest number listed within the last window.
 * Why: the limit is a sum over all processes that send within a window, those
 * that have ended included, and counts end with their process. Once a process
 * uses its part, no window holds what its predecessors sent; once it uses a larger
 * part, none holds what gateways sent that have left the list. A gateway that the
 * others do not find in the list is not reckoned with, and has no part. Counts
 * that outlive a process would need a message for each retry, or would be out of
 * date exactly when all gateways are killed together.
 * Log event: `retry-refused` (`part`).
 *
 * State: the time of the start, and the numbers of the last window.
 */
import { countSharingGateways } from './gateway-share.js'

/** A number of listed gateways that held until a time on the monotonic clock in milliseconds. */
interface FormerCount {
  gateways: number
  until: number
}

/** Computes the part for one process, from its creation on. */
export class RetryShare {
  private readonly startedAt: number
  private isStopping = false
  /** Number of listed gateways; undefined before this process is listed. */
  private gateways: number | undefined
  /** In descending order: a number that is not above a later one has no effect. */
  private formerCounts: FormerCount[] = []

  /** Takes the window of the retry budget in milliseconds. */
  constructor(private readonly windowMs: number, private readonly now: () => number = () => performance.now()) {
    this.startedAt = now()
  }

  /** Records the number of gateways in the list that this process has read, which names itself. */
  noteListed(gateways: number): void {
    if (this.gateways !== undefined && this.gateways !== gateways)
      this.noteFormer(this.gateways)
    this.gateways = gateways
  }

  /** Records the number of gateways that a peer has listed, which may be more than here while reads of this process fail. */
  noteReported(gateways: number): void {
    this.noteFormer(gateways)
  }

  /** Records that this process is stopping, and leaves the list. */
  noteStopping(): void {
    this.isStopping = true
  }

  /** The part, from 0 to 1. */
  get part(): number {
    const now = this.now()
    if (this.gateways === undefined || this.isStopping || now - this.startedAt < this.windowMs)
      return 0
    this.formerCounts = this.formerCounts.filter(({ until }) => now - until < this.windowMs)
    return 1 / countSharingGateways(Math.max(this.gateways, this.formerCounts[0]?.gateways ?? 0))
  }

  private noteFormer(gateways: number): void {
    this.formerCounts = [...this.formerCounts.filter(former => former.gateways > gateways), { gateways, until: this.now() }]
  }
}
