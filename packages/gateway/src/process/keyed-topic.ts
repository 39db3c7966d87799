/**
 * A topic of the platform's store that keeps the newest record of each key, as
 * the adapter reads it for the gateway.
 */

import type { TopicPosition } from '../connection/backends/revision.js'

/** One record; an empty value drops its key. */
export interface KeyedRecord {
  key: string
  value: Buffer
}

/** A record with its place in the topic. */
export interface PlacedRecord extends KeyedRecord, TopicPosition {}

/** The newest record of each key, and the place to read on from. */
export interface NewestRecords {
  records: PlacedRecord[]
  end: TopicPosition
}

/** Records in their order from some offset on. */
export interface ReadRecords {
  /** Era of the store when it answered. */
  era: number
  records: KeyedRecord[]
}

/** A read failed since the store has removed the records that were asked for. */
export class HistoryGoneError extends Error {
  constructor(message: string) {
    super(message)
    this.name = 'HistoryGoneError'
  }
}

/** Reads topics. Calls reject where the store does not answer, and with a `HistoryGoneError` where it has removed the records. */
export interface TopicReader {
  newest: (topic: string) => Promise<NewestRecords>
  /** Records from an offset on; waits for the first one for a time in milliseconds. */
  read: (topic: string, offset: number, signal: AbortSignal, waitMs?: number) => Promise<ReadRecords>
}
