/**
 * Reports calls that wait for a connection and start, to metrics and log. It
 * owns nothing.
 */
import type { CallStart, CallWatch } from '../connection/backends/work-call.js'
import type { GatewayLog } from './gateway-log.js'
import type { GatewayMetrics } from './gateway-metrics.js'

/**
 * Milliseconds; a call that waits longer for its first byte is logged. Well
 * above a new connection's time, well below the two seconds after which a
 * leaving backend server may get nothing more.
 */
const LATE_CALL_MS = 300

/** Counts calls, and logs those that start late or not at all. */
export class CallReports implements CallWatch {
  constructor(private readonly metrics: GatewayMetrics, private readonly log: GatewayLog) {}

  waitingChanged(difference: 1 | -1): void {
    this.metrics.countWaitingCalls(difference)
  }

  started(start: CallStart): void {
    this.metrics.countCallStart(start.waitedMs)
    if (start.waitedMs >= LATE_CALL_MS)
      this.log.workSentLate(start)
  }

  turnedAway(start: CallStart): void {
    this.metrics.countTurnedAway()
    this.log.workTurnedAway(start)
  }
}
