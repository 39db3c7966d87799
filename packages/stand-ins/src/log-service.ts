/**
 * Stand-in for the platform's append-only log, with offsets, a rate limit on
 * appends and a retention period. Records are held in memory and lost with the
 * process.
 */
import type { LogFaults } from './faults.js'
import type { StandInCall, StandInService } from './http-service.js'
import { wait } from '@eidermast/common'
import * as z from 'zod'
import { logFaultsSchema, LogOutage } from './faults.js'
import { sendJson, startService } from './http-service.js'

/** Options for the log. */
export interface LogServiceOptions {
  /**
   * Retention period in milliseconds.
   * @default 86400000
   */
  retentionMs?: number
  /**
   * Clock for record timestamps and retention, in epoch milliseconds.
   * @default Date.now
   */
  now?: () => number
}

interface StoredRecord {
  offset: number
  time: number
  value: unknown
}

interface Stream {
  records: StoredRecord[]
  firstOffset: number
  nextOffset: number
  waiters: Set<() => void>
}

/** Retention period of the users' platform. */
export const DAY_MS = 86_400_000

const MILLISECONDS_PER_SECOND = 1000

/** Rate limit, as the users' platform specifies it; appends above it are rejected with 429. */
const APPENDS_PER_SECOND = 100

/** Bucket size of the rate limit: 0.2 s at the full rate. More than 1, so that concurrent appends are not rejected. */
const APPEND_BURST = 20

/** Delay before a repeated append is stored again; long enough for other records to be stored in between. */
const REPEATED_APPEND_DELAY_MS = 300

/** Maximum number of records per read, unless the reader sets a limit. */
const DEFAULT_READ_LIMIT = 1000

const RECORDS_PATH = /^\/streams\/([^/]+)\/records$/
const appendSchema = z.object({ records: z.array(z.unknown()).min(1) })

/** State and HTTP interface of the log. */
export class LogService {
  private readonly streams = new Map<string, Stream>()
  private faults: LogFaults = logFaultsSchema.parse({})
  private readonly retentionMs: number
  private readonly now: () => number
  /** Tokens left in the bucket of the rate limit. */
  private tokens = APPEND_BURST
  private refilledAt = performance.now()

  constructor(options: LogServiceOptions = {}) {
    this.retentionMs = options.retentionMs ?? DAY_MS
    this.now = options.now ?? Date.now
  }

  start(): Promise<StandInService> {
    return startService(call => this.handle(call))
  }

  /** Sets the faults; omitted ones are turned off. */
  setFaults(faults: Partial<LogFaults>): void {
    this.faults = logFaultsSchema.parse(faults)
    for (const stream of this.streams.values())
      notifyWaiters(stream)
  }

  private async handle(call: StandInCall): Promise<void> {
    if (call.path === '/faults') {
      this.setFaults(JSON.parse(call.body) as Partial<LogFaults>)
      return sendJson(call.response, 200, this.faults)
    }
    const name = RECORDS_PATH.exec(call.path)?.[1]
    if (!name)
      return sendJson(call.response, 404, { message: 'no such path' })
    if (this.handleOutage(call))
      return
    if (this.faults.delayMs > 0)
      await wait(this.faults.delayMs)
    const stream = this.getOrCreateStream(name)
    if (call.method === 'POST')
      return this.append(stream, call)
    return this.read(stream, call)
  }

  /** Returns whether the log is unavailable; in that case the call is answered with 503, or not at all if the log hangs. */
  private handleOutage(call: StandInCall): boolean {
    if (this.faults.outage === LogOutage.None)
      return false
    if (this.faults.outage === LogOutage.Refuse)
      sendJson(call.response, 503, { message: 'the log is unavailable' })
    return true
  }

  private append(stream: Stream, call: StandInCall): void {
    const { records } = appendSchema.parse(JSON.parse(call.body))
    if (this.faults.refuseAppends || !this.takeToken())
      return sendJson(call.response, 429, { message: 'too many appends' })
    const offset = this.store(stream, records)
    if (this.faults.repeatAppends > 0) {
      this.faults.repeatAppends--
      setTimeout(() => this.store(stream, records), REPEATED_APPEND_DELAY_MS)
    }
    if (this.faults.dropAcknowledgements > 0) {
      this.faults.dropAcknowledgements--
      call.response.destroy()
      return
    }
    sendJson(call.response, 200, { offset })
  }

  private store(stream: Stream, values: unknown[]): number {
    const offset = stream.nextOffset
    for (const value of values)
      stream.records.push({ offset: stream.nextOffset++, time: this.now(), value })
    notifyWaiters(stream)
    return offset
  }

  private async read(stream: Stream, call: StandInCall): Promise<void> {
    const from = Number(call.query.get('from') ?? 0)
    const limit = Number(call.query.get('limit') ?? DEFAULT_READ_LIMIT)
    const waitMs = Number(call.query.get('waitMs') ?? 0)
    if (from >= stream.nextOffset && waitMs > 0)
      await waitForRecord(stream, waitMs)
    if (this.handleOutage(call))
      return
    this.trim(stream)
    const start = Math.max(0, from - stream.firstOffset)
    const records = stream.records.slice(start, start + limit)
    sendJson(call.response, 200, { records, firstOffset: stream.firstOffset, nextOffset: stream.nextOffset })
  }

  private trim(stream: Stream): void {
    const oldest = this.now() - this.retentionMs
    const kept = stream.records.findIndex(record => record.time >= oldest)
    const dropped = kept < 0 ? stream.records.length : kept
    stream.records.splice(0, dropped)
    stream.firstOffset += dropped
  }

  private takeToken(): boolean {
    const now = performance.now()
    const refill = ((now - this.refilledAt) / MILLISECONDS_PER_SECOND) * APPENDS_PER_SECOND
    this.tokens = Math.min(APPEND_BURST, this.tokens + refill)
    this.refilledAt = now
    if (this.tokens < 1)
      return false
    this.tokens--
    return true
  }

  private getOrCreateStream(name: string): Stream {
    const existing = this.streams.get(name)
    if (existing)
      return existing
    const created: Stream = { records: [], firstOffset: 0, nextOffset: 0, waiters: new Set() }
    this.streams.set(name, created)
    return created
  }
}

function notifyWaiters(stream: Stream): void {
  for (const wake of stream.waiters)
    wake()
}

function waitForRecord(stream: Stream, milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    const wake = (): void => {
      clearTimeout(timer)
      stream.waiters.delete(wake)
      resolve()
    }
    const timer = setTimeout(wake, milliseconds)
    stream.waiters.add(wake)
  })
}
