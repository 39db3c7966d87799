/**
 * Tracks which requests crash backend servers, across all gateways. A request may
 * be retried at any gateway, or another one with the same prompt part arrive
 * there, and each crash may be seen by a different one. Every
 * gateway therefore reports the crashes that it sees to the platform's ledger,
 * where the others read them and where they survive the loss of all gateways.
 * Heartbeats carry the reports as well, for when the store does not answer.
 *
 * Owns this gateway's reports and the merged history, in memory. A process that
 * starts reads all reports first, including those of its predecessor.
 */
import type { EventLog } from '@eidermast/common'
import type { Backend } from '../../connection/backends/backend.js'
import type { CrashMonitor } from '../../request/crash-monitor.js'
import type { CrashLedger, CrashSink } from '../platform-adapter.js'
import type { BackendCrash } from './crash-detector.js'
import type { AnswerReport, CrashReport, CrashReports } from './crash-report.js'
import { wait } from '@eidermast/common'
import { announceBackoffMs } from '../store-backoff.js'
import { CrashCauses } from './crash-causes.js'
import { CrashExchange } from './crash-exchange.js'
import { CrashHistory } from './crash-history.js'
import { CrashLog } from './crash-log.js'
import { isEmptyReport, NO_REPORTS } from './crash-report.js'
import { countedCrashes, isClearedByAnswer, MIN_QUARANTINE_CRASHES } from './quarantine.js'
import { RecentAnswers } from './recent-answers.js'

/**
 * Minimum interval between two writes of this gateway. Reports in between are
 * written together, so that a gateway writes at most twice a second, however many
 * crashes there are.
 */
const WRITE_INTERVAL_MS = 500
/** Crash reports in this gateway's record, about 100 bytes each. The store accepts records of up to 256 KB. */
const MAX_OWN_CRASH_REPORTS = 512
/** Answers in this gateway's record, about 70 bytes each. */
const MAX_OWN_ANSWER_REPORTS = 1024
/** Crashes from which on answers are reported; one less than the number that leads to quarantine. */
const REPORTED_CRASH_COUNT = MIN_QUARANTINE_CRASHES - 1
/**
 * Maximum delay of the report of an answer. Many gateways have answered requests
 * with a popular prompt part; after the first report the others change nothing.
 */
const ANSWER_REPORT_SPREAD_MS = 300

/** What the tracker works with. */
export interface CrashTrackerDependencies {
  /** Name of this gateway. */
  name: string
  ledger: Pick<CrashLedger, 'publish'>
  log: EventLog
  /** Determines whether the backend server of a broken call crashed. */
  detector: Pick<CrashMonitor, 'noteBroken'>
  /**
   * Whether this gateway restores reports of other gateways that the ledger has
   * lost. One gateway does, since reports of gateways that have ended would
   * otherwise stay lost.
   */
  restoresOthers: () => boolean
  /** Whether this gateway lets single requests through that would be refused. */
  startsTrials: () => boolean
  /** Current time in epoch milliseconds. @default Date.now */
  now?: () => number
}

/** Collects and shares crash reports. */
export class CrashTracker implements CrashMonitor, CrashSink {
  private readonly history: CrashHistory
  private readonly answers = new RecentAnswers()
  /** Exchanges reports with peers. */
  readonly crashExchange: CrashExchange
  private readonly log: CrashLog
  private readonly now: () => number
  private readonly causes: CrashCauses
  /** This gateway's record in the ledger. */
  private ownReports: CrashReports = NO_REPORTS
  /** Answers that are reported after a delay. */
  private pendingAnswers: AnswerReport[] = []
  /** Whether the ledger has been read, so that writing does not discard the predecessor's reports. */
  private isLedgerRead = false
  private isWriting = false
  /** Whether the ledger lacks the newest state of this gateway's record. */
  private hasUnwrittenChanges = false

  constructor(private readonly deps: CrashTrackerDependencies) {
    this.now = deps.now ?? Date.now
    this.history = new CrashHistory(this.now)
    this.log = new CrashLog(deps.log)
    this.causes = new CrashCauses({ history: this.history, answers: this.answers, log: this.log, startsTrials: deps.startsTrials, now: this.now })
    this.crashExchange = new CrashExchange(reports => void this.mergeReports(reports), this.now())
  }

  /** Number of causes for which requests are refused. */
  get quarantined(): number {
    return this.causes.count
  }

  noteBroken(backend: Backend, fingerprints: readonly string[]): Promise<void> {
    return this.deps.detector.noteBroken(backend, fingerprints)
  }

  noteAnswered(fingerprints: readonly string[]): void {
    const at = this.now()
    const suspected = fingerprints.filter(fingerprint => this.crashCount(fingerprint) >= REPORTED_CRASH_COUNT)
    fingerprints.forEach(fingerprint => this.answers.note(fingerprint, at))
    // One answer clears all earlier crashes; further answers need no report.
    if (suspected.length === 0)
      return
    this.causes.updateAfterAnswers()
    this.reportAnswers(suspected.map(fingerprint => ({ fingerprint, at })))
  }

  crashCount(fingerprint: string): number {
    return this.causes.countedCrashesOf(fingerprint).length
  }

  refusal(fingerprints: readonly string[]): string | undefined {
    return this.causes.refusal(fingerprints)
  }

  /**
   * Records a crash of a backend server with requests in flight. Fingerprints that a
   * known answer clears are left out: the answer may never reach the ledger.
   */
  noteCrash({ backend, fingerprints }: BackendCrash): void {
    const at = this.now()
    const crashes = fingerprints
      .map((fingerprint): CrashReport => ({ fingerprint, backend: backend.incarnation, at, gateway: this.deps.name }))
      .filter(crash => !isClearedByAnswer(crash, this.causes.answeredAt(crash.fingerprint)))
    this.recordReports({ crashes, answers: [] })
  }

