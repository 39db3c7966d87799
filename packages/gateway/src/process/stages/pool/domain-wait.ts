/**
 * Decides whether a task runs on an idle backend server now or waits for one
 * in a failure domain with less cross-domain traffic for this task.
 *
 * Inputs: bytes of the task's inputs and results by failure domain; expected
 * start and duration of a call on every backend server of the pool (ms, from the
 * calls in progress and the measured speed, at most one call old); time left to
 * the target (ms).
 * Rule: wait if another usable backend server would need fewer cross-domain
 * bytes and the later end costs less than the bytes saved are worth, but never
 * longer than MAX_DOMAIN_WAIT_MS and never into the last TARGET_MARGIN_MS before
 * the target.
 * Why: cross-domain traffic is a cost to all requests, a delay to one only.
 * Minimising the sum of waiting time and bytes, and a wait of at most 120 ms,
 * gained nothing.
 * Log event: `stage-call` (failureDomain of the backend server that ran it).
 */
import type { StageTask } from '../../../request/stages/stage-task.js'
import type { BackendForecast, CallForecasts } from './call-forecasts.js'

/** Longest wait for a better failure domain; limits the delay of a task. Limits of 200 ms and 120 ms make no significant difference. */
const MAX_DOMAIN_WAIT_MS = 400
/**
 * Time kept free before the target. Protects the target, at the cost of more
 * cross-domain traffic.
 */
const TARGET_MARGIN_MS = 150
/**
 * Cross-domain bytes that cost as much as one millisecond of waiting. The wait
 * that is accepted to save some bytes is inversely proportional to it.
 */
const CROSS_DOMAIN_BYTES_PER_MS = 4000
/** Lower costs are not worth a wait; this is the resolution of timers. */
const MIN_CROSS_DOMAIN_COST_MS = 1

/**
 * The failure domain that a task should wait for instead of running on an idle
 * backend server; undefined if it should run there. `others` may include the
 * idle one.
 */
export function findBetterDomain(
  task: StageTask,
  idle: BackendForecast,
  others: CallForecasts,
  now: number,
): string | undefined {
  const costMs = crossDomainCostMs(task, idle.failureDomain)
  if (costMs < MIN_CROSS_DOMAIN_COST_MS)
    return undefined
  const callMs = idle.expectedCallMs(task.items)
  const slackMs = task.targetAt - now - callMs - task.remainingMs - TARGET_MARGIN_MS
  const maxDelayMs = Math.min(MAX_DOMAIN_WAIT_MS, costMs, slackMs)
  return others.find((failureDomain, startsInMs, forecast) => {
    const delayMs = startsInMs + forecast.expectedCallMs(task.items) - callMs
    return delayMs < maxDelayMs && crossDomainCostMs(task, failureDomain) < costMs
  })
}

/** Cost of the cross-domain bytes, in milliseconds of waiting, if the items of a task run in a failure domain. */
function crossDomainCostMs(task: StageTask, failureDomain: string): number {
  let bytes = 0
  for (const input of task.inputs) {
    if (input.holder.failureDomain !== failureDomain)
      bytes += input.bytes
  }
  if (task.readerDomain !== undefined && task.readerDomain !== failureDomain)
    bytes += task.resultBytes
  return task.items * bytes / CROSS_DOMAIN_BYTES_PER_MS
}
