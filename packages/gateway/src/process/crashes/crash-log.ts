/**
 * Log events of requests that crash backend servers, and the reason for a refusal
 * as shown to clients and on-call engineers.
 */
import type { EventLog } from '@eidermast/common'
import type { CrashReport } from './crash-report.js'
import { formatError } from '@eidermast/common'

/** Crashes listed in a description; the others are only counted. */
const MAX_LISTED_CRASHES = 4
const MILLISECONDS_PER_SECOND = 1000

/** Writes crash events. */
export class CrashLog {
  constructor(private readonly log: EventLog) {}

  /** Logs the start of a quarantine with its reason, or its end if `refusal` is undefined. */
  quarantineChanged(fingerprint: string, refusal: string | undefined): void {
    if (refusal === undefined)
      this.log.write('quarantine-ended', { fingerprint })
    else
      this.log.write('quarantine', { fingerprint, reason: refusal })
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
