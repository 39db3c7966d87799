/**
 * Which requests end backend servers, as all gateways together know it. A
 * request comes again at any gateway, and each end may be seen by another one:
 * every gateway reports what it sees to the platform's ledger, where the others
 * read it, and where it outlasts them all. Heartbeats tell it too, for the time
 * in which the store does not answer.
 *
 * It owns this gateway's reports and the merged history, in memory. A process
 * that starts reads all reports first, its predecessor's among them.
 */
import type { EventLog } from '@eidermast/common'
import type { Backend } from '../../connection/backends/backend.js'
import type { CrashWatch } from '../../request/crash-watch.js'
import type { CrashLedger, CrashSink } from '../platform-adapter.js'
import type { AnswerReport, CrashReport, CrashReports } from './crash-report.js'
import type { BackendCrash } from './crash-witness.js'
import { wait } from '@eidermast/common'
import { announceBackoffMs } from '../store-backoff.js'
import { CrashHistory } from './crash-history.js'
import { CrashLog } from './crash-log.js'
import { isEmptyReport, NO_REPORTS } from './crash-report.js'
import { PeerExchange } from './peer-exchange.js'
import { countedCrashes, isCovered, isQuarantined } from './quarantine.js'
import { RecentAnswers } from './recent-answers.js'

/**
 * Milliseconds between two writes of this gateway. Reports that come meanwhile
 * go together: however many crashes there are, a gateway writes twice a second.
 */
const WRITE_PAUSE_MS = 500
/** Reports of crashes in this gateway's record, some 100 bytes each. The store takes records of 256 KB. */
const MAX_OWN_CRASHES = 512

/** What the board works with. */
export interface CrashBoardParts {
  /** Name of this gateway. */
  name: string
  ledger: Pick<CrashLedger, 'publish'>
  log: EventLog
  /** Finds out whether the backend server of a broken call ended. */
  witness: Pick<CrashWatch, 'noteBroken'>
  /** Whether this gateway writes again what the ledger has lost of others' reports: one does, or the reports of gateways that are gone stay lost. */
  restoresOthers: () => boolean
  /** Epoch milliseconds. @default Date.now */
  now?: () => number
}

/** Collects reports, tells them, and answers which requests are refused. */
export class CrashBoard implements CrashWatch, CrashSink {
  private readonly history: CrashHistory
  private readonly answers = new RecentAnswers()
  /** Tells peers, and learns from them. */
  readonly peerExchange: PeerExchange
  private readonly log: CrashLog
  private readonly now: () => number
  /** This gateway's record. */
  private own: CrashReports = NO_REPORTS
  /** The ledger was read once: this gateway's record may be written without losing what its predecessor wrote. */
  private isRead = false
  private isWriting = false
  /** The ledger does not have the newest state of this gateway's record. */
  private isChanged = false

  constructor(private readonly parts: CrashBoardParts) {
    this.now = parts.now ?? Date.now
    this.history = new CrashHistory(this.now)
    this.log = new CrashLog(parts.log)
    this.peerExchange = new PeerExchange(reports => void this.learn(reports), this.now())
  }

  /** Fingerprints whose requests are refused. */
  get quarantined(): number {
    return this.history.fingerprints.filter(fingerprint => this.isRefused(fingerprint)).length
  }

  noteBroken(backend: Backend, fingerprint: string): Promise<void> {
    return this.parts.witness.noteBroken(backend, fingerprint)
  }

  noteAnswered(fingerprint: string): void {
    const at = this.now()
    this.answers.note(fingerprint, at)
    // One answer is enough to report: others that follow say nothing new.
    if (this.history.has(fingerprint) && countedCrashes(this.history.factsOf(fingerprint), at).length > 0)
      this.report({ crashes: [], answers: [{ fingerprint, at }] })
  }

  crashCount(fingerprint: string): number {
    return this.history.has(fingerprint) ? countedCrashes(this.history.factsOf(fingerprint), this.now()).length : 0
  }

  refusal(fingerprint: string): string | undefined {
    if (!this.history.has(fingerprint))
      return undefined
    const now = this.now()
    const facts = this.history.factsOf(fingerprint)
    return isQuarantined(facts, now) ? this.log.describe(countedCrashes(facts, now), now) : undefined
  }

  /** A backend server ended while requests ran there. */
  noteCrash({ backend, fingerprints }: BackendCrash): void {
    const at = this.now()
    this.report({ crashes: fingerprints.map(fingerprint => ({ fingerprint, backend: backend.life, at, gateway: this.parts.name })), answers: [] })
  }

  replaceAll(byOwner: ReadonlyMap<string, CrashReports>): void {
    for (const [owner, reports] of byOwner)
      this.applyReports(owner, reports)
    this.isRead = true
    this.restore([...byOwner.values()])
    void this.write()
  }

