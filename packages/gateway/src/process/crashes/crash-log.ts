/**
 * Log events of requests that crash backend servers, and the reason for a refusal
 * as shown to clients and on-call engineers.
 */
import type { EventLog } from '@eidermast/common'
import type { CrashCause } from './crash-cause.js'
import type { CrashReport } from './crash-report.js'
import { formatError } from '@eidermast/common'

/** Crashes listed in a description; the others are only counted. */
const MAX_LISTED_CRASHES = 4
const MILLISECONDS_PER_SECOND = 1000

/** Writes crash events. */
export class CrashLog {
  constructor(private readonly log: EventLog) {}

  /** Requests with all these fingerprints are refused from now on. */
  quarantineBegun(fingerprints: readonly string[], reason: string): void {
    this.log.write('quarantine', { fingerprint: fingerprints.join(','), reason })
  }

  /** Requests with these fingerprints are no longer refused, or by another cause. */
  quarantineEnded(fingerprints: readonly string[]): void {
    this.log.write('quarantine-ended', { fingerprint: fingerprints.join(',') })
  }

  /** A request that would be refused is let through, to find out whether it still crashes backend servers. */
  trialStarted(fingerprint: string, { fingerprints, crashes }: CrashCause): void {
    this.log.write('quarantine-trial', { fingerprint, cause: fingerprints.join(','), crashes: crashes.length })
  }

  /** The ledger had lost reports known to this gateway, which writes them again. */
  reportsRestored(crashes: number, answers: number): void {
    this.log.write('crash-reports-restored', { crashes, answers })
  }

  /** The store did not accept this gateway's reports; the write is retried. */
  writeFailed(error: unknown): void {
    this.log.write('crash-reports-failed', { error: formatError(error) })
  }

  /** Describes the crashes that led to a refusal: which backend servers, seen by which gateway, how long ago. */
  describe(crashes: readonly CrashReport[], now: number): string {
    const newestFirst = crashes.toSorted((a, b) => b.at - a.at)
    const listed = newestFirst.slice(0, MAX_LISTED_CRASHES).map(({ backend, gateway, at }) =>
      `${backend} ${((now - at) / MILLISECONDS_PER_SECOND).toFixed(1)} s ago, seen by ${gateway}`)
    return `requests like this one ended ${crashes.length} backend servers: ${listed.join('; ')}`
  }
}
