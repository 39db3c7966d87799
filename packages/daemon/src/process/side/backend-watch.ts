/**
 * Watches one backend server by its load reports. Owns what it last said, for
 * the life of this process: another process asks again.
 *
 * Decides when a backend server counts as down and when as restarted. Inputs:
 * its answers to load requests, one each `load-interval-ms`. Rule: down after
 * MAX_MISSED_READINGS in a row without an answer, up at the next answer;
 * restarted when it reports another process life than before. While it does
 * not answer, its last report on draining stays in force. Why not one miss: one
 * late answer on a loaded VM is no sign that it is gone.
 * Log events: `backend-down` (error), `backend-up`, `backend-restarted` (instance).
 */
import type { Result } from 'ts-results-es'
import type { BackendClient, BackendLoad } from '../../connection/backend-client.js'
import type { CallError } from '../../version/call-error.js'
import { createLogger, wait } from '@eidermast/common'

const log = createLogger('process')

/**
 * Load readings in a row without an answer. Half would take a
 * backend server out for one late answer, twice would leave calls to a dead one
 * for 750 ms more at the default interval.
 */
const MAX_MISSED_READINGS = 3

/** Options of the watch. */
export interface BackendWatchOptions {
  backendName: string
  backend: BackendClient
  /** Milliseconds between load requests. */
  intervalMs: number
  /** Called after each answer, and after each time without one. */
  onReading: () => void
  /** Called when the backend server is another process life, which holds no model. */
  onRestart: () => void
}

/** Watches one backend server. */
export class BackendWatch {
  /** Whether the backend server last reported that it leaves. */
  draining = false
  /** The backend server's process life, once it reported one. */
  instance: string | undefined
  private missedReadings = 0

  constructor(private readonly options: BackendWatchOptions) {}

  /** Whether the backend server does not answer. */
  get down(): boolean {
    return this.missedReadings >= MAX_MISSED_READINGS
  }

  /** Asks for the load until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.note(await this.options.backend.readLoad())
      this.options.onReading()
      await wait(this.options.intervalMs, signal)
    }
  }

  private note(load: Result<BackendLoad, CallError>): void {
    const wasDown = this.down
    this.missedReadings = load.isOk() ? 0 : this.missedReadings + 1
    const error = load.isErr() ? load.error.message : undefined
    if (this.down !== wasDown)
      log(this.down ? 'backend-down' : 'backend-up', { name: this.options.backendName, error })
    if (load.isErr())
      return
    this.draining = load.value.draining
    this.noteInstance(load.value.instance)
  }

  private noteInstance(instance: string): void {
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