  applyReports(owner: string, reports: CrashReports): void {
    const news = this.learn(reports)
    if (owner === this.parts.name)
      this.addToOwn(news)
  }

  /** Reports something new that this gateway saw. */
  private report(reports: CrashReports): void {
    const news = this.learn(reports)
    if (isEmptyReport(news))
      return
    this.addToOwn(news)
    this.isChanged = true
    void this.write()
  }

  /** The ledger has lost what it had: what this gateway wrote is written again, and the rest by one of them. */
  private restore(records: readonly CrashReports[]): void {
    const kept = new Set(records.flatMap(({ crashes, answers }) => [...crashes, ...answers]).map(keyOf))
    const wanted = this.parts.restoresOthers() ? this.history.all : this.own
    const lost = {
      crashes: wanted.crashes.filter(crash => !kept.has(keyOf(crash))),
      answers: wanted.answers.filter(answer => !kept.has(keyOf(answer))),
    }
    if (isEmptyReport(lost))
      return
    this.log.reportsRestored(lost.crashes.length, lost.answers.length)
    this.addToOwn(lost)
    this.isChanged = true
  }

  /** Takes reports into the history and logs what follows; returns what was news. */
  private learn(reports: CrashReports): CrashReports {
    const news = this.history.newsIn(reports)
    if (isEmptyReport(news))
      return news
    const fingerprints = new Set([...news.crashes, ...news.answers].map(({ fingerprint }) => fingerprint))
    const refusedBefore = new Set([...fingerprints].filter(fingerprint => this.isRefused(fingerprint)))
    this.history.merge(news)
    this.peerExchange.note(news)
    this.reportKnownAnswers(news.crashes)
    for (const fingerprint of fingerprints) {
      if (this.isRefused(fingerprint) !== refusedBefore.has(fingerprint))
        this.log.quarantineChanged(fingerprint, this.refusal(fingerprint))
    }
    return news
  }

  /** A request under which a backend server ended was answered here lately: it is not the cause. */
  private reportKnownAnswers(crashes: readonly CrashReport[]): void {
    const answers = crashes.flatMap((crash): AnswerReport[] => {
      const answeredAt = this.answers.at(crash.fingerprint)
      const isNews = answeredAt !== undefined && isCovered(crash, answeredAt)
      return isNews ? [{ fingerprint: crash.fingerprint, at: answeredAt }] : []
    })
    if (answers.length > 0)
      this.report({ crashes: [], answers })
  }

  private isRefused(fingerprint: string): boolean {
    return isQuarantined(this.history.factsOf(fingerprint), this.now())
  }

  /** Adds to this gateway's record, without what the history has forgotten. */
  private addToOwn(reports: CrashReports): void {
    const crashes = [...this.own.crashes, ...reports.crashes].filter(crash => this.history.knows(crash))
    const answers = [...this.own.answers, ...reports.answers].filter(({ fingerprint }) => this.history.has(fingerprint))
    this.own = {
      crashes: this.strongest([...new Map(crashes.map(crash => [keyOf(crash), crash])).values()]),
      answers: [...new Map(answers.map(answer => [answer.fingerprint, answer])).values()],
    }
  }

  /** As many reports as a record takes; those of requests with the most crashes first, then the newest. */
  private strongest(crashes: CrashReport[]): CrashReport[] {
    if (crashes.length <= MAX_OWN_CRASHES)
      return crashes
    const now = this.now()
    const counts = new Map(crashes.map(({ fingerprint }) => [fingerprint, countedCrashes(this.history.factsOf(fingerprint), now).length]))
    return crashes
      .toSorted((a, b) => counts.get(b.fingerprint)! - counts.get(a.fingerprint)! || b.at - a.at)
      .slice(0, MAX_OWN_CRASHES)
  }

  /** Writes this gateway's record until the ledger has its newest state. */
  private async write(): Promise<void> {
    if (this.isWriting || !this.isRead)
      return
    this.isWriting = true
    while (this.isChanged)
      await this.writeOnce()
    this.isWriting = false
  }

  private async writeOnce(): Promise<void> {
    this.isChanged = false
    try {
      await this.parts.ledger.publish(this.parts.name, this.own)
      await wait(WRITE_PAUSE_MS)
    }
    catch (error) {
      this.isChanged = true
      this.log.writeFailed(error)
      await wait(announceBackoffMs())
    }
  }
}

/** Tells one report from all others. */
function keyOf(report: CrashReport | AnswerReport): string {
  return 'backend' in report ? `${report.fingerprint} ${report.backend}` : `${report.fingerprint} ${report.at}`
}
