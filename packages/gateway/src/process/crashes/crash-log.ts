/**
 * The log events of requests that end backend servers, one function an event,
 * and the words in which callers and on-call engineers read why one is refused.
 */
import type { EventLog } from '@eidermast/common'
import type { CrashReport } from './crash-report.js'
import { formatError } from '@eidermast/common'

/** Crashes that a description names; the rest is counted. */
const NAMED_CRASHES = 4
/** Converts between seconds and milliseconds. */
const MILLISECONDS_PER_SECOND = 1000

/** Writes the events of crashes. */
export class CrashLog {
  constructor(private readonly log: EventLog) {}

  /** Requests with this fingerprint are refused from now on, for this reason, or no longer. */
  quarantineChanged(fingerprint: string, refusal: string | undefined): void {
    if (refusal === undefined)
      this.log.write('quarantine-ended', { fingerprint })
    else
      this.log.write('quarantine', { fingerprint, reason: refusal })
  }

  /** The ledger had lost reports that this gateway knows; it writes them again. */
  reportsRestored(crashes: number, answers: number): void {
    this.log.write('crash-reports-restored', { crashes, answers })
  }

  /** The store did not take this gateway's reports; they are written again. */
  writeFailed(error: unknown): void {
    this.log.write('crash-reports-failed', { error: formatError(error) })
  }

  /** Which ends of backend servers led to a refusal, where they were seen and how long ago. */
  describe(crashes: readonly CrashReport[], now: number): string {
    const newestFirst = crashes.toSorted((a, b) => b.at - a.at)
    const named = newestFirst.slice(0, NAMED_CRASHES).map(({ backend, gateway, at }) =>
      `${backend} ${((now - at) / MILLISECONDS_PER_SECOND).toFixed(1)} s ago, seen by ${gateway}`)
    return `requests like this one ended ${crashes.length} backend servers: ${named.join('; ')}`
  }
}
