/**
 * Decides when this gateway restarts its pending reads of the platform's store
 * because the coordinator's reads have failed.
 *
 * Inputs: whether the overall coordinator reports, in its heartbeat replies, that
 * its source of backend servers does not respond (at most one heartbeat old).
 * Rule: restart the reads once each time the coordinator starts to report it.
 * Why: a read on a lost connection gives no error, and gateways that get updates
 * from peers use the longest read timeouts, so the coordinator notices first.
 * It cannot tell a store outage, after which expired entries are written again,
 * from lost connections. A gateway whose restarted read succeeds can: it then
 * follows the list itself instead of the coordinator's grace periods for removed
 * entries.
 * Log event: `store-failed`, for the reads that were aborted.
 */

/** Tracks whether the coordinator's source responds. */
export class CoordinatorOutageWatch {
  /** Name of the coordinator whose last reply reported an outage of its source. */
  private reportedBy: string | undefined

  /** `restartReads` restarts the pending reads. */
  constructor(private readonly restartReads: () => void) {}

  /** Whether the coordinator reported last that its source does not respond. */
  get isReported(): boolean {
    return this.reportedBy !== undefined
  }

  /** Handles a heartbeat reply of the overall coordinator. */
  handleReply(coordinator: string, isSourceUnavailable: boolean): void {
    const isNew = isSourceUnavailable && this.reportedBy !== coordinator
    this.reportedBy = isSourceUnavailable ? coordinator : undefined
    if (isNew)
      this.restartReads()
  }
}
