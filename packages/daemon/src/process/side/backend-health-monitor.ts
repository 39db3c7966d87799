/**
 * Monitors the health of one backend server by polling its load. Owns the last
 * report for the lifetime of this process; a new process polls again.
 *
 * Decides when a backend server counts as down and when as restarted. Input: its
 * responses to load requests, one per `load-interval-ms`. Rule: down after
 * MAX_MISSED_POLLS consecutive requests without a response, up at the next
 * response; restarted if it reports another process incarnation than before.
 * While it does not respond, its last draining status remains valid. Why a
 * single miss is not enough: one late response on a loaded VM does not mean that
 * the backend server is down.
 * Log events: `backend-down` (error), `backend-up`, `backend-restarted` (instance).
 */
import type { Result } from 'ts-results-es'
import type { BackendClient, BackendLoad } from '../../connection/backend-client.js'
import type { CallError } from '../../version/call-error.js'
import { createLogger, wait } from '@eidermast/common'

const log = createLogger('process')

/**
 * Consecutive load requests without a response. One late response must not take a
 * backend server out of service; in return, calls are sent to a dead one for up to
 * 750 ms at the default interval, plus the timeouts of the requests.
 */
const MAX_MISSED_POLLS = 3

/** Options of the monitor. */
export interface BackendHealthMonitorOptions {
  backendName: string
  backend: BackendClient
  /** Interval between load requests. */
  intervalMs: number
  /** Called after each load request, whether it succeeded or failed. */
  onPoll: () => void
  /** Called when the backend server has restarted; its new process has no model loaded. */
  onRestart: () => void
}

/** Monitors the health of one backend server. */
export class BackendHealthMonitor {
  /** Whether the backend server last reported that it is draining. */
  draining = false
  /** Process incarnation of the backend server; undefined until it reports one. */
  instance: string | undefined
  private missedPolls = 0

  constructor(private readonly options: BackendHealthMonitorOptions) {}

  /** Whether the backend server counts as unresponsive. */
  get down(): boolean {
    return this.missedPolls >= MAX_MISSED_POLLS
  }

  /** Polls the load until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.recordPoll(await this.options.backend.readLoad())
      this.options.onPoll()
      await wait(this.options.intervalMs, signal)
    }
  }

  private recordPoll(load: Result<BackendLoad, CallError>): void {
    const wasDown = this.down
    this.missedPolls = load.isOk() ? 0 : this.missedPolls + 1
    const error = load.isErr() ? load.error.message : undefined
    if (this.down !== wasDown)
      log(this.down ? 'backend-down' : 'backend-up', { name: this.options.backendName, error })
    if (load.isErr())
      return
    this.draining = load.value.draining
    this.updateInstance(load.value.instance)
  }

  private updateInstance(instance: string): void {
    if (instance === this.instance)
      return
    const restarted = this.instance !== undefined
    this.instance = instance
    if (!restarted)
      return
    log('backend-restarted', { name: this.options.backendName, instance })
    this.options.onRestart()
  }
}
