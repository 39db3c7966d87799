/**
 * Decides whether one request that would be refused is let through, to find out
 * whether its cause still crashes backend servers.
 *
 * Inputs: the cause with its crashes, whether this gateway is the overall
 * coordinator, the current time (epoch ms), the trials of this process.
 * Rule: only for causes that are parts of prompts, at the coordinator, one request
 * at a time. The first trial is due FIRST_TRIAL_MS after the latest crash; each
 * crash beyond the minimum doubles that. An answer ends the quarantine, a crash
 * delays the next trial.
 * Why: a part that is refused wrongly, or that mended backend servers can run, is
 * held by many requests, and without an answer nothing would clear it for an hour.
 * A trial at each gateway would crash as many backend servers as there are
 * gateways.
 * Log event: `quarantine-trial`.
 *
 * State: the latest trial, in memory. A new coordinator may repeat it.
 */
import type { CrashCause } from './crash-cause.js'
import { isPartFingerprint } from '../../request/request-fingerprint.js'
import { MIN_QUARANTINE_CRASHES } from './quarantine.js'

/** Time from the latest crash until the first trial; engines that crashed have been back for long by then. */
const FIRST_TRIAL_MS = 60_000
/** Longest time for which a trial request is let through; longer than a request lasts. */
const TRIAL_MS = 30_000

/** A request that is let through. */
interface Trial {
  /** Fingerprint of the whole request. */
  fingerprint: string
  /** Epoch milliseconds. */
  startedAt: number
}

/** Lets single requests through. */
export class QuarantineTrials {
  private latest: Trial | undefined

  constructor(private readonly isCoordinator: () => boolean, private readonly onTrial: (fingerprint: string, cause: CrashCause) => void) {}

  /** Whether a request with this fingerprint of the whole is let through although the cause refuses it. */
  allows(fingerprint: string, cause: CrashCause, now: number): boolean {
    const age = now - (this.latest?.startedAt ?? Number.NEGATIVE_INFINITY)
    if (age < TRIAL_MS)
      return this.latest?.fingerprint === fingerprint
    if (!this.isCoordinator() || age < FIRST_TRIAL_MS || now < trialDueAt(cause))
      return false
    this.latest = { fingerprint, startedAt: now }
    this.onTrial(fingerprint, cause)
    return true
  }
}

/** Epoch milliseconds from which a trial is due; Infinity if none is. */
function trialDueAt({ fingerprints, crashes }: CrashCause): number {
  if (!fingerprints.every(isPartFingerprint))
    return Number.POSITIVE_INFINITY
  const latestCrashAt = Math.max(...crashes.map(({ at }) => at))
  return latestCrashAt + FIRST_TRIAL_MS * 2 ** (crashes.length - MIN_QUARANTINE_CRASHES)
}
