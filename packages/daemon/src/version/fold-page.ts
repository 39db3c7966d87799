/**
 * Folds a page of the log into a configuration. If the log has already dropped
 * records that the configuration lacks, folding starts from the newest checkpoint
 * that closes the gap. Stateless.
 */
import type { Configuration } from './configuration.js'
import type { LogPage } from './log.js'
import { createLogger } from '@eidermast/common'
import { parseRecord } from './configuration.js'
import { RecordKind } from './record.js'

const log = createLogger('configuration')

/** Folds one page into a configuration and returns the next offset to read. */
export function foldPage(configuration: Configuration, page: LogPage): number {
  if (hasGap(configuration, page))
    applyNewestCheckpoint(configuration, page)
  // Folding past missing records would diverge from the other processes: wait for a checkpoint or a peer's configuration.
  if (hasGap(configuration, page))
    return configuration.offset + 1
  for (const record of page.records) {
    const outcome = configuration.fold(record.offset, record.value)
    log('record', { offset: record.offset, outcome })
  }
  return configuration.offset + 1
}

/** Whether the log has dropped records that are not folded into the configuration. */
export function hasGap(configuration: Configuration, page: LogPage): boolean {
  return configuration.offset + 1 < page.firstOffset
}

/**
 * Applies the newest checkpoint after which the page lacks no record. The page must
 * extend from the first retained record to the end of the stream.
 */
function applyNewestCheckpoint(configuration: Configuration, page: LogPage): void {
  for (const { offset, value } of page.records.toReversed()) {
    const record = parseRecord(value)
    if (record?.record !== RecordKind.Checkpoint || record.upTo + 1 < page.firstOffset)
      continue
    configuration.applyCheckpoint(record)
    log('checkpoint-adopted', { offset, upTo: record.upTo })
    return
  }
  log('checkpoint-missing', { first: page.firstOffset, held: configuration.offset })
}
