/**
 * Interface to the platform's append-only log. The records of a stream have
 * ascending offsets that never change; the log drops records older than its
 * retention.
 *
 * The schemas describe the log's responses. The HTTP client is in `connection/`;
 * tests provide their own.
 */
import type { Result } from 'ts-results-es'
import type { CallError } from './call-error.js'
import * as z from 'zod'

/** One record: its offset, the time of its append (epoch milliseconds) and its value. */
const logRecordSchema = z.object({ offset: z.int().min(0), time: z.number(), value: z.unknown() })

/** Response to a read. */
export const logPageSchema = z.object({
  records: z.array(logRecordSchema),
  /** Offset of the oldest retained record. */
  firstOffset: z.int().min(0),
  /** Offset that the next appended record will get. */
  nextOffset: z.int().min(0),
})

/** One record of a stream. */
export type LogRecord = z.infer<typeof logRecordSchema>

/** Records of a stream in offset order, and the stream's bounds. */
export type LogPage = z.infer<typeof logPageSchema>

/** Which records to read. */
export interface LogReadOptions {
  stream: string
  /** Offset of the first record to read. */
  from: number
  /** Maximum number of records. */
  limit: number
  /** How long the log may hold the read open while there are no new records (long polling). */
  waitMs: number
}

export interface LogClient {
  /** Appends records as one batch; returns the offset of the first one. */
  append: (stream: string, values: unknown[], signal?: AbortSignal) => Promise<Result<number, CallError>>
  /** Reads records from an offset on. */
  read: (options: LogReadOptions, signal?: AbortSignal) => Promise<Result<LogPage, CallError>>
  close: () => Promise<void>
}
