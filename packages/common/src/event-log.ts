/**
 * Structured log lines on standard output: one JSON object a line. Writing
 * never blocks: one write is under way at a time, and lines that exceed the
 * buffer or the rate of their event are counted and left out.
 */
import { write as writeFile } from 'node:fs'
import createDebug from 'debug'

/** A value that a log field may hold. */
export type EventValue = string | number | boolean | undefined

/** The fields of one line. */
export interface EventFields {
  [field: string]: EventValue
}

/** Takes finished lines. */
export interface LineWriter {
  write: (line: string) => void
}

const STANDARD_OUTPUT = 1
const LARGEST_BUFFER_BYTES = 1 << 18
const RATE_WINDOW_MS = 1000
const MOST_LINES_A_WINDOW = 200

/** Writes lines to a file descriptor without blocking; drops what exceeds its buffer. */
export class DescriptorWriter implements LineWriter {
  private pending = ''
  private writing = false
  private dropped = 0

  constructor(private readonly descriptor = STANDARD_OUTPUT, private readonly largestBuffer = LARGEST_BUFFER_BYTES) {}

  write(line: string): void {
    if (this.pending.length + line.length > this.largestBuffer) {
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
      if (this.pending !== '' && !error)
        this.flush()
    })
  }
}

interface EventRate {
  windowStart: number
  lines: number
  suppressed: number
}

/** Writes events of one process; each event has a rate of its own. */
export class EventLog {
  private readonly rates = new Map<string, EventRate>()
  private readonly enabled: (event: string) => boolean

  constructor(
    private readonly writer: LineWriter,
    private readonly common: EventFields,
    namespaces = 'eidermast:*',
    private readonly now: () => number = () => performance.now(),
  ) {
    createDebug.enable(namespaces)
    const known = new Map<string, boolean>()
    this.enabled = (event) => {
      const existing = known.get(event)
      if (existing !== undefined)
        return existing
      const decided = createDebug.enabled(`eidermast:${event}`)
      known.set(event, decided)
      return decided
    }
  }

  /** Writes one line, unless its event is switched off or over its rate. */
  write(event: string, fields: EventFields = {}): void {
    if (!this.enabled(event) || !this.withinRate(event))
      return
    this.writeLine(event, fields)
  }

  private writeLine(event: string, fields: EventFields): void {
    this.writer.write(JSON.stringify({ time: new Date().toISOString(), event, ...this.common, ...fields }))
  }

  private withinRate(event: string): boolean {
    const now = this.now()
    const rate = this.rates.get(event) ?? { windowStart: now, lines: 0, suppressed: 0 }
    this.rates.set(event, rate)
    if (now - rate.windowStart >= RATE_WINDOW_MS) {
      if (rate.suppressed > 0)
        this.writeLine('log-rate-limited', { limited: event, count: rate.suppressed })
      rate.windowStart = now
      rate.lines = 0
      rate.suppressed = 0
    }
    if (rate.lines >= MOST_LINES_A_WINDOW) {
      rate.suppressed++
      return false
    }
    rate.lines++
    return true
  }
}