  replaceAll(byOwner: ReadonlyMap<string, CrashReports>): void {
    for (const [owner, reports] of byOwner)
      this.applyReports(owner, reports)
    this.isLedgerRead = true
    this.restoreLostReports([...byOwner.values()])
    void this.write()
  }

  applyReports(owner: string, reports: CrashReports): void {
    const added = this.mergeReports(reports)
    if (owner === this.deps.name)
      this.addToOwnReports(added)
  }

  /** Records this gateway's own observations, if new. */
  private recordReports(reports: CrashReports): void {
    const added = this.mergeReports(reports)
    if (isEmptyReport(added))
      return
    this.addToOwnReports(added)
    this.hasUnwrittenChanges = true
    void this.write()
  }

  /**
   * Adds to this gateway's record what the ledger has lost: its own reports, or
   * all known ones if this gateway restores those of others.
   */
  private restoreLostReports(records: readonly CrashReports[]): void {
    const stored = new Set(records.flatMap(({ crashes, answers }) => [...crashes, ...answers]).map(reportKey))
    const expected = this.deps.restoresOthers() ? this.history.all : this.ownReports
    const lost = {
      crashes: expected.crashes.filter(crash => !stored.has(reportKey(crash))),
      answers: expected.answers.filter(answer => !stored.has(reportKey(answer))),
    }
    if (isEmptyReport(lost))
      return
    this.log.reportsRestored(lost.crashes.length, lost.answers.length)
    this.addToOwnReports(lost)
    this.hasUnwrittenChanges = true
  }

  /** Merges reports into the history, and updates the causes. Returns the reports that were new. */
  private mergeReports(reports: CrashReports): CrashReports {
    const added = this.history.selectNew(reports)
    if (isEmptyReport(added))
      return added
    this.history.merge(added)
    this.crashExchange.note(added)
    this.reportRecentAnswers(added.crashes)
    if (added.crashes.length > 0)
      this.causes.update()
    else
      this.causes.updateAfterAnswers()
    return added
  }

  /**
   * Reports answers given here recently to requests with the fingerprints of new
   * crashes: such requests are not the cause.
   */
  private reportRecentAnswers(crashes: readonly CrashReport[]): void {
    const answers = crashes.flatMap((crash): AnswerReport[] => {
      const answeredAt = this.answers.at(crash.fingerprint)
      const isNeeded = this.history.historyOf(crash.fingerprint).crashes.length >= REPORTED_CRASH_COUNT
      return answeredAt !== undefined && isNeeded && isClearedByAnswer(crash, answeredAt) ? [{ fingerprint: crash.fingerprint, at: answeredAt }] : []
    })
    this.reportAnswers(answers)
  }

  /** Reports answers together after a delay, except those that have become known from others. They count here at once. */
  private reportAnswers(answers: readonly AnswerReport[]): void {
    if (this.pendingAnswers.length === 0 && answers.length > 0)
      setTimeout(() => this.reportPendingAnswers(), Math.random() * ANSWER_REPORT_SPREAD_MS).unref()
    this.pendingAnswers.push(...answers)
  }

  private reportPendingAnswers(): void {
    const answers = this.pendingAnswers
    this.pendingAnswers = []
    this.recordReports({ crashes: [], answers })
  }

  /** Adds reports to this gateway's record, except those that the history has evicted. */
  private addToOwnReports(reports: CrashReports): void {
    const crashes = [...this.ownReports.crashes, ...reports.crashes].filter(crash => this.history.hasCrash(crash))
    const answers = [...this.ownReports.answers, ...reports.answers].filter(({ fingerprint }) => this.history.has(fingerprint))
    this.ownReports = {
      crashes: this.limitToRecordSize([...new Map(crashes.map(crash => [reportKey(crash), crash])).values()]),
      answers: [...new Map(answers.map(answer => [answer.fingerprint, answer])).values()]
        .toSorted((a, b) => b.at - a.at)
        .slice(0, MAX_OWN_ANSWER_REPORTS),
    }
  }

  /**
   * Keeps as many reports as fit into a record, preferring fingerprints with the
   * most crashes, then the newest reports.
   */
  private limitToRecordSize(crashes: CrashReport[]): CrashReport[] {
    if (crashes.length <= MAX_OWN_CRASH_REPORTS)
      return crashes
    const now = this.now()
    const counts = new Map(crashes.map(({ fingerprint }) => [fingerprint, countedCrashes(this.history.historyOf(fingerprint), now).length]))
    return crashes
      .toSorted((a, b) => counts.get(b.fingerprint)! - counts.get(a.fingerprint)! || b.at - a.at)
      .slice(0, MAX_OWN_CRASH_REPORTS)
  }

  /** Writes this gateway's record until the ledger has its newest state. */
  private async write(): Promise<void> {
    if (this.isWriting || !this.isLedgerRead)
      return
    this.isWriting = true
    while (this.hasUnwrittenChanges)
      await this.writeOnce()
    this.isWriting = false
  }

  private async writeOnce(): Promise<void> {
    this.hasUnwrittenChanges = false
    try {
      await this.deps.ledger.publish(this.deps.name, this.ownReports)
      await wait(WRITE_INTERVAL_MS)
    }
    catch (error) {
      this.hasUnwrittenChanges = true
      this.log.writeFailed(error)
      await wait(announceBackoffMs())
    }
  }
}

/** Returns a key that identifies a report. */
function reportKey(report: CrashReport | AnswerReport): string {
  return 'backend' in report ? `${report.fingerprint} ${report.backend}` : `${report.fingerprint} ${report.at}`
}
