/**
 * Background task of an entry that appends checkpoints of the configuration to the
 * log when `checkpoint-timing` decides that one is due. Stateless: each check reads
 * the log, so a restart loses nothing.
 */
import type { Configuration } from './configuration.js'
import type { LogClient, LogPage } from './log.js'
import { createLogger, formatError, wait } from '@eidermast/common'
import { isCheckpointDue, nextCheckMs } from './checkpoint-timing.js'
import { parseRecord } from './configuration.js'
import { readConfigurationStream } from './read-stream.js'
import { CONFIGURATION_STREAM, NO_OFFSET, RecordKind } from './record.js'

const log = createLogger('configuration')

export interface CheckpointerOptions {
  /** Retention of the log in milliseconds. */
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

/** Appends checkpoints for one entry. */
export class Checkpointer {
  private readonly options: Required<CheckpointerOptions>

  constructor(
    private readonly client: LogClient,
    private readonly configuration: Configuration,
    options: CheckpointerOptions,
  ) {
    this.options = { random: Math.random, now: Date.now, ...options }
  }

  /** Checks periodically, and appends checkpoints, until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { random, retentionMs } = this.options
    while (!signal.aborted) {
      await wait(nextCheckMs(retentionMs, random()), signal)
      if (!signal.aborted)
        await this.appendIfDue(signal)
    }
  }

  /** Appends a checkpoint if one is due. Returns whether it was appended. */
  async appendIfDue(signal?: AbortSignal): Promise<boolean> {
    if (this.configuration.offset === NO_OFFSET)
      return false
    const page = await readConfigurationStream(this.client, 0, signal)
    if (page.isErr()) {
      log('checkpoint', { upTo: this.configuration.offset, result: formatError(page.error) })
      return false
    }
    return this.isDue(page.value) && await this.append(signal)
  }

  private isDue(page: LogPage): boolean {
    const { retentionMs, now } = this.options
    const newest = page.records.findLast(record => parseRecord(record.value)?.record === RecordKind.Checkpoint)
    return isCheckpointDue({
      upToDate: page.nextOffset <= this.configuration.offset + 1,
      newestCheckpointAt: newest?.time,
      oldestRecordAt: page.records[0]?.time,
      keepsFirstRecord: page.firstOffset === 0,
      retentionMs,
      now: now(),
    })
  }

  private async append(signal?: AbortSignal): Promise<boolean> {
    const appended = await this.client.append(CONFIGURATION_STREAM, [this.configuration.checkpoint()], signal)
    log('checkpoint', { upTo: this.configuration.offset, result: appended.isOk() ? 'appended' : formatError(appended.error) })
    return appended.isOk()
  }
}
