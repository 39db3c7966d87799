/**
 * Reads the list of backend servers anew where a resumed stream depends on it and
 * the peers cannot confirm it. Requests share a read; restarts the pending reads
 * of the store at most once in MIN_REFRESH_INTERVAL_MS, so that a store that does
 * not answer is not called for each stream. Owns the refresh in progress.
 */
import { wait } from '@eidermast/common'
import { isListRecent } from '../../request/continuation/origin-decision.js'

/** Time for the first retry of an aborted read and its answer. */
const REFRESH_TIMEOUT_MS = 600
/** Bounds the calls to the store while most peers are silent. */
const MIN_REFRESH_INTERVAL_MS = 2000
/** Interval at which the age of the list is looked at. */
const CHECK_INTERVAL_MS = 20

/** What the refresh works with. */
export interface ListRefreshDependencies {
  /** Age of the list of backend servers, in milliseconds. */
  listAgeMs: () => number
  /** Restarts the pending reads of the store, which then answers at once. */
  restartReads: () => void
}

/** Refreshes the list of backend servers. */
export class ListRefresh {
  private inProgress: Promise<void> | undefined
  /** On the monotonic clock, in milliseconds. */
  private lastStartedAt = Number.NEGATIVE_INFINITY

  constructor(private readonly dependencies: ListRefreshDependencies) {}

  /** Resolves once the list is recent, or after a bounded time. */
  async refresh(): Promise<void> {
    this.inProgress ??= this.run().finally(() => this.inProgress = undefined)
    await this.inProgress
  }

  private async run(): Promise<void> {
    const startedAt = performance.now()
    if (startedAt - this.lastStartedAt < MIN_REFRESH_INTERVAL_MS)
      return
    this.lastStartedAt = startedAt
    this.dependencies.restartReads()
    while (!isListRecent(this.dependencies.listAgeMs()) && performance.now() - startedAt < REFRESH_TIMEOUT_MS)
      await wait(CHECK_INTERVAL_MS)
  }
}
