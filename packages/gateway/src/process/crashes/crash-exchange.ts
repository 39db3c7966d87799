/**
 * Exchanges crash reports with peers in heartbeats and their replies, so that
 * gateways learn of crashes even if the platform's store is unavailable. Each
 * side numbers its reports and acknowledges the highest number received from the
 * other; reports that are not acknowledged are sent again with the next message.
 *
 * Owns the newest reports of this gateway, whether its own or received, and the
 * acknowledgements of each peer, in memory. The numbers of a process start at its
 * start time, and thus above those of its predecessor, so that a peer's
 * acknowledgement of the predecessor's reports never covers new ones.
 */
import type { CrashExchangeMessage } from '../../connection/peers/crash-exchange.js'
import type { CrashReports } from './crash-report.js'
import { crashExchangeSchema } from '../../connection/peers/crash-exchange.js'
import { isEmptyReport } from './crash-report.js'

/** Newest reports that are kept for peers, about 100 KB: those of two crashes of the largest engines. The store has all. */
const MAX_REPORTS = 1024

/** Reports recorded together, with their sequence number. */
interface NumberedReports {
  number: number
  reports: CrashReports
}

/** Sequence numbers exchanged with a peer. */
interface PeerState {
  /** Highest number received from the peer. */
  seen: number
  /** Highest number that the peer has received from this gateway. */
  acknowledged: number
}

/** Exchanges reports with peers, which are identified by address. */
export class CrashExchange {
  private readonly numberedReports: NumberedReports[] = []
  private readonly peers = new Map<string, PeerState>()
  private sequence: number
  /** Number of reports in `numberedReports`. */
  private keptReports = 0

  /** Takes a callback for reports of peers, and the sequence number before that of the first report. */
  constructor(private readonly onReports: (reports: CrashReports) => void, initialSequence: number) {
    this.sequence = initialSequence
  }

  /** Records reports of this gateway, its own or received, to be sent to peers. */
  note(reports: CrashReports): void {
    this.numberedReports.push({ number: ++this.sequence, reports })
    this.keptReports += countReports(reports)
    while (this.keptReports > MAX_REPORTS && this.numberedReports.length > 1)
      this.keptReports -= countReports(this.numberedReports.shift()!.reports)
  }

  /** Returns the message for a peer; undefined if there is nothing to send or acknowledge, which is the usual case. */
  messageFor(address: string): CrashExchangeMessage | undefined {
    const { seen, acknowledged } = this.stateOf(address)
    if (this.numberedReports.length === 0 && !this.peers.has(address))
      return undefined
    const reports = combine(this.numberedReports.filter(({ number }) => number > acknowledged).map(entry => entry.reports))
    return { after: acknowledged, sequence: this.sequence, seen, reports: isEmptyReport(reports) ? undefined : reports }
  }

  /** Handles a peer's message; ignores formats unknown to this release. */
  receive(address: string, message: unknown): void {
    const parsed = crashExchangeSchema.safeParse(message)
    if (!parsed.success)
      return
    const { after, sequence, seen, reports } = parsed.data
    const previouslySeen = this.stateOf(address).seen
    // A restarted peer lacks the reports that its predecessor had acknowledged. It acknowledges
    // nothing, so that they are sent again.
    this.peers.set(address, { seen: after <= previouslySeen ? sequence : previouslySeen, acknowledged: seen })
    if (reports)
      this.onReports(reports)
  }

  private stateOf(address: string): PeerState {
    return this.peers.get(address) ?? { seen: 0, acknowledged: 0 }
  }
}

function countReports({ crashes, answers }: CrashReports): number {
  return crashes.length + answers.length
}

function combine(reports: readonly CrashReports[]) {
  return {
    crashes: reports.flatMap(({ crashes }) => crashes).slice(-MAX_REPORTS),
    answers: reports.flatMap(({ answers }) => answers).slice(-MAX_REPORTS),
  }
}
