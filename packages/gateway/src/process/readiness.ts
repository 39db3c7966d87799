/**
 * Decides whether this gateway reports itself ready. The platform's load
 * balancer sends new connections only to ready gateways.
 *
 * Inputs: whether this process is stopping, the configuration version in
 * force (0 for none), and the number of known backend servers; all as of now.
 * Rule: ready while not stopping, with a configuration and at least one known
 * backend server of any service.
 * Why: this is the minimum for serving any request. A stricter rule, such as one
 * backend server per service, would make all gateways unready together when a
 * single service fails.
 * Log event: `readiness`, on each change.
 */
import type { GatewayLog } from './gateway-log.js'

/** Inputs of the readiness decision. */
export interface ReadinessInputs {
  stopping: boolean
  /** Configuration version in force; 0 for none. */
  configurationVersion: number
  /** Number of known backend servers. */
  backends: number
}

function isReady({ stopping, configurationVersion, backends }: ReadinessInputs): boolean {
  return !stopping && configurationVersion > 0 && backends > 0
}

/** Answers the load balancer's checks and logs changes. The last result is kept in memory. */
export class Readiness {
  private lastResult = false

  constructor(private readonly log: GatewayLog) {}

  check(inputs: ReadinessInputs): boolean {
    const ready = isReady(inputs)
    if (ready !== this.lastResult)
      this.log.readinessChanged(ready, inputs.configurationVersion, inputs.backends)
    this.lastResult = ready
    return ready
  }
}
