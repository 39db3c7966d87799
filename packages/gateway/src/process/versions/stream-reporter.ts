/**
 * Reports streams that have begun to the gateways that keep their records
 * (`stream-holders.ts`). Reports to one gateway share a call; a gateway that does
 * not take its report is replaced by the next one. Owns the reports that wait for
 * their call; if the process ends, they are lost and these streams count as
 * unknown elsewhere.
 */
import type { Member } from '../../connection/peers/member.js'
import type { StreamMessage } from '../../connection/peers/stream-message.js'
import { MAX_REPORTED_STREAMS } from '../../connection/peers/stream-message.js'
import { ASKED_HOLDERS, rankHolders, REPORTED_HOLDERS } from './stream-holders.js'

/** Time that a report waits to share a call. Saves calls; a stream whose gateway is killed in this time is unknown elsewhere. */
const REPORT_DELAY_MS = 20

/** A report for one holder. */
interface PendingReport {
  stream: StreamMessage
  /** Shared by the reports of the stream. */
  replacement: Replacement
}

/** The holder that replaces the next one that does not take its report. */
interface Replacement {
  /** Its rank among the holders of the stream. */
  rank: number
}

/** What the reporter works with. */
export interface StreamReporterDependencies {
  /** The listed gateways except this one. */
  gateways: () => readonly Member[]
  send: (gateway: Member, streams: StreamMessage[]) => Promise<void>
  /** Counts streams in calls to peers. */
  countReports: (streams: number) => void
}

/** Sends reports in batches. */
export class StreamReporter {
  private readonly pending = new Map<string, PendingReport[]>()

  constructor(private readonly dependencies: StreamReporterDependencies) {}

  report(stream: StreamMessage): void {
    const replacement = { rank: REPORTED_HOLDERS }
    for (const holder of rankHolders(stream.key, this.dependencies.gateways()).slice(0, REPORTED_HOLDERS))
      this.enqueue(holder, { stream, replacement })
  }

  private enqueue(holder: Member, report: PendingReport): void {
    const waiting = this.pending.get(holder.address)
    if (waiting && waiting.length < MAX_REPORTED_STREAMS) {
      waiting.push(report)
      return
    }
    const batch = [report]
    this.pending.set(holder.address, batch)
    setTimeout(() => {
      if (this.pending.get(holder.address) === batch)
        this.pending.delete(holder.address)
      void this.send(holder, batch)
    }, REPORT_DELAY_MS)
  }

  private async send(holder: Member, batch: readonly PendingReport[]): Promise<void> {
    this.dependencies.countReports(batch.length)
    try {
      await this.dependencies.send(holder, batch.map(({ stream }) => stream))
    }
    catch {
      // The next gateway in order takes its place; it is asked as well.
      for (const report of batch)
        this.replace(report)
    }
  }

  private replace(report: PendingReport): void {
    const { stream, replacement } = report
    if (replacement.rank >= ASKED_HOLDERS)
      return
    const next = rankHolders(stream.key, this.dependencies.gateways()).at(replacement.rank++)
    if (next)
      this.enqueue(next, report)
  }
}
