/**
 * Decides when a call is aborted because its backend server has stopped
 * responding.
 *
 * Inputs: time since the last bytes of the response (ms), consecutive probes
 * that the backend server did not answer.
 * Rule: once a stream is idle, its backend server is probed. Any reply to a
 * probe resets the idle time; consecutive unanswered probes abort the call.
 * Why: a frozen or partitioned backend server does not break the connection, and
 * pauses between events are normal. A probe can tell the two apart, a plain idle
 * timeout cannot.
 * Log event: `call-failed` (kind `aborted` before the response head, `broken` after it).
 *
 * State: the time of the last activity, until the detector is stopped.
 */

/** Whether the backend server responds at all within a time in milliseconds. */
export type Probe = (timeoutMs: number) => Promise<boolean>

/**
 * Idle time before a probe. Longer than ordinary pauses between events, and short
 * enough to detect a stall before clients disconnect.
 */
const IDLE_BEFORE_PROBE_MS = 900
/** Interval of the idle check, which bounds how late a stall is detected. */
const CHECK_INTERVAL_MS = IDLE_BEFORE_PROBE_MS / 3
/**
 * Time for the reply to a probe. Allows for a busy backend server, at the cost of
 * delaying the next attempt.
 */
const PROBE_TIMEOUT_MS = 500
/**
 * Consecutive unanswered probes that abort the call. Tolerates a single lost
 * packet, and aborts before clients disconnect.
 */
const MAX_FAILED_PROBES = 2

/** Inputs of the decision on an idle call. */
interface IdleState {
  idleMs: number
  failedProbes: number
}

/** What to do about an idle call. */
enum IdleDecision {
  Wait,
  Probe,
  Abort,
}

function decideOnIdle({ idleMs, failedProbes }: IdleState): IdleDecision {
  if (failedProbes >= MAX_FAILED_PROBES)
    return IdleDecision.Abort
  return idleMs >= IDLE_BEFORE_PROBE_MS ? IdleDecision.Probe : IdleDecision.Wait
}

/** Monitors one response until it is stopped. */
export class StallDetector {
  private lastActivityAt = performance.now()
  private failedProbes = 0
  private stopped = false
  private timer: NodeJS.Timeout

  constructor(private readonly probe: Probe, private readonly abort: () => void) {
    this.timer = this.schedule()
  }

  /** Called when bytes of the response arrive; also when the backend server answers a probe. */
  recordActivity(): void {
    this.lastActivityAt = performance.now()
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
    if (this.decide() === IdleDecision.Probe)
      await this.probeOnce()
    if (this.stopped)
      return
    if (this.decide() === IdleDecision.Abort)
      this.abort()
    else
      this.timer = this.schedule()
  }

  private decide(): IdleDecision {
    return decideOnIdle({ idleMs: performance.now() - this.lastActivityAt, failedProbes: this.failedProbes })
  }

  private async probeOnce(): Promise<void> {
    if (await this.probe(PROBE_TIMEOUT_MS))
      this.recordActivity()
    else
      this.failedProbes++
  }
}
