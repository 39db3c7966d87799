/**
 * Decides when this gateway restarts its reads of the platform's store because
 * it knows fewer gateways than the coordinator. Answers a lost read of the
 * directory while gateways are added or restarted.
 *
 * Inputs: the number of gateways that the coordinator lists, in its heartbeat
 * replies (at most one heartbeat old); the number that this gateway lists (as of
 * now); the pause after a read of the directory (ms).
 * Rule: restart the reads if this gateway has listed fewer for longer than the
 * pause and MAX_LAG_MS, at most once every MIN_RESTART_INTERVAL_MS.
 * Why: common limits are divided by the gateways listed, so one that lists too
 * few uses too much of each. A read on a lost connection gives no error, and
 * the directory's reads have the longest timeouts. Listing more than the
 * coordinator is harmless: shares are smaller then.
 * Log events: `directory-behind`, then `store-failed` for the reads that were
 * aborted.
 */
import type { GatewayLog } from './gateway-log.js'
import { directoryPauseMs } from './read-wait.js'

/** Far above the time of a read, and below the seconds over which rates are limited. */
const MAX_LAG_MS = 1000
/** Limits the calls to the store if the coordinator lists gateways that are gone. */
const MIN_RESTART_INTERVAL_MS = 10_000

/** Compares the directory with the coordinator's. */
export class DirectoryLagWatch {
  private behindSince: number | undefined
  private restartedAt = Number.NEGATIVE_INFINITY

  /** `restartReads` restarts the pending reads of the store. */
  constructor(private readonly log: Pick<GatewayLog, 'directoryBehind'>, private readonly restartReads: () => void) {}

  /** Handles a heartbeat reply of the overall coordinator at a time on the monotonic clock in milliseconds; `coordinatorCount` is undefined for releases that do not send it. */
  handleReply(coordinatorCount: number | undefined, ownCount: number, now: number): void {
    if (coordinatorCount === undefined || coordinatorCount <= ownCount) {
      this.behindSince = undefined
      return
    }
    this.behindSince ??= now
    const behindMs = now - this.behindSince
    const isDue = behindMs > directoryPauseMs(coordinatorCount, Number.POSITIVE_INFINITY) + MAX_LAG_MS
    if (!isDue || now - this.restartedAt < MIN_RESTART_INTERVAL_MS)
      return
    this.restartedAt = now
    this.log.directoryBehind(ownCount, coordinatorCount, behindMs)
    this.restartReads()
  }
}
