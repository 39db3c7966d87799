/**
 * Tracks whether a side has the latest configuration. Owns this status for the
 * lifetime of the process; a restarted side determines it again.
 *
 * Decides when a side may act on its configuration. Inputs: whether the log has
 * answered a read in this process incarnation, heartbeats and differences from
 * entries, and the time since the start.
 * Rule: known once the log has responded; once an entry has nothing newer and
 * had its own configuration confirmed by the log within
 * MAX_CONFIGURATION_AGE_MS; or once any entry has sent a difference and
 * PEER_FALLBACK_DELAY_MS have passed. It stays known, because entries send later
 * changes.
 * Why wait at all: a side that starts with an old configuration would order an
 * old model. Why not wait for the log alone: during an outage of the log,
 * restarted sides would accept no work.
 * Log event: `configuration-known` (offset).
 */
import type { Heartbeat } from '../../connection/messages.js'
import type { Configuration, ConfigurationDifference } from '../../version/configuration.js'
import type { LogClient } from '../../version/log.js'
import type { ConfigurationStatus } from './placement-reconciler.js'
import { createLogger, formatError, wait } from '@eidermast/common'
import { foldPage } from '../../version/fold-page.js'
import { ConfigurationFollower } from '../../version/follower.js'
import { readConfigurationStream } from '../../version/read-stream.js'

const log = createLogger('process')

/**
 * How long a starting side waits for the log before a difference from an entry
 * is enough. A loaded log can take 1.5 s to respond at all; during an outage of
 * the log, the backend server stays out of service for this time.
 */
const PEER_FALLBACK_DELAY_MS = 3000
/** Poll interval until the configuration is known; affects only the startup delay. */
const LOAD_POLL_MS = 20

/** Configuration status of one side. */
export class SideConfiguration implements ConfigurationStatus {
  private known = false
  /** Whether an entry has sent a difference in this process incarnation. */
  private receivedFromPeer = false

  constructor(
    private readonly sideName: string,
    private readonly configuration: Configuration,
    private readonly logClient: LogClient,
  ) {}

  get isKnown(): boolean {
    return this.known
  }

  /** An entry with a fresh configuration that is not newer than the local one confirms the local one. */
  handleHeartbeat(heartbeat: Heartbeat): void {
    if (heartbeat.fresh && heartbeat.offset <= this.configuration.offset)
      this.known = true
  }

  /** Applies a difference from an entry and returns the new offset. */
  apply(difference: ConfigurationDifference): number {
    this.configuration.apply(difference)
    this.receivedFromPeer = true
    return this.configuration.offset
  }

  /** Reads the log until the configuration is known, or until the signal aborts. */
  async loadUntilKnown(signal: AbortSignal): Promise<void> {
    const readAbort = new AbortController()
    const follower = new ConfigurationFollower(this.logClient, this.configuration)
    const stopReading = (): void => readAbort.abort()
    signal.addEventListener('abort', stopReading)
    void follower.run(readAbort.signal)
    const startedAt = performance.now()
    while (!signal.aborted && !this.known) {
      const fallbackAllowed = performance.now() - startedAt > PEER_FALLBACK_DELAY_MS
      if (follower.hasRead || (this.receivedFromPeer && fallbackAllowed))
        this.known = true
      await wait(LOAD_POLL_MS, signal)
    }
    stopReading()
    signal.removeEventListener('abort', stopReading)
    if (this.known)
      log('configuration-known', { name: this.sideName, offset: this.configuration.offset })
  }

  /** Reads the log once; resolves to false if it does not respond or has newer records, which are applied. */
  async confirmLatest(): Promise<boolean> {
    const from = this.configuration.offset + 1
    const page = await readConfigurationStream(this.logClient, from)
    if (page.isErr()) {
      log('order-not-confirmed', { name: this.sideName, error: formatError(page.error) })
      return false
    }
    const isLatest = page.value.nextOffset <= from
    foldPage(this.configuration, page.value)
    return isLatest
  }
}
