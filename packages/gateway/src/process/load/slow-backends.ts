/**
 * Counts backend servers that are much slower than their service, for the metrics.
 * Stateless.
 */
import type { Backend } from '../../connection/backends/backend.js'
import type { LoadEstimator } from '../../request/load/load-estimator.js'

/** Multiple of the median of the service. */
const SLOW_FACTOR = 2

/** Number of backend servers of all services that are slow; 0 if no speed is estimated. */
export function countSlowBackends(backends: Iterable<Backend>, estimator: Pick<LoadEstimator, 'estimate' | 'promptSlowdown'>, now: number): number {
  const times = new Map<string, number[]>()
  let slow = 0
  for (const backend of backends) {
    const { serviceMs } = estimator.estimate(backend, now)
    if (serviceMs === undefined)
      slow += estimator.promptSlowdown(backend, now) > SLOW_FACTOR ? 1 : 0
    else
      times.set(backend.service, [...times.get(backend.service) ?? [], serviceMs])
  }
  for (const serviceTimes of times.values()) {
    const medianMs = serviceTimes.toSorted((left, right) => left - right)[Math.floor((serviceTimes.length - 1) / 2)]
    slow += serviceTimes.filter(timeMs => timeMs > SLOW_FACTOR * medianMs).length
  }
  return slow
}
