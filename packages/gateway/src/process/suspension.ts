/**
 * Decides whether this process was away without noticing it: its VM was
 * suspended, and its steady clock stood still meanwhile.
 *
 * Inputs: the steady clock and the time of day between two looks (ms).
 * Rule: it may have been away where the time of day went on by MIN_AWAY_MS more
 * than the steady clock.
 * Why: timers and ages go by the steady clock, which a step of the time of day
 * does not move; but it does not count a suspension. Connections may be gone,
 * another gateway may coordinate, and the store may have changed, while reads
 * wait on and everybody looks as they did a moment before. A step forward of the
 * time of day looks the same, and the boot clock, which would tell them apart,
 * cannot be read everywhere. So only what does no harm follows from this: reads
 * are made anew, and the others are asked before this process decides for them.
 * What must hold across a suspension, the reports of crashes, goes by the time
 * of day.
 * Log event: `woke`.
 */

/** Milliseconds between looks. Half costs processor time, twice notices a suspension later. */
const LOOK_INTERVAL_MS = 100
/** Milliseconds. Half is near what two readings of busy clocks differ by, twice is longer than a heartbeat's failure. */
const MIN_AWAY_MS = 500

/** Readings of both clocks at one moment, in milliseconds. */
export interface ClockReadings {
  steady: number
  timeOfDay: number
}

/** For how many milliseconds this process may have been away between two readings; 0 for not at all. */
export function awayBetween(before: ClockReadings, after: ClockReadings): number {
  const awayMs = (after.timeOfDay - before.timeOfDay) - (after.steady - before.steady)
  return awayMs >= MIN_AWAY_MS ? awayMs : 0
}

/** Looks at the clocks as long as the process lives. */
export class SuspensionWatch {
  private timer: NodeJS.Timeout | undefined
  private last: ClockReadings

  /** Takes what to do after a time away, in milliseconds. */
  constructor(private readonly onWake: (awayMs: number) => void, private readonly read: () => ClockReadings = readClocks) {
    this.last = read()
  }

  start(): void {
    this.last = this.read()
    this.timer = setInterval(() => this.look(), LOOK_INTERVAL_MS).unref()
  }

  stop(): void {
    clearInterval(this.timer)
  }

  private look(): void {
    const readings = this.read()
    const awayMs = awayBetween(this.last, readings)
    this.last = readings
    if (awayMs > 0)
      this.onWake(awayMs)
  }
}

function readClocks(): ClockReadings {
  return { steady: performance.now(), timeOfDay: Date.now() }
}
