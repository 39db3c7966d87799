/**
 * The platform's append-only log, as the rest of the program sees it. Records
 * of a stream have ascending offsets that never change; after its retention
 * the log drops the oldest ones.
 *
 * The schemas describe what the log answers. The HTTP client stands in
 * `connection/`; tests give one of their own.
 */
import type { Result } from 'ts-results-es'
import type { CallError } from './call-error.js'
import * as z from 'zod'

/** One record: its offset, the time of its append in epoch milliseconds, and its value. */
const logRecordSchema = z.object({ offset: z.int().min(0), time: z.number(), value: z.unknown() })

/** The answer to a read. */
export const logPageSchema = z.object({
  records: z.array(logRecordSchema),
  /** Offset of the oldest record that the log still keeps. */
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
  /** Number of records. */
  limit: number
  /** Milliseconds for which the log may hold the read open while nothing is new. */
  waitMs: number
}

/** A client of the platform's log. */
export interface LogClient {
  /** Appends records in one append; returns the first one's offset. */
  append: (stream: string, values: unknown[], signal?: AbortSignal) => Promise<Result<number, CallError>>
  /** Reads records from an offset on. */
  read: (options: LogReadOptions, signal?: AbortSignal) => Promise<Result<LogPage, CallError>>
  /** Closes the client's connections. */
  close: () => Promise<void>
}
