/**
 * Keeps a configuration at the head of the log's configuration stream. Owns
 * when the log last answered, for the life of the process; a restarted process
 * reads the stream again from its first retained record.
 */
import type { Configuration } from './configuration.js'
import type { LogClient, LogPage } from './log.js'
import { createLogger, formatError, wait } from '@eidermast/common'
import { foldPage, hasGap } from './fold-page.js'
import { CONFIGURATION_STREAM } from './record.js'

const log = createLogger('configuration')

/** Options of a configuration follower. */
export interface FollowerOptions {
  /**
   * Milliseconds that the log may hold a read open while nothing is new.
   * @default 2000
   */
  waitMs?: number
  /**
   * Milliseconds between tries while the log does not answer.
   * @default 250
   */
  retryMs?: number
  /**
   * Records read at once.
   * @default 1000
   */
  pageSize?: number
}

/** Milliseconds. Half reads a quiet log twice as often, twice comes near the age at which a configuration counts as old. */
const READ_WAIT_MS = 2000
/** Milliseconds. Half asks a log that is out twice as often, twice delays changes after it returns. */
const RETRY_MS = 250
/** Records. Half needs more reads to start, twice larger answers. */
const PAGE_SIZE = 1000

/** One process's task that tails the configuration stream. */
export class ConfigurationFollower {
  private readonly options: Required<FollowerOptions>
  /** When the log last answered without a gap, in epoch milliseconds. */
  private lastReadAt: number | undefined

  constructor(
    private readonly client: LogClient,
    private readonly configuration: Configuration,
    options: FollowerOptions = {},
  ) {
    this.options = { waitMs: READ_WAIT_MS, retryMs: RETRY_MS, pageSize: PAGE_SIZE, ...options }
  }

  /** Milliseconds since the log last answered, or undefined if it never did. */
  get ageMs(): number | undefined {
    return this.lastReadAt === undefined ? undefined : Date.now() - this.lastReadAt
  }

  /** Whether the configuration has been read from the log at least once. */
  get hasRead(): boolean {
    return this.lastReadAt !== undefined
  }

  /** Tails the log until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const waitMs = this.hasRead ? this.options.waitMs : 0
      const page = await this.readAll(waitMs, signal)
      if (!page) {
        await wait(this.options.retryMs, signal)
        continue
      }
      foldPage(this.configuration, page)
      if (hasGap(this.configuration, page))
        await wait(this.options.retryMs, signal)
      else
        this.lastReadAt = Date.now()
    }
  }

  /** Reads everything from the next offset on, page by page; undefined where the log does not answer. */
  private async readAll(waitMs: number, signal: AbortSignal): Promise<LogPage | undefined> {
    const all = await this.readPage(this.configuration.offset + 1, waitMs, signal)
    if (!all || all.records.length === 0)
      return all
    for (let next = offsetAfter(all); next < all.nextOffset; next = offsetAfter(all)) {
      const page = await this.readPage(next, 0, signal)
      if (!page)
        return undefined
      if (page.records.length === 0)
        break
      all.records.push(...page.records)
    }
    return all
  }

  private async readPage(from: number, waitMs: number, signal: AbortSignal): Promise<LogPage | undefined> {
    const page = await this.client.read({ stream: CONFIGURATION_STREAM, from, limit: this.options.pageSize, waitMs }, signal)
    if (page.isOk())
      return page.value
    if (!signal.aborted)
      log('log-unreadable', { error: formatError(page.error) })
    return undefined
  }
}

/** The offset after a page's last record. */
function offsetAfter(page: LogPage): number {
  return page.records.at(-1)!.offset + 1
}
