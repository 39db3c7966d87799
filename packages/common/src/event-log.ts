/**
 * Structured log lines on standard output: one JSON object a line. Writing
 * never blocks: one write is under way at a time, and lines that exceed the
 * buffer or the rate of their event are counted and dropped. It owns the lines
 * that wait to be written; they are lost when the process dies.
 */
import type { LogFields } from './logger.js'
import { write as writeFile } from 'node:fs'
import createDebug from 'debug'

/** Takes finished lines. */
export interface LineWriter {
  write: (line: string) => void
}

/** File descriptor of standard output. */
const STANDARD_OUTPUT = 1
/**
 * Characters that wait while a write is under way. Half of it drops lines of a
 * burst, twice as much is memory for a reader that hangs.
 */
const MAX_BUFFER_LENGTH = 256 * 1024
/** Milliseconds over which the lines of an event are counted. */
const RATE_WINDOW_MS = 1000
/**
 * Lines of one event in a window. Half of it hides requests of a busy second,
 * twice as much costs processor time in a storm of failures.
 */
const MAX_LINES_PER_WINDOW = 200

/** Writes lines to a file descriptor without blocking; drops what exceeds its buffer. */
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
    this.writeRest(Buffer.from(chunk))
  }

  private writeRest(bytes: Buffer): void {
    writeFile(this.descriptor, bytes, (error, written) => {
      if (!error && written < bytes.length)
        return this.writeRest(bytes.subarray(written))
      this.writing = false
      // Lines whose write failed are lost: there is no other place to say so. The next line tries again.
      if (this.pending !== '' && !error)
        this.flush()
    })
  }
}

/** Milliseconds of the process clock. */
function readProcessClock(): number {
  return performance.now()
}

interface EventRate {
  windowStart: number
  lines: number
  suppressed: number
}

/** Writes events of one process; each event has a rate of its own. */
export class EventLog {
  private readonly rates = new Map<string, EventRate>()
  /** Events that were asked for, and whether they are written. */
  private readonly enabled = new Map<string, boolean>()

  constructor(
    private readonly writer: LineWriter,
    private readonly common: LogFields,
    namespaces = 'eidermast:*',
    private readonly now = readProcessClock,
  ) {
    createDebug.enable(namespaces)
  }

  /** Writes one line, unless its event is switched off or over its rate. */
  write(event: string, fields: LogFields = {}): void {
    if (!this.isEnabled(event) || !this.withinRate(event))
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

  private withinRate(event: string): boolean {
    const rate = this.currentRate(event)
    if (rate.lines >= MAX_LINES_PER_WINDOW) {
      rate.suppressed++
      return false
    }
    rate.lines++
    return true
  }

  /** The event's rate in the current window; reports what the last window suppressed. */
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
