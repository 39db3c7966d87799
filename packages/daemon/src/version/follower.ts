/**
 * Keeps a configuration up to date with the log's configuration stream. State: the
 * time of the last successful read, in memory. A restarted process reads the stream
 * again from its first retained record.
 */
import type { Configuration } from './configuration.js'
import type { LogClient, LogPage } from './log.js'
import { createLogger, formatError, wait } from '@eidermast/common'
import { foldPage, hasGap } from './fold-page.js'
import { CONFIGURATION_STREAM } from './record.js'

const log = createLogger('configuration')

export interface FollowerOptions {
  /**
   * How long the log may hold a read open while there are no new records (long polling), in milliseconds.
   * @default 2000
   */
  waitMs?: number
  /**
   * Delay before the next read while the log is unavailable, in milliseconds.
   * @default 250
   */
  retryMs?: number
  /**
   * Number of records per read.
   * @default 1000
   */
  pageSize?: number
}

/** Limits the reads of an idle log; must stay well below the age of 5 s at which a configuration counts as outdated. */
const READ_WAIT_MS = 2000
/** Limits the requests to an unavailable log, at the cost of later changes after its recovery. */
const RETRY_MS = 250
/** Limits the size of a response, at the cost of more reads at start-up. */
const PAGE_SIZE = 1000

/** Background task of a process that tails the configuration stream. */
export class ConfigurationFollower {
  private readonly options: Required<FollowerOptions>
  /** When the last read was answered after which the configuration had no gap, on the monotonic clock in milliseconds. */
  private lastReadAt: number | undefined

  constructor(
    private readonly client: LogClient,
    private readonly configuration: Configuration,
    options: FollowerOptions = {},
  ) {
    this.options = { waitMs: READ_WAIT_MS, retryMs: RETRY_MS, pageSize: PAGE_SIZE, ...options }
  }

  /** Time since the configuration was last read from the log, in milliseconds; undefined if it never was. */
  get ageMs(): number | undefined {
    return this.lastReadAt === undefined ? undefined : performance.now() - this.lastReadAt
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
        this.lastReadAt = performance.now()
    }
  }

  /** Reads all records from the next offset on, page by page; undefined if the log is unavailable. */
  private async readAll(waitMs: number, signal: AbortSignal): Promise<LogPage | undefined> {
    const all = await this.readPage(this.configuration.offset + 1, waitMs, signal)
    if (!all || all.records.length === 0)
      return all
    for (let next = nextOffsetOf(all); next < all.nextOffset; next = nextOffsetOf(all)) {
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

/** Offset after the last record of a page. */
function nextOffsetOf(page: LogPage): number {
  return page.records.at(-1)!.offset + 1
}
