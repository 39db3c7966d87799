/**
 * Decides whether this gateway says that it is ready, for the platform's
 * balancer, which sends new connections to ready gateways only.
 *
 * Inputs: whether this process is stopping, the configuration version in
 * force (0 for none), and the number of backend servers known; all as of now.
 * Rule: ready while it is not stopping, has a configuration and knows at least
 * one backend server of any service.
 * Why: the least with which any request can be served. A stricter rule, such as
 * a backend server for each service, would take all gateways out together when one
 * service fails.
 * Log event: `readiness`, at each change.
 */
import type { GatewayLog } from './gateway-log.js'

/** What the decision is made from, as of now. */
export interface ReadinessInputs {
  stopping: boolean
  /** Configuration version in force; 0 for none. */
  configurationVersion: number
  /** Backend servers known. */
  backends: number
}

/** Whether a gateway in this state is ready. */
function isReady({ stopping, configurationVersion, backends }: ReadinessInputs): boolean {
  return !stopping && configurationVersion > 0 && backends > 0
}

/** Answers the balancer's checks and logs changes; the last answer is kept in memory only. */
export class Readiness {
  private last = false

  constructor(private readonly log: GatewayLog) {}

  check(inputs: ReadinessInputs): boolean {
    const ready = isReady(inputs)
    if (ready !== this.last)
      this.log.readinessChanged(ready, inputs.configurationVersion, inputs.backends)
    this.last = ready
    return ready
  }
}
