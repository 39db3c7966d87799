/**
 * Interface to compacted topics of the platform's store, which keep the latest
 * record per key. Implemented by the platform's adapter.
 */

import type { TopicPosition } from '../connection/backends/revision.js'

/** One record; an empty value deletes its key. */
export interface KeyedRecord {
  key: string
  value: Buffer
}

/** A record with its position in the topic. */
export interface PositionedRecord extends KeyedRecord, TopicPosition {}

/** The latest record of each key, and the position from which to continue. */
export interface TopicSnapshot {
  records: PositionedRecord[]
  end: TopicPosition
}

/** Consecutive records from an offset. */
export interface ReadRecords {
  /** Era of the store when it responded. */
  era: number
  records: KeyedRecord[]
  /** Offset after the last record of the topic; more records are to be read if it is not reached. */
  end: number
}

/** A read failed because the store has deleted the requested records. */
export class HistoryDeletedError extends Error {
  constructor(message: string) {
    super(message)
    this.name = 'HistoryDeletedError'
  }
}

/** Reads topics. Calls reject if the store does not respond, and with a `HistoryDeletedError` if it has deleted the records. */
export interface TopicReader {
  /** Reads the latest records in calls that reject after `timeoutMs` milliseconds each. */
  readLatest: (topic: string, timeoutMs?: number) => Promise<TopicSnapshot>
  /** Reads records from an offset; waits up to `waitMs` milliseconds for the first one. */
  read: (topic: string, offset: number, signal: AbortSignal, waitMs?: number) => Promise<ReadRecords>
  /** Later calls use new connections; calls in flight go on. */
  renewConnections: () => void
}

/** Topics that belong to the gateways. Calls reject if the store does not respond. */
export interface RecordStore extends Pick<TopicReader, 'readLatest'> {
  append: (topic: string, record: KeyedRecord) => Promise<void>
}
