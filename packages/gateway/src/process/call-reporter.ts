/**
 * Reports the connection wait of calls, and connections that they avoid, to metrics and log. Stateless.
 */
import type { CallObserver, CallStart } from '../connection/backends/work-call.js'
import type { GatewayLog } from './gateway-log.js'
import type { GatewayMetrics } from './gateway-metrics.js'

/**
 * Wait for a connection, in milliseconds, above which a call is logged. Well
 * above the time to open a connection, and well below the two seconds for which a
 * leaving backend server may still get work.
 */
const LATE_CALL_THRESHOLD_MS = 300

/** Counts calls and logs those that are delayed or rejected. */
export class CallReporter implements CallObserver {
  constructor(private readonly metrics: GatewayMetrics, private readonly log: GatewayLog) {}

  waitingChanged(difference: 1 | -1): void {
    this.metrics.countWaitingCalls(difference)
  }

  started(start: CallStart): void {
    this.metrics.countCallStart(start.waitedMs)
    if (start.waitedMs >= LATE_CALL_THRESHOLD_MS)
      this.log.workSentLate(start)
  }

  rejected(start: CallStart): void {
    this.metrics.countRejectedCall()
    this.log.workRejected(start)
  }

  connectionAvoided(start: CallStart): void {
    this.metrics.countAvoidedConnection()
    this.log.connectionAvoided(start)
  }
}
