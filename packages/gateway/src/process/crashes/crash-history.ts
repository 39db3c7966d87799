/**
 * All that this gateway knows about requests that were running when backend
 * servers crashed, merged from its own reports and those of others. Reports may
 * arrive in any order and more than once. The history is bounded by size and age;
 * fingerprints with the fewest crashes are evicted first, then the oldest.
 */
import type { AnswerReport, CrashReport, CrashReports } from './crash-report.js'
import type { FingerprintHistory } from './quarantine.js'
import { countedCrashes, CRASH_RETENTION_MS, isClearedByAnswer } from './quarantine.js'

/**
 * Each crash reports the fingerprints of all requests on the backend server (up
 * to 64 on the largest engines) and of the parts of their prompts, so this is
 * enough for the last 16 crashes if each request has three more parts of its own.
 * About 0.5 KB each.
 */
const MAX_FINGERPRINTS = 4096
/** Lower than the limit, so that eviction handles many fingerprints at once. */
const FINGERPRINTS_AFTER_EVICTION = MAX_FINGERPRINTS * 7 / 8
/** The newest crashes are kept. More than a quarantine needs, because causes are told apart by their crashes. */
const MAX_CRASHES_PER_FINGERPRINT = 32
/** Interval of the checks for expired entries; a fraction of the retention time. */
const EXPIRY_INTERVAL_MS = 10_000

/** What is known about one fingerprint. */
interface Entry {
  /** Keyed by the incarnation of the backend server (`Backend.incarnation`). */
  crashes: Map<string, CrashReport>
  answeredAt?: number
}

/** Merges reports and answers queries by fingerprint. */
export class CrashHistory {
  private readonly entries = new Map<string, Entry>()
  private lastExpiryAt = 0

  constructor(private readonly now: () => number = Date.now) {}

  /** Crashes and the last answer of a fingerprint. */
  historyOf(fingerprint: string): FingerprintHistory {
    const entry = this.entries.get(fingerprint)
    return { crashes: [...entry?.crashes.values() ?? []], answeredAt: entry?.answeredAt }
  }

  /** When a request with the fingerprint was last answered, in epoch milliseconds; undefined if that is not known. */
  answeredAt(fingerprint: string): number | undefined {
    return this.entries.get(fingerprint)?.answeredAt
  }

  /** Whether a crash report is kept. */
  hasCrash({ fingerprint, backend }: CrashReport): boolean {
    return this.entries.get(fingerprint)?.crashes.has(backend) ?? false
  }

  /** Whether anything is known about a fingerprint. */
  has(fingerprint: string): boolean {
    return this.entries.has(fingerprint)
  }

  /** All known fingerprints. */
  get fingerprints(): string[] {
    return [...this.entries.keys()]
  }

  /** The fingerprints with at least this many crashes, whether they count or not. */
  fingerprintsWithCrashes(minCrashes: number): string[] {
    return [...this.entries].filter(([, { crashes }]) => crashes.size >= minCrashes).map(([fingerprint]) => fingerprint)
  }

  /** The whole history as reports. */
  get all(): CrashReports {
    const entries = [...this.entries]
    return {
      crashes: entries.flatMap(([, { crashes }]) => [...crashes.values()]),
      answers: entries.flatMap(([fingerprint, { answeredAt }]) => answeredAt === undefined ? [] : [{ fingerprint, at: answeredAt }]),
    }
  }

  /**
   * Selects the reports that are neither known nor expired. Answers that clear no
   * further crash are left out: parts of prompts are answered all the time, at all
   * gateways.
   */
  selectNew({ crashes, answers }: CrashReports): CrashReports {
    return {
      crashes: crashes.filter(crash => this.isNew(crash)),
      answers: answers.filter(answer => !this.isExpired(answer.at) && this.isNewAnswer(answer)),
    }
  }

  /** Adds reports to the history. */
  merge({ crashes, answers }: CrashReports): void {
    for (const crash of crashes)
      this.addCrash(crash)
    for (const answer of answers)
      this.addAnswer(answer)
    this.evictExpired()
    if (this.entries.size > MAX_FINGERPRINTS)
      this.evictLowestRanked()
  }

  private isNewAnswer({ fingerprint, at }: AnswerReport): boolean {
    const known = this.entries.get(fingerprint)
    if (!known)
      return true
    const crashes = [...known.crashes.values()]
    const hasOpenCrash = crashes.length === 0 || crashes.some(crash => !isClearedByAnswer(crash, known.answeredAt))
    return at > (known.answeredAt ?? 0) && hasOpenCrash
  }

  private isNew(crash: CrashReport): boolean {
    if (this.isExpired(crash.at))
      return false
    const known = this.entries.get(crash.fingerprint)?.crashes
    if (!known)
      return true
    return !known.has(crash.backend) && (known.size < MAX_CRASHES_PER_FINGERPRINT || crash.at > findOldest(known).at)
  }

  private addCrash(crash: CrashReport): void {
    const { crashes } = this.entryOf(crash.fingerprint)
    crashes.set(crash.backend, crash)
    if (crashes.size > MAX_CRASHES_PER_FINGERPRINT)
      crashes.delete(findOldest(crashes).backend)
  }

  private addAnswer({ fingerprint, at }: AnswerReport): void {
    const entry = this.entryOf(fingerprint)
    entry.answeredAt = Math.max(at, entry.answeredAt ?? 0)
  }

  private entryOf(fingerprint: string): Entry {
    const existing = this.entries.get(fingerprint)
    if (existing)
      return existing
    const created = { crashes: new Map() }
    this.entries.set(fingerprint, created)
    return created
  }

  private evictExpired(): void {
    if (this.now() - this.lastExpiryAt < EXPIRY_INTERVAL_MS)
      return
    this.lastExpiryAt = this.now()
    for (const [fingerprint, entry] of this.entries) {
      if (this.isExpired(lastChangeAt(entry)))
        this.entries.delete(fingerprint)
    }
  }

  /** Evicts the fingerprints with the fewest counted crashes, then the oldest. */
  private evictLowestRanked(): void {
    const now = this.now()
    const ranked = [...this.entries].map(([fingerprint, entry]) =>
      ({ fingerprint, crashes: countedCrashes(this.historyOf(fingerprint), now).length, newestAt: lastChangeAt(entry) }))
    ranked.sort((a, b) => a.crashes - b.crashes || a.newestAt - b.newestAt)
    for (const { fingerprint } of ranked.slice(0, ranked.length - FINGERPRINTS_AFTER_EVICTION))
      this.entries.delete(fingerprint)
  }

  private isExpired(at: number): boolean {
    return this.now() - at >= CRASH_RETENTION_MS
  }
}

function findOldest(crashes: ReadonlyMap<string, CrashReport>): CrashReport {
  return [...crashes.values()].reduce((oldest, crash) => crash.at < oldest.at ? crash : oldest)
}

/** Time of the newest report of a fingerprint, in epoch milliseconds. */
function lastChangeAt({ crashes, answeredAt = 0 }: Entry): number {
  return Math.max(answeredAt, ...[...crashes.values()].map(({ at }) => at))
}
