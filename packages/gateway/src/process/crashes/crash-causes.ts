/**
 * The causes for which this gateway refuses requests, found from the reports of
 * all gateways and its own answers (`crash-cause.ts`), with their log events.
 *
 * Owns the current causes and the trials, in memory. A process that starts finds
 * the causes again from the reports that it reads.
 */
import type { CrashCause } from './crash-cause.js'
import type { CrashHistory } from './crash-history.js'
import type { CrashLog } from './crash-log.js'
import type { CrashReport } from './crash-report.js'
import type { RecentAnswers } from './recent-answers.js'
import { findCauses, isCause } from './crash-cause.js'
import { QuarantineTrials } from './quarantine-trials.js'
import { areEnough, countedCrashes, MIN_QUARANTINE_CRASHES } from './quarantine.js'

/** Interval in which causes expire. */
const EXPIRY_INTERVAL_MS = 10_000

/** What the causes are found from. */
export interface CrashCausesDependencies {
  history: CrashHistory
  /** Answers of this gateway, reported or not. */
  answers: RecentAnswers
  log: CrashLog
  /** Whether this gateway lets single requests through that would be refused. */
  startsTrials: () => boolean
  /** Current time in epoch milliseconds. */
  now: () => number
}

/** Finds causes, and refuses requests because of them. */
export class CrashCauses {
  private causes: readonly CrashCause[] = []
  private updatedAt = 0
  private readonly trials: QuarantineTrials

  constructor(private readonly deps: CrashCausesDependencies) {
    this.trials = new QuarantineTrials(deps.startsTrials, (fingerprint, cause) => deps.log.trialStarted(fingerprint, cause))
  }

  get count(): number {
    this.expire()
    return this.causes.length
  }

  /** Why a request with these fingerprints is refused; undefined if it is not. Lets it through as a trial if one is due. */
  refusal(fingerprints: readonly string[]): string | undefined {
    this.expire()
    const cause = this.causes.find(each => isCause(each, fingerprints))
    const now = this.deps.now()
    if (!cause || this.trials.allows(fingerprints[0], cause, now))
      return undefined
    return this.deps.log.describe(cause.crashes, now)
  }

  /** When a request with the fingerprint was last answered (epoch milliseconds), by all answers known here, reported or not; 0 if none is. */
  answeredAt(fingerprint: string): number {
    const { history, answers } = this.deps
    return Math.max(history.answeredAt(fingerprint) ?? 0, answers.at(fingerprint) ?? 0)
  }

  /** The crashes that are evidence against a fingerprint, by all answers known here. */
  countedCrashesOf(fingerprint: string): CrashReport[] {
    const { history, now } = this.deps
    if (!history.has(fingerprint))
      return []
    const { crashes } = history.historyOf(fingerprint)
    return countedCrashes({ crashes, answeredAt: this.answeredAt(fingerprint) }, now())
  }

  /** Finds the causes anew, and logs those that have begun or ended. */
  update(): void {
    const { history, log, now } = this.deps
    this.updatedAt = now()
    const candidates = history.fingerprintsWithCrashes(MIN_QUARANTINE_CRASHES)
      .map(fingerprint => ({ fingerprint, crashes: this.countedCrashesOf(fingerprint) }))
      .filter(({ crashes }) => areEnough(crashes))
    const previous = this.causes
    this.causes = findCauses(candidates)
    for (const { fingerprints } of previous.filter(cause => !hasSame(this.causes, cause)))
      log.quarantineEnded(fingerprints)
    for (const { fingerprints, crashes } of this.causes.filter(cause => !hasSame(previous, cause)))
      log.quarantineBegun(fingerprints, log.describe(crashes, this.updatedAt))
  }

  /** Like `update`, after answers alone: they end causes, and begin none. */
  updateAfterAnswers(): void {
    if (this.causes.length > 0)
      this.update()
  }

  private expire(): void {
    if (this.causes.length > 0 && this.deps.now() - this.updatedAt >= EXPIRY_INTERVAL_MS)
      this.update()
  }
}

function hasSame(causes: readonly CrashCause[], { fingerprints }: CrashCause): boolean {
  return causes.some(cause => cause.fingerprints.join() === fingerprints.join())
}
