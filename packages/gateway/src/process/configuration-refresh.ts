/**
 * Decides whether a request may be denied by the configuration in force: whether
 * that is known to be the newest one, as far as changes must be in force by now.
 *
 * Inputs: milliseconds since the version in force was last known to be the newest
 * (own reads, or replies of peers with the same version; as of now); the
 * platform's bound on the time until a change is in force (ms).
 * Rule: it may, if that is shorter than the bound without MAX_TRANSFER_MS.
 * Otherwise the operator's records are read anew, and requests wait for that for
 * at most CHECK_TIMEOUT_MS. They share a read, and none is started within
 * MIN_INTERVAL_MS of the one before; until then, requests are answered at once.
 * Why: clients do not retry after a denial, so one by an outdated configuration
 * is final for a request that other gateways would serve. Reading before each
 * denial would let callers with an unknown key cause a call to the store each.
 * Log event: `request-ended` (`configurationAgeMs`; outcome `not-ready` if it is
 * not known).
 *
 * Owns the read that requests wait for.
 */
import type { ConfigurationCheck } from '../request/configuration-check.js'
import { wait } from '@eidermast/common'

/** Longest time from a peer's reply to its receipt, by which its knowledge is older than it says: the timeout of a heartbeat. */
const MAX_TRANSFER_MS = 450
/** Long enough for a new connection and an answer on a busy VM; a caller that is sent elsewhere loses this time. */
const CHECK_TIMEOUT_MS = 300
/** Limits the calls to the store. A successful read allows denials until the next one may be made. */
const MIN_INTERVAL_MS = 500
/** Interval at which the age is looked at. */
const POLL_INTERVAL_MS = 10

/** What the check works with. */
export interface ConfigurationRefreshDependencies {
  /** Milliseconds since the version in force was last known to be the newest. */
  ageMs: () => number
  /** Milliseconds after which a change must be in force. */
  boundMs: number
  /** Reads the operator's records anew. */
  refresh: () => void
}

/** Checks the age of the configuration, and reads it anew. */
export class ConfigurationRefresh implements ConfigurationCheck {
  private inProgress: Promise<void> | undefined
  /** On the monotonic clock, in milliseconds. */
  private startedAt = Number.NEGATIVE_INFINITY

  constructor(private readonly dependencies: ConfigurationRefreshDependencies) {}

  async isUpToDate(): Promise<boolean> {
    if (this.isRecent())
      return true
    if (performance.now() - this.startedAt >= MIN_INTERVAL_MS)
      this.inProgress ??= this.refresh()
    await this.inProgress
    return this.isRecent()
  }

  private isRecent(): boolean {
    return this.dependencies.ageMs() < this.dependencies.boundMs - MAX_TRANSFER_MS
  }

  private async refresh(): Promise<void> {
    this.startedAt = performance.now()
    this.dependencies.refresh()
    while (!this.isRecent() && performance.now() - this.startedAt < CHECK_TIMEOUT_MS)
      await wait(POLL_INTERVAL_MS)
    this.inProgress = undefined
  }
}
