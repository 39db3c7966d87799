/**
 * Stand-in of the platform's append-only log: offsets, a rate limit, limited
 * retention, and faults set over HTTP.
 */
import type { StandInCall, StandInService } from './http-service.js'
import { z } from 'zod'
import { delay, sendJson, startService } from './http-service.js'

/** How the log fails while it is out. */
export enum LogOutage {
  None = 'none',
  /** Answers 503 to everything. */
  Refuse = 'refuse',
  /** Answers nothing. */
  Hang = 'hang',
}

const faultsSchema = z.strictObject({
  outage: z.enum(LogOutage).default(LogOutage.None),
  /** Added to every answer, in milliseconds. */
  delayMs: z.number().min(0).default(0),
  /** Appends whose acknowledgement is lost after the append. */
  dropAcknowledgements: z.int().min(0).default(0),
  /** Appends that are taken a second time, a while later. */
  repeatAppends: z.int().min(0).default(0),
  /** Whether every append is refused for its rate. */
  refuseAppends: z.boolean().default(false),
})

/** Faults of the log. */
export type LogFaults = z.infer<typeof faultsSchema>

/** Options of the log. */
export interface LogServiceOptions {
  /**
   * Milliseconds for which records are kept.
   * @default 86400000
   */
  retentionMs?: number
  /**
   * Appends a second.
   * @default 100
   */
  appendsPerSecond?: number
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

const DAY_MS = 86_400_000
const BURST_SECONDS = 0.2
const REPEAT_AFTER_MS = 300
const RECORDS_PATH = /^\/streams\/([^/]+)\/records$/
const appendSchema = z.object({ records: z.array(z.unknown()).min(1) })

/** The log's state and its HTTP interface. */
export class LogService {
  private readonly streams = new Map<string, Stream>()
  private faults: LogFaults = faultsSchema.parse({})
  private readonly retentionMs: number
  private readonly appendsPerSecond: number
  private readonly now: () => number
  private tokens: number
  private refilledAt = performance.now()

  constructor(options: LogServiceOptions = {}) {
    this.retentionMs = options.retentionMs ?? DAY_MS
    this.appendsPerSecond = options.appendsPerSecond ?? 100
    this.now = options.now ?? Date.now
    this.tokens = this.appendsPerSecond * BURST_SECONDS
  }

  /** Starts listening. */
  start(): Promise<StandInService> {
    return startService(call => this.handle(call))
  }

  /** Sets the faults; those not named are off. */
  setFaults(faults: Partial<LogFaults>): void {
    this.faults = faultsSchema.parse(faults)
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
    if (await this.isOut(call))
      return
    if (this.faults.delayMs > 0)
      await delay(this.faults.delayMs)
    const stream = this.streamOf(name)
    if (call.method === 'POST')
      return this.append(stream, call)
    return this.read(stream, call)
  }

  private async isOut(call: StandInCall): Promise<boolean> {
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
    const limit = Number(call.query.get('limit') ?? 1000)
    const waitMs = Number(call.query.get('waitMs') ?? 0)
    if (from >= stream.nextOffset && waitMs > 0)
      await waitForRecord(stream, waitMs)
    if (await this.isOut(call))
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
    const refill = ((now - this.refilledAt) / 1000) * this.appendsPerSecond
    this.tokens = Math.min(this.appendsPerSecond * BURST_SECONDS, this.tokens + refill)
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
