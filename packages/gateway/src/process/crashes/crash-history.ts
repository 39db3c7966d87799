/**
 * All that this gateway knows of requests under which backend servers ended: its
 * own reports and those of others, merged. Merging takes reports in any order
 * and more than once. It owns this knowledge, bounded by number and age; where
 * it must give way, what fewer and older crashes speak for goes first.
 */
import type { AnswerReport, CrashReport, CrashReports } from './crash-report.js'
import type { CrashFacts } from './quarantine.js'
import { countedCrashes, REMEMBER_MS } from './quarantine.js'

/**
 * Fingerprints. Each end of a backend server brings those of all that ran there
 * (64 at the largest engines): enough for the last 64 of them. About 0.5 KB each.
 */
const MAX_FINGERPRINTS = 4096
/** Fingerprints that stay where there are too many: what goes is chosen for many at once. */
const KEPT_FINGERPRINTS = MAX_FINGERPRINTS * 7 / 8
/** Ends of backend servers that are kept of one fingerprint, the newest: more than a refusal needs. */
const MAX_CRASHES_EACH = 8
/** Milliseconds between two looks for what is too old; a part of the time for which it counts. */
const EXPIRY_PAUSE_MS = 10_000

/** What is known of one fingerprint. */
interface Entry {
  /** By the life of the backend server that ended. */
  crashes: Map<string, CrashReport>
  answeredAt?: number
}

/** Merges reports and answers what is known of a fingerprint. */
export class CrashHistory {
  private readonly entries = new Map<string, Entry>()
  private expiredAt = 0

  constructor(private readonly now: () => number = Date.now) {}

  /** What is known of a fingerprint. */
  factsOf(fingerprint: string): CrashFacts {
    const entry = this.entries.get(fingerprint)
    return { crashes: [...entry?.crashes.values() ?? []], answeredAt: entry?.answeredAt }
  }

  /** Whether an end of a backend server is kept here. */
  knows({ fingerprint, backend }: CrashReport): boolean {
    return this.entries.get(fingerprint)?.crashes.has(backend) ?? false
  }

  /** Whether anything is known of a fingerprint. */
  has(fingerprint: string): boolean {
    return this.entries.has(fingerprint)
  }

  /** Fingerprints of which something is known. */
  get fingerprints(): string[] {
    return [...this.entries.keys()]
  }

  /** Everything that is known, as reports. */
  get all(): CrashReports {
    const entries = [...this.entries]
    return {
      crashes: entries.flatMap(([, { crashes }]) => [...crashes.values()]),
      answers: entries.flatMap(([fingerprint, { answeredAt }]) => answeredAt === undefined ? [] : [{ fingerprint, at: answeredAt }]),
    }
  }

  /** Those of some reports that are not known here and not too old. */
  newsIn({ crashes, answers }: CrashReports): CrashReports {
    return {
      crashes: crashes.filter(crash => this.isNews(crash)),
      answers: answers.filter(({ fingerprint, at }) => !this.isExpired(at) && at > (this.entries.get(fingerprint)?.answeredAt ?? 0)),
    }
  }

  /** Takes reports. */
  merge({ crashes, answers }: CrashReports): void {
    for (const crash of crashes)
      this.takeCrash(crash)
    for (const answer of answers)
      this.takeAnswer(answer)
    this.forgetExpired()
    if (this.entries.size > MAX_FINGERPRINTS)
      this.forgetLeast()
  }

  private isNews(crash: CrashReport): boolean {
    if (this.isExpired(crash.at))
      return false
    const known = this.entries.get(crash.fingerprint)?.crashes
    if (!known)
      return true
    return !known.has(crash.backend) && (known.size < MAX_CRASHES_EACH || crash.at > oldestOf(known).at)
  }

  private takeCrash(crash: CrashReport): void {
    const { crashes } = this.entryOf(crash.fingerprint)
    crashes.set(crash.backend, crash)
    if (crashes.size > MAX_CRASHES_EACH)
      crashes.delete(oldestOf(crashes).backend)
  }

  private takeAnswer({ fingerprint, at }: AnswerReport): void {
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

  private forgetExpired(): void {
    if (this.now() - this.expiredAt < EXPIRY_PAUSE_MS)
      return
    this.expiredAt = this.now()
    for (const [fingerprint, entry] of this.entries) {
      if (this.isExpired(newestOf(entry)))
        this.entries.delete(fingerprint)
    }
  }

  /** Drops what fewer crashes speak for first, then the oldest. */
  private forgetLeast(): void {
    const now = this.now()
    const weighed = [...this.entries].map(([fingerprint, entry]) =>
      ({ fingerprint, crashes: countedCrashes(this.factsOf(fingerprint), now).length, newestAt: newestOf(entry) }))
    weighed.sort((a, b) => a.crashes - b.crashes || a.newestAt - b.newestAt)
    for (const { fingerprint } of weighed.slice(0, weighed.length - KEPT_FINGERPRINTS))
      this.entries.delete(fingerprint)
  }

  private isExpired(at: number): boolean {
    return this.now() - at >= REMEMBER_MS
  }
}

function oldestOf(crashes: ReadonlyMap<string, CrashReport>): CrashReport {
  return [...crashes.values()].reduce((oldest, crash) => crash.at < oldest.at ? crash : oldest)
}

/** When something was learned last of a fingerprint, in epoch milliseconds. */
function newestOf({ crashes, answeredAt = 0 }: Entry): number {
  return Math.max(answeredAt, ...[...crashes.values()].map(({ at }) => at))
}
