/**
 * Watches a stream that is silent: its backend server is probed, and one that
 * answers no probe has the stream given up.
 */

/** Whether the backend server answers at all within a time in milliseconds. */
export type Probe = (timeoutMs: number) => Promise<boolean>

/** A stream that is silent this long has its backend server probed, in milliseconds. */
const SILENCE_MS = 900
const CHECK_INTERVAL_MS = SILENCE_MS / 3
const PROBE_TIMEOUT_MS = 500
const MAX_FAILED_PROBES = 2

/** Watches one answer until it is stopped. */
export class SilenceWatch {
  private heardAt = performance.now()
  private failedProbes = 0
  private stopped = false
  private timer: NodeJS.Timeout

  constructor(private readonly probe: Probe, private readonly giveUp: () => void) {
    this.timer = this.schedule()
  }

  /** Something of the answer came. */
  heard(): void {
    this.heardAt = performance.now()
    this.failedProbes = 0
  }

  stop(): void {
    this.stopped = true
    clearTimeout(this.timer)
  }

  private schedule(): NodeJS.Timeout {
    return setTimeout(() => void this.check(), CHECK_INTERVAL_MS)
  }

  private async check(): Promise<void> {
    if (performance.now() - this.heardAt >= SILENCE_MS)
      await this.probeOnce()
    if (this.stopped)
      return
    if (this.failedProbes >= MAX_FAILED_PROBES)
      this.giveUp()
    else
      this.timer = this.schedule()
  }

  private async probeOnce(): Promise<void> {
    if (await this.probe(PROBE_TIMEOUT_MS))
      this.heard()
    else
      this.failedProbes++
  }
}
