/**
 * A side's knowledge of the newest configuration. Owns whether it is known,
 * for the life of the process: a restarted side learns it again.
 *
 * Decides when a side may act by its configuration. Inputs: whether the log
 * answered a read in this process life, heartbeats and differences from
 * entries, milliseconds since the start.
 * Rule: known once the log has answered, or once an entry that the log
 * confirmed within its own limit (`MAX_CONFIGURATION_AGE_MS`) holds nothing
 * newer, or once any entry brought a difference and LOG_PATIENCE_MS are over.
 * It stays known: entries bring what is new.
 * Why wait at all: a side that starts by an old configuration orders an old
 * model. Why not for the log alone: while the log is out, sides that restart
 * would take no work.
 * Log event: `configuration-known` (offset).
 */
import type { Heartbeat } from '../../connection/messages.js'
import type { Configuration, ConfigurationDifference } from '../../version/configuration.js'
import type { LogClient } from '../../version/log.js'
import type { NewestConfiguration } from './order-keeper.js'
import { createLogger, formatError, wait } from '@eidermast/common'
import { foldPage } from '../../version/fold-page.js'
import { ConfigurationFollower } from '../../version/follower.js'
import { readConfigurationStream } from '../../version/read-stream.js'

const log = createLogger('process')

/**
 * Milliseconds for which a starting side waits for the log before an entry's
 * difference is enough. Half may pass before a loaded log has
 * answered once, twice keeps a backend server out of work for longer while the
 * log is out.
 */
const LOG_PATIENCE_MS = 3000
/** Milliseconds between looks while the configuration is not known. It only delays the start. */
const LEARN_POLL_MS = 20

/** One side's knowledge of the configuration. */
export class SideConfiguration implements NewestConfiguration {
  private known = false
  /** Whether an entry brought a difference in this process life. */
  private heardFromPeer = false

  constructor(
    private readonly sideName: string,
    private readonly configuration: Configuration,
    private readonly logClient: LogClient,
  ) {}

  get isKnown(): boolean {
    return this.known
  }

  /** An entry that the log has just confirmed, and whose configuration is not newer, vouches for this one. */
  noteHeartbeat(heartbeat: Heartbeat): void {
    if (heartbeat.fresh && heartbeat.offset <= this.configuration.offset)
      this.known = true
  }

  /** Applies what an entry brought; returns the offset now held. */
  apply(difference: ConfigurationDifference): number {
    this.configuration.apply(difference)
    this.heardFromPeer = true
    return this.configuration.offset
  }

  /** Reads the log until the configuration is known, or until the signal aborts. */
  async learn(signal: AbortSignal): Promise<void> {
    const reading = new AbortController()
    const follower = new ConfigurationFollower(this.logClient, this.configuration)
    const stopReading = (): void => reading.abort()
    signal.addEventListener('abort', stopReading)
    void follower.run(reading.signal)
    const startedAt = performance.now()
    while (!signal.aborted && !this.known) {
      const waited = performance.now() - startedAt > LOG_PATIENCE_MS
      if (follower.hasRead || (this.heardFromPeer && waited))
        this.known = true
      await wait(LEARN_POLL_MS, signal)
    }
    stopReading()
    signal.removeEventListener('abort', stopReading)
    if (this.known)
      log('configuration-known', { name: this.sideName, offset: this.configuration.offset })
  }

  /** Reads the log once; false where it does not answer or held newer records, which are taken over. */
  async confirmNewest(): Promise<boolean> {
    const from = this.configuration.offset + 1
    const page = await readConfigurationStream(this.logClient, from)
    if (page.isErr()) {
      log('order-not-confirmed', { name: this.sideName, error: formatError(page.error) })
      return false
    }
    const isNewest = page.value.nextOffset <= from
    foldPage(this.configuration, page.value)
    return isNewest
  }
}
