/**
 * Decides when a stream is abandoned because its backend server is silent.
 *
 * Inputs: time since the last bytes of the answer (ms), probes in a row that
 * the backend server did not answer.
 * Rule: a silent stream has its backend server probed; any answer to a probe
 * counts as a sign of life, probes in a row without one abandon the stream.
 * Why: a frozen or cut-off backend server breaks no connection, and a pause
 * between events is normal; a probe tells the two apart, a time limit can't.
 * Log event: `call-failed` (kind `aborted` before the head, `broken` after it).
 *
 * State: the last sign of life, until the watch is stopped.
 */

/** Whether the backend server answers at all within a time in milliseconds. */
export type Probe = (timeoutMs: number) => Promise<boolean>

/**
 * Milliseconds of silence before a probe. Half probes in ordinary pauses, twice
 * comes after clients have left.
 */
const SILENCE_MS = 900
/** Milliseconds between looks at the silence; a third of it, so that it is noticed at most that much late. */
const CHECK_INTERVAL_MS = SILENCE_MS / 3
/**
 * Milliseconds for a probe's answer. Half fails on a busy backend server, twice
 * delays the other attempt.
 */
const PROBE_TIMEOUT_MS = 500
/**
 * Probes in a row without an answer. One would abandon on a single lost packet,
 * four come after clients have left.
 */
const MAX_FAILED_PROBES = 2

/** What is known of a stream's silence. */
interface Silence {
  silentMs: number
  failedProbes: number
}

/** What is done about a stream's silence. */
enum SilenceDecision {
  Wait,
  Probe,
  Abandon,
}

function decideOnSilence({ silentMs, failedProbes }: Silence): SilenceDecision {
  if (failedProbes >= MAX_FAILED_PROBES)
    return SilenceDecision.Abandon
  return silentMs >= SILENCE_MS ? SilenceDecision.Probe : SilenceDecision.Wait
}

/** Watches one answer until it is stopped. */
export class SilenceWatch {
  private heardAt = performance.now()
  private failedProbes = 0
  private stopped = false
  private timer: NodeJS.Timeout

  constructor(private readonly probe: Probe, private readonly abandon: () => void) {
    this.timer = this.schedule()
  }

  /** Bytes of the answer came, or the backend server answered a probe. */
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
    if (this.decide() === SilenceDecision.Probe)
      await this.probeOnce()
    if (this.stopped)
      return
    if (this.decide() === SilenceDecision.Abandon)
      this.abandon()
    else
      this.timer = this.schedule()
  }

  private decide(): SilenceDecision {
    return decideOnSilence({ silentMs: performance.now() - this.heardAt, failedProbes: this.failedProbes })
  }

  private async probeOnce(): Promise<void> {
    if (await this.probe(PROBE_TIMEOUT_MS))
      this.heard()
    else
      this.failedProbes++
  }
}
