import type { Configuration } from './configuration.js'
/**
 * Appends a checkpoint of the configuration before the log's retention drops
 * the records it was folded from. Any entry may do so; two checkpoints of the
 * same offset do no harm, and a random wait makes them rare.
 */
import type { LogClient } from './log.js'
import { createLogger, formatError, wait } from '@eidermast/common'
import { parseRecord } from './configuration.js'
import { CONFIGURATION_STREAM, NO_OFFSET, RecordKind } from './record.js'

const log = createLogger('configuration')

/** Options of the checkpointer. */
export interface CheckpointerOptions {
  /** Milliseconds for which the log keeps records. */
  retentionMs: number
  /**
   * Source of random numbers in [0, 1).
   * @default Math.random
   */
  random?: () => number
  /**
   * Clock, in epoch milliseconds.
   * @default Date.now
   */
  now?: () => number
}

/** Share of the retention after which a new checkpoint is due. */
const DUE_SHARE = 0.5
/** How many checks happen within one due interval. */
const CHECKS_PER_INTERVAL = 5

/** One entry's task that appends checkpoints. */
export class Checkpointer {
  private readonly dueMs: number
  private readonly random: () => number
  private readonly now: () => number

  constructor(
    private readonly client: LogClient,
    private readonly configuration: Configuration,
    options: CheckpointerOptions,
  ) {
    this.dueMs = options.retentionMs * DUE_SHARE
    this.random = options.random ?? Math.random
    this.now = options.now ?? Date.now
  }

  /** Checks and appends until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const waitMs = (this.dueMs / CHECKS_PER_INTERVAL) * (0.5 + this.random())
      await wait(waitMs, signal)
      if (!signal.aborted)
        await this.appendIfDue(signal)
    }
  }

  /** Appends a checkpoint unless a recent one is on the log. Returns whether it did. */
  async appendIfDue(signal?: AbortSignal): Promise<boolean> {
    if (this.configuration.offset === NO_OFFSET)
      return false
    const page = await this.client.read({ stream: CONFIGURATION_STREAM, from: 0, limit: Number.MAX_SAFE_INTEGER, waitMs: 0 }, signal)
    if (page.isErr() || page.value.nextOffset > this.configuration.offset + 1)
      return false
    const newest = page.value.records.findLast(record => parseRecord(record.value)?.record === RecordKind.Checkpoint)
    if (newest && this.now() - newest.time < this.dueMs)
      return false
    // A young log without a checkpoint needs none before its oldest record ages.
    const oldest = page.value.records[0]
    if (!newest && oldest && page.value.firstOffset === 0 && this.now() - oldest.time < this.dueMs)
      return false
    const appended = await this.client.append(CONFIGURATION_STREAM, [this.configuration.checkpoint()], signal)
    log('checkpoint', { upTo: this.configuration.offset, result: appended.isOk() ? 'appended' : formatError(appended.error) })
    return appended.isOk()
  }
}
