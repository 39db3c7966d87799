/**
 * Decides whether this process was suspended together with its VM, which stops
 * the monotonic clock.
 *
 * Inputs: readings of the monotonic and the wall clock at two polls (ms).
 * Rule: the process may have been suspended if the wall clock advanced at least
 * MIN_SUSPENSION_MS more than the monotonic clock.
 * Why: timers and ages use the monotonic clock, which is not affected by steps of
 * the wall clock but does not count a suspension either. Afterwards connections
 * may be dead, another gateway may be the coordinator, and the store may have
 * changed, while reads are still pending and all peers look alive. A forward step
 * of the wall clock looks the same, and the boot-time clock that would tell them
 * apart is not readable on all systems. Therefore only harmless actions follow:
 * reads are restarted, and peers are contacted before this process decides for
 * them. State that must be valid across a suspension, the crash reports, uses the
 * wall clock.
 * Log event: `woke`.
 */

/** Delays the detection of a suspension by at most this much; each poll costs CPU time. */
const POLL_INTERVAL_MS = 100
/** Above the difference between readings of both clocks on a busy machine, and below the time after which a peer is declared failed. */
const MIN_SUSPENSION_MS = 500

/** Simultaneous readings of both clocks, in milliseconds. */
export interface ClockReadings {
  monotonicMs: number
  wallClockMs: number
}

/** Milliseconds for which this process may have been suspended between two readings; 0 if it was not. */
export function suspendedMsBetween(before: ClockReadings, after: ClockReadings): number {
  const suspendedMs = (after.wallClockMs - before.wallClockMs) - (after.monotonicMs - before.monotonicMs)
  return suspendedMs >= MIN_SUSPENSION_MS ? suspendedMs : 0
}

/** Polls the clocks to detect suspensions of the process. */
export class SuspensionDetector {
  private timer: NodeJS.Timeout | undefined
  private last: ClockReadings

  /** `onResume` is called with the length of each suspension in milliseconds. */
  constructor(private readonly onResume: (suspendedMs: number) => void, private readonly read: () => ClockReadings = readClocks) {
    this.last = read()
  }

  start(): void {
    this.last = this.read()
    this.timer = setInterval(() => this.poll(), POLL_INTERVAL_MS).unref()
  }

  stop(): void {
    clearInterval(this.timer)
  }

  private poll(): void {
    const readings = this.read()
    const suspendedMs = suspendedMsBetween(this.last, readings)
    this.last = readings
    if (suspendedMs > 0)
      this.onResume(suspendedMs)
  }
}

function readClocks(): ClockReadings {
  return { monotonicMs: performance.now(), wallClockMs: Date.now() }
}
