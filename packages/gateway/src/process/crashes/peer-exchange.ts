/**
 * Tells peers of crashes with heartbeats and their answers, so that gateways
 * know them also while the platform's store is out. Each side numbers what it
 * learned and confirms up to which number it has the other's; what is not
 * confirmed is told again with the next message.
 *
 * It owns the newest reports that this gateway learned, from itself or others,
 * and what each peer has confirmed, in memory. The numbers of a process begin
 * at its start time, above those of the process before it, so that a peer's
 * confirmation of earlier ones is never taken for one of these.
 */
import type { CrashExchangeMessage } from '../../connection/peers/crash-exchange.js'
import type { CrashReports } from './crash-report.js'
import { crashExchangeSchema } from '../../connection/peers/crash-exchange.js'
import { isEmptyReport } from './crash-report.js'

/** Reports that are told to a peer that has none, the newest ones: some 25 KB. The store has all. */
const MAX_REPORTS = 256

/** Reports of one moment, and their number. */
interface NumberedReports {
  number: number
  reports: CrashReports
}

/** What a peer and this gateway have of each other, by number. */
interface PeerState {
  /** Up to which this gateway has the peer's. */
  seen: number
  /** Up to which the peer has this gateway's. */
  confirmed: number
}

/** Exchanges reports with peers, which are told apart by their addresses. */
export class PeerExchange {
  private readonly learned: NumberedReports[] = []
  private readonly peers = new Map<string, PeerState>()
  private sequence: number

  /** Takes what to do with a peer's reports, and a number for the first report of this process. */
  constructor(private readonly onReports: (reports: CrashReports) => void, firstNumber: number) {
    this.sequence = firstNumber
  }

  /** This gateway learned something, by itself or from others. */
  note(reports: CrashReports): void {
    this.learned.push({ number: ++this.sequence, reports })
    if (this.learned.length > MAX_REPORTS)
      this.learned.shift()
  }

  /** What is told to a peer; undefined where there is nothing to tell or to confirm, which is most of the time. */
  messageFor(address: string): CrashExchangeMessage | undefined {
    const { seen, confirmed } = this.stateOf(address)
    if (this.learned.length === 0 && !this.peers.has(address))
      return undefined
    const reports = combine(this.learned.filter(({ number }) => number > confirmed).map(entry => entry.reports))
    return { after: confirmed, sequence: this.sequence, seen, reports: isEmptyReport(reports) ? undefined : reports }
  }

  /** Takes what a peer told; a form that this release does not know tells nothing. */
  take(address: string, message: unknown): void {
    const parsed = crashExchangeSchema.safeParse(message)
    if (!parsed.success)
      return
    const { after, sequence, seen, reports } = parsed.data
    const before = this.stateOf(address).seen
    // A process that started lacks what its predecessor has confirmed, and says so by confirming nothing.
    this.peers.set(address, { seen: after <= before ? sequence : before, confirmed: seen })
    if (reports)
      this.onReports(reports)
  }

  private stateOf(address: string): PeerState {
    return this.peers.get(address) ?? { seen: 0, confirmed: 0 }
  }
}

function combine(reports: readonly CrashReports[]) {
  return {
    crashes: reports.flatMap(({ crashes }) => crashes).slice(-MAX_REPORTS),
    answers: reports.flatMap(({ answers }) => answers).slice(-MAX_REPORTS),
  }
}
