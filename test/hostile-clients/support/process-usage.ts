/**
 * Watches the memory and the open descriptors of a process, and whether it lives.
 * Reads `/proc`, so that the process under test is not asked.
 */
import { readdirSync, readFileSync } from 'node:fs'

const SAMPLE_INTERVAL_MS = 20
const BYTES_PER_KILOBYTE = 1024

/** The highest values of one process since the watch began. */
export class ProcessUsage {
  highestMemoryBytes = 0
  highestDescriptors = 0
  private readonly timer: NodeJS.Timeout

  constructor(private readonly pid: number) {
    this.sample()
    this.timer = setInterval(() => this.sample(), SAMPLE_INTERVAL_MS)
  }

  /** Whether the process runs; one that was terminated and not waited for does not. */
  get isAlive(): boolean {
    const state = /^State:\s+(\S)/m.exec(this.readStatus())?.[1]
    return state !== undefined && state !== 'Z' && state !== 'X'
  }

  stop(): void {
    clearInterval(this.timer)
  }

  private sample(): void {
    const kilobytes = Number(/^VmRSS:\s+(\d+) kB/m.exec(this.readStatus())?.[1] ?? 0)
    this.highestMemoryBytes = Math.max(this.highestMemoryBytes, kilobytes * BYTES_PER_KILOBYTE)
    this.highestDescriptors = Math.max(this.highestDescriptors, this.countDescriptors())
  }

  private readStatus(): string {
    try {
      return readFileSync(`/proc/${this.pid}/status`, 'utf8')
    }
    catch {
      // The process has ended.
      return ''
    }
  }

  /** The number of open descriptors; 0 if the process has ended. */
  countDescriptors(): number {
    try {
      return readdirSync(`/proc/${this.pid}/fd`).length
    }
    catch {
      // The process has ended.
      return 0
    }
  }
}
