/**
 * Structured logging to standard output, one JSON object per line. Writing
 * never blocks: one write is in progress at a time, and lines that exceed the
 * buffer or their event's rate limit are counted and dropped. Buffered lines are
 * lost if the process dies.
 */
import type { LogFields } from './logger.js'
import { write as writeFile } from 'node:fs'
import createDebug from 'debug'

/** Receives formatted lines. */
export interface LineWriter {
  write: (line: string) => void
}

/** File descriptor of standard output. */
const STANDARD_OUTPUT = 1
/**
 * Characters buffered during a write. Holds the lines of a burst, and limits the
 * memory used while the reader hangs.
 */
const MAX_BUFFER_LENGTH = 256 * 1024
const RATE_WINDOW_MS = 1000
/**
 * Lines per event and window. Covers the requests of a busy second, and limits
 * the CPU time spent on logging when many requests fail at once.
 */
const MAX_LINES_PER_WINDOW = 200

/** Writes lines to a file descriptor without blocking; drops lines that exceed the buffer. */
export class DescriptorWriter implements LineWriter {
  private pending = ''
  private writing = false
  private dropped = 0

  constructor(private readonly descriptor = STANDARD_OUTPUT, private readonly maxBufferLength = MAX_BUFFER_LENGTH) {}

  write(line: string): void {
    if (this.pending.length + line.length > this.maxBufferLength) {
      this.dropped++
      return
    }
    this.pending += `${line}\n`
    if (!this.writing)
      this.flush()
  }

  private flush(): void {
    if (this.dropped > 0) {
      this.pending += `${JSON.stringify({ event: 'log-lines-dropped', count: this.dropped })}\n`
      this.dropped = 0
    }
    const chunk = this.pending
    this.pending = ''
    this.writing = true
    this.writeBytes(Buffer.from(chunk))
  }

  private writeBytes(bytes: Buffer): void {
    writeFile(this.descriptor, bytes, (error, written) => {
      if (!error && written < bytes.length)
        return this.writeBytes(bytes.subarray(written))
      this.writing = false
      // Lines of a failed write are lost, since the failure cannot be logged elsewhere. The next line triggers another write.
      if (this.pending !== '' && !error)
        this.flush()
    })
  }
}

/** Monotonic time in milliseconds. */
function monotonicNow(): number {
  return performance.now()
}

interface EventRate {
  windowStart: number
  lines: number
  suppressed: number
}

/** Writes the events of one process; each event is rate-limited separately. */
export class EventLog {
  private readonly rates = new Map<string, EventRate>()
  /** Caches for each event whether its namespace is enabled. */
  private readonly enabled = new Map<string, boolean>()

  constructor(
    private readonly writer: LineWriter,
    private readonly common: LogFields,
    namespaces = 'eidermast:*',
    private readonly now = monotonicNow,
  ) {
    createDebug.enable(namespaces)
  }

  /** Writes one line, unless its event is disabled or exceeds its rate limit. */
  write(event: string, fields: LogFields = {}): void {
    if (!this.isEnabled(event) || !this.isWithinRateLimit(event))
      return
    this.writeLine(event, fields)
  }

  private writeLine(event: string, fields: LogFields): void {
    this.writer.write(JSON.stringify({ time: new Date().toISOString(), event, ...this.common, ...fields }))
  }

  private isEnabled(event: string): boolean {
    const known = this.enabled.get(event)
    if (known !== undefined)
      return known
    const decided = createDebug.enabled(`eidermast:${event}`)
    this.enabled.set(event, decided)
    return decided
  }

  private isWithinRateLimit(event: string): boolean {
    const rate = this.currentRate(event)
    if (rate.lines >= MAX_LINES_PER_WINDOW) {
      rate.suppressed++
      return false
    }
    rate.lines++
    return true
  }

  /** Returns the event's counters for the current window; logs how many lines the previous window suppressed. */
  private currentRate(event: string): EventRate {
    const now = this.now()
    const rate = this.rates.get(event) ?? { windowStart: now, lines: 0, suppressed: 0 }
    if (now - rate.windowStart >= RATE_WINDOW_MS) {
      if (rate.suppressed > 0)
        this.writeLine('log-rate-limited', { limited: event, count: rate.suppressed })
      Object.assign(rate, { windowStart: now, lines: 0, suppressed: 0 })
    }
    this.rates.set(event, rate)
    return rate
  }
}
