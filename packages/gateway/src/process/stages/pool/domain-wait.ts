/**
 * Decides whether a task runs at an idle backend server now or waits for one in
 * a failure domain that fewer of its bytes have to cross.
 *
 * Inputs: bytes of the task's inputs and results by failure domain; expected
 * start and call time of every backend server of the pool (ms, from the calls
 * under way and the measured speed, at most one call old); time left to the
 * target (ms).
 * Rule: wait where another usable backend server would cost fewer crossing
 * bytes and its end would be later by less than the bytes saved are worth,
 * never longer than MAX_DOMAIN_WAIT_MS and never into TARGET_MARGIN_MS before
 * the target.
 * Why: crossing bytes are paid by everybody, a delay by one request. A least
 * cost of waiting and bytes and a shorter wait of 120 ms gained nothing.
 * Log event: `stage-call` (failureDomain of the backend server that ran it).
 */
import type { StageTask } from '../../../request/stages/stage-task.js'
import type { BackendForecast, CallForecasts } from './call-forecasts.js'

/**
 * Longest wait for a better failure domain, in milliseconds. 200 ms and 120 ms
 * were taken back in cb069cb: within the spread.
 */
const MAX_DOMAIN_WAIT_MS = 400
/**
 * Time kept before the target, in milliseconds. Half of it risks targets to
 * save bytes, twice as much crosses domains more often.
 */
const TARGET_MARGIN_MS = 150
/**
 * Bytes to another failure domain that weigh as much as one millisecond of
 * waiting. Half of it waits twice as long for the same bytes.
 */
const CROSS_DOMAIN_BYTES_PER_MS = 4000
/** A cost below this is not worth a wait, in milliseconds. A timer's resolution. */
const MIN_CROSS_DOMAIN_COST_MS = 1

/**
 * The failure domain that a task waits for, rather than run at an idle backend
 * server; undefined where it runs there. `others` may include that one.
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

/** Milliseconds of waiting that the bytes to other failure domains are worth, if the task's items run in this one. */
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
