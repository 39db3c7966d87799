/**
 * Measures which part of a core this process uses. Holds the CPU time up to the
 * last reading.
 */
import process from 'node:process'

const MICROSECONDS_PER_MILLISECOND = 1000

/** Measures from one reading to the next. */
export class CpuMeter {
  private usedUntilMs = readCpuMs()

  /** Returns the part of a core that was used since the last reading, `elapsedMs` milliseconds ago; above 1 if several threads ran. */
  takeCoreShare(elapsedMs: number): number {
    const usedMs = readCpuMs()
    const share = (usedMs - this.usedUntilMs) / Math.max(1, elapsedMs)
    this.usedUntilMs = usedMs
    return share
  }
}

/** CPU time of all threads of this process, in milliseconds. */
function readCpuMs(): number {
  const { user, system } = process.cpuUsage()
  return (user + system) / MICROSECONDS_PER_MILLISECOND
}
