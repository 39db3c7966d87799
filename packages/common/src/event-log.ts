/**
 * Structured logging, one JSON object per line. Lines that exceed the rate limit
 * of their event are counted and dropped.
 */
import type { LineWriter } from './descriptor-writer.js'
import type { LogFields } from './logger.js'
import createDebug from 'debug'

const RATE_WINDOW_MS = 1000
/**
 * Lines per event and window. Covers the requests of a busy second, and limits
 * the CPU time spent on logging when many requests fail at once.
 */
const MAX_LINES_PER_WINDOW = 200

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
