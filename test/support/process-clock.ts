/**
 * A monotonic clock that leaves out the time in which the test's process should
 * have run but got no processor time, as on a machine that runs more than it has
 * processors for. Time in which the process computes counts, so code that blocks
 * the event loop shows.
 */
import { readFileSync } from 'node:fs'

const TICK_MS = 5
/** Ticks that are later by this are pauses; timers are late by some milliseconds anyway. */
const MIN_PAUSE_MS = 20
/** Its first figure is the processor time of the main thread, in nanoseconds. */
const USAGE_FILE = '/proc/self/schedstat'
const NANOSECONDS_PER_MILLISECOND = 1_000_000

/** Processor time that the main thread has used, in milliseconds. */
function usedMs(): number {
  const [nanoseconds] = readFileSync(USAGE_FILE, 'utf8').split(' ')
  return Number(nanoseconds) / NANOSECONDS_PER_MILLISECOND
}

/** The clock; runs until it is stopped. */
export class ProcessClock {
  private pausedMs = 0
  private tickedAt = performance.now()
  private usedAtTick = usedMs()
  private readonly timer = setInterval(() => this.tick(), TICK_MS)

  /** Milliseconds. */
  now(): number {
    this.tick()
    return this.tickedAt - this.pausedMs
  }

  stop(): void {
    clearInterval(this.timer)
  }

  private tick(): void {
    const [now, used] = [performance.now(), usedMs()]
    const lateMs = now - this.tickedAt - TICK_MS
    if (lateMs >= MIN_PAUSE_MS)
      this.pausedMs += Math.max(0, lateMs - (used - this.usedAtTick))
    this.tickedAt = now
    this.usedAtTick = used
  }
}
