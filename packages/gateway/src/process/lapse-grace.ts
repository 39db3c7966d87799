/**
 * Decides how long a backend server is used on after its entry has gone from
 * the platform's list.
 *
 * Inputs: when the source of the list last answered again after failures
 * (process clock, ms).
 * Rule: not at all while the source was reachable; until LAPSE_GRACE_MS after
 * its return otherwise.
 * Why: backend servers renew their entries, and cannot while the list is away:
 * an entry that is gone then need not mean that its backend server is. Without
 * this rule all 22 of a day of our own were dropped at once (commit a03d214).
 * Waiting always would send requests to backend servers that have left.
 * Set by: LAPSE_GRACE_MS.
 * Log events: `backend-lapsed`, `backend-removed`.
 */

/**
 * Milliseconds. Entries are renewed within two seconds of the list's return,
 * and a backend server that leaves serves on for at least as long; on a day of
 * our own worth went from 0.746 to 0.762 (one run each, commit a03d214).
 */
const LAPSE_GRACE_MS = 1900

/** Follows the source's returns; the time is lost with the process, which then starts from a whole list. */
export class LapseGrace {
  private until = 0

  /** The source answers again after failures. */
  noteSourceReturned(): void {
    this.until = performance.now() + LAPSE_GRACE_MS
  }

  /** For how long a backend server whose entry has gone now is used on, in milliseconds; 0 for not at all. */
  remainingMs(): number {
    return Math.max(0, this.until - performance.now())
  }
}
