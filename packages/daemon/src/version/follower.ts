import type { Configuration } from './configuration.js'
/**
 * Keeps a configuration at the head of the log's configuration stream.
 */
import type { LogClient, LogPage } from './log.js'
import { createLogger, formatError, wait } from '@eidermast/common'
import { parseRecord } from './configuration.js'
import { CONFIGURATION_STREAM, RecordKind } from './record.js'

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

/** Reads one page into a configuration and returns the offset to read next. */
export function foldPage(configuration: Configuration, page: LogPage): number {
  if (hasGap(configuration, page))
    adoptNewestCheckpoint(configuration, page)
  // Folding past missing records would give another configuration than elsewhere: wait for a peer's.
  if (hasGap(configuration, page))
    return configuration.offset + 1
  for (const record of page.records) {
    const outcome = configuration.fold(record.offset, record.value)
    log('record', { offset: record.offset, outcome })
  }
  return configuration.offset + 1
}

/** Whether the log has dropped records that the configuration has not folded. */
export function hasGap(configuration: Configuration, page: LogPage): boolean {
  return configuration.offset + 1 < page.firstOffset
}

/**
 * Adopts the newest checkpoint after which the page misses no record.
 * The page must reach from the first retained record to the stream's end.
 */
function adoptNewestCheckpoint(configuration: Configuration, page: LogPage): void {
  for (let index = page.records.length - 1; index >= 0; index--) {
    const record = parseRecord(page.records[index].value)
    if (record?.record !== RecordKind.Checkpoint || record.upTo + 1 < page.firstOffset)
      continue
    configuration.adopt(record)
    log('checkpoint-adopted', { offset: page.records[index].offset, upTo: record.upTo })
    return
  }
  log('checkpoint-missing', { first: page.firstOffset, held: configuration.offset })
}

/** One process's task that tails the configuration stream. */
export class ConfigurationFollower {
  private readonly options: Required<FollowerOptions>
  private lastReadAt: number | undefined

  constructor(
    private readonly client: LogClient,
    private readonly configuration: Configuration,
    options: FollowerOptions = {},
  ) {
    this.options = { waitMs: 2000, retryMs: 250, pageSize: 1000, ...options }
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

  /** Reads everything from the next offset on, page by page. */
  private async readAll(waitMs: number, signal: AbortSignal): Promise<LogPage | undefined> {
    const from = this.configuration.offset + 1
    const first = await this.client.read({ stream: CONFIGURATION_STREAM, from, limit: this.options.pageSize, waitMs }, signal)
    if (first.isErr()) {
      if (!signal.aborted)
        log('log-unreadable', { error: formatError(first.error) })
      return undefined
    }
    const all = first.value
    while (all.records.length > 0 && all.records.at(-1)!.offset + 1 < all.nextOffset) {
      const next = await this.client.read({ stream: CONFIGURATION_STREAM, from: all.records.at(-1)!.offset + 1, limit: this.options.pageSize, waitMs: 0 }, signal)
      if (next.isErr())
        return undefined
      if (next.value.records.length === 0)
        break
      all.records.push(...next.value.records)
    }
    return all
  }
}
