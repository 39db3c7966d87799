/**
 * Stand-in of the platform's append-only log: offsets, a limit on the rate of
 * appends and limited retention. Records live in memory and end with the
 * process.
 */
import type { LogFaults } from './faults.js'
import type { StandInCall, StandInService } from './http-service.js'
import { wait } from '@eidermast/common'
import * as z from 'zod'
import { logFaultsSchema, LogOutage } from './faults.js'
import { sendJson, startService } from './http-service.js'

/** Options of the log. */
export interface LogServiceOptions {
  /**
   * Milliseconds for which records are kept.
   * @default 86400000
   */
  retentionMs?: number
  /**
   * Clock of records and retention, in epoch milliseconds.
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

/** Milliseconds of a day, the retention that the users' platform gives. */
export const DAY_MS = 86_400_000

/** Turns milliseconds into seconds. */
const MILLISECONDS_PER_SECOND = 1000

/** Appends a second, from the users' brief; more are refused with 429. */
const APPENDS_PER_SECOND = 100

/** Appends that may come at once: what the rate gives in 0.2 s. One would refuse any two concurrent appends. */
const APPEND_BURST = 20

/** Milliseconds until a repeated append is stored again. Long enough for other records to come between. */
const REPEAT_AFTER_MS = 300

/** Records in one answer where the reader names no limit. */
const DEFAULT_READ_LIMIT = 1000

const RECORDS_PATH = /^\/streams\/([^/]+)\/records$/
const appendSchema = z.object({ records: z.array(z.unknown()).min(1) })

/** The log's state and its HTTP interface. */
export class LogService {
  private readonly streams = new Map<string, Stream>()
  private faults: LogFaults = logFaultsSchema.parse({})
  private readonly retentionMs: number
  private readonly now: () => number
  /** Appends that may still come at once. */
  private tokens = APPEND_BURST
  private refilledAt = performance.now()

  constructor(options: LogServiceOptions = {}) {
    this.retentionMs = options.retentionMs ?? DAY_MS
    this.now = options.now ?? Date.now
  }

  /** Starts listening. */
  start(): Promise<StandInService> {
    return startService(call => this.handle(call))
  }

  /** Sets the faults; those not named are off. */
  setFaults(faults: Partial<LogFaults>): void {
    this.faults = logFaultsSchema.parse(faults)
    for (const stream of this.streams.values())
      wakeAll(stream)
  }

  private async handle(call: StandInCall): Promise<void> {
    if (call.path === '/faults') {
      this.setFaults(JSON.parse(call.body) as Partial<LogFaults>)
      return sendJson(call.response, 200, this.faults)
    }
    const name = RECORDS_PATH.exec(call.path)?.[1]
    if (!name)
      return sendJson(call.response, 404, { message: 'no such path' })
    if (this.isOut(call))
      return
    if (this.faults.delayMs > 0)
      await wait(this.faults.delayMs)
    const stream = this.streamOf(name)
    if (call.method === 'POST')
      return this.append(stream, call)
    return this.read(stream, call)
  }

  /** Answers for a log that is out, if it is; while it hangs, no answer is sent. */
  private isOut(call: StandInCall): boolean {
    if (this.faults.outage === LogOutage.None)
      return false
    if (this.faults.outage === LogOutage.Refuse)
      sendJson(call.response, 503, { message: 'the log is out' })
    return true
  }

  private append(stream: Stream, call: StandInCall): void {
    const { records } = appendSchema.parse(JSON.parse(call.body))
    if (this.faults.refuseAppends || !this.takeToken())
      return sendJson(call.response, 429, { message: 'too many appends' })
    const offset = this.store(stream, records)
    if (this.faults.repeatAppends > 0) {
      this.faults.repeatAppends--
      setTimeout(() => this.store(stream, records), REPEAT_AFTER_MS)
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
    wakeAll(stream)
    return offset
  }

  private async read(stream: Stream, call: StandInCall): Promise<void> {
    const from = Number(call.query.get('from') ?? 0)
    const limit = Number(call.query.get('limit') ?? DEFAULT_READ_LIMIT)
    const waitMs = Number(call.query.get('waitMs') ?? 0)
    if (from >= stream.nextOffset && waitMs > 0)
      await waitForRecord(stream, waitMs)
    if (this.isOut(call))
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

  private streamOf(name: string): Stream {
    const existing = this.streams.get(name)
    if (existing)
      return existing
    const created: Stream = { records: [], firstOffset: 0, nextOffset: 0, waiters: new Set() }
    this.streams.set(name, created)
    return created
  }
}

function wakeAll(stream: Stream): void {
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
