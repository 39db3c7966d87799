/**
 * Decides whether a new connection of a client is closed before its request is
 * read, because this process gets more work than it can do.
 *
 * Inputs: for how long the event loop has had work without a pause, as seen from
 * one new connection to the next, and the time since a connection was last kept
 * (ms, as of now).
 * Rule: a connection is closed once there was no pause for MAX_BUSY_MS, but one is
 * kept every MAX_CLOSED_MS. Until the next pause, answers ask clients to close
 * their connections as well.
 * Why: every request that an overloaded process reads delays all others, until
 * none is answered in time. A request that was not read may be sent to another
 * gateway at once, whatever it is. A refusal would take time that is missing, and
 * would make the client wait although other gateways have room. Taking this
 * gateway out of the load balancer takes seconds, and one that is back in gets
 * everything again. One long task is no overload: connections are only seen
 * before and after it.
 * Log event: `connections-closed`.
 *
 * State: the current period without a pause, in memory.
 */
import type { EventLog } from '@eidermast/common'
import { performance } from 'node:perf_hooks'

/** Short against the time for which clients wait until their request is read, which is a second. */
const MAX_BUSY_MS = 300
/** Lets some clients in, even if open connections alone keep the process busy. */
const MAX_CLOSED_MS = 500
/** Minimum interval between two log lines. */
const LOG_INTERVAL_MS = 1000

/** Counts connections that were closed; implemented by the process's metrics. */
export interface IntakeMetrics {
  countConnectionClosed: () => void
}

/** Readings that the decision depends on, in milliseconds. */
export interface LoopReadings {
  now: number
  /** Total time for which the event loop has waited for work since the process started. */
  idleMs: number
}

/** What the intake works with. */
export interface ConnectionIntakeDependencies {
  metrics: IntakeMetrics
  log: EventLog
  /** @default reads the event loop of this process */
  read?: () => LoopReadings
}

/** Keeps or closes connections as they arrive. */
export class ConnectionIntake {
  private last: LoopReadings
  /** Start of the current period without a pause. */
  private busySince: number
  private keptAt: number
  private closing = false
  private loggedAt = Number.NEGATIVE_INFINITY
  /** Connections that were closed since the last log line. */
  private unloggedCount = 0
  private readonly read: () => LoopReadings

  constructor(private readonly dependencies: ConnectionIntakeDependencies) {
    this.read = dependencies.read ?? readLoop
    this.last = this.read()
    this.busySince = this.last.now
    this.keptAt = this.last.now
  }

  /** Whether connections have been closed since the last pause. */
  get isClosing(): boolean {
    return this.closing
  }

  /** Whether a connection that has just arrived is kept. */
  keepsNext(): boolean {
    const busyMs = this.updateBusyMs()
    const { now } = this.last
    const isOverloaded = busyMs >= MAX_BUSY_MS
    if (isOverloaded && now - this.keptAt < MAX_CLOSED_MS) {
      this.closing = true
      this.reportClosed(busyMs)
      return false
    }
    this.closing &&= isOverloaded
    this.keptAt = now
    return true
  }

  private updateBusyMs(): number {
    const readings = this.read()
    if (readings.idleMs !== this.last.idleMs)
      this.busySince = readings.now
    this.last = readings
    return readings.now - this.busySince
  }

  private reportClosed(busyMs: number): void {
    const { metrics, log } = this.dependencies
    metrics.countConnectionClosed()
    this.unloggedCount++
    if (this.last.now - this.loggedAt < LOG_INTERVAL_MS)
      return
    log.write('connections-closed', { closed: this.unloggedCount, busyMs: Math.round(busyMs) })
    this.loggedAt = this.last.now
    this.unloggedCount = 0
  }
}

function readLoop(): LoopReadings {
  return { now: performance.now(), idleMs: performance.nodeTiming.idleTime }
}
