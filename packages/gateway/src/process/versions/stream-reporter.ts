/**
 * Reports streams that have begun to the gateways that keep their records
 * (`stream-holders.ts`). Reports to one gateway share a call; a gateway that does
 * not take its report is replaced by the next one, and one that starts again gets
 * all its reports again. Owns the reports that wait for their call, and a list of
 * those that were sent, for the life of a stream; if the process ends, both are
 * lost, and streams that were not reported count as unknown elsewhere.
 */
import type { Member } from '../../connection/peers/member.js'
import type { StreamMessage } from '../../connection/peers/stream-message.js'
import { MAX_REPORTED_STREAMS } from '../../connection/peers/stream-message.js'
import { ASKED_HOLDERS, rankHolders, REPORTED_HOLDERS } from './stream-holders.js'
import { StreamMemory } from './stream-memory.js'

/** Time that a report waits to share a call. Saves calls; a stream whose gateway is killed in this time is unknown elsewhere. */
const REPORT_DELAY_MS = 20
/** Streams for which the reports to one gateway can be repeated; the oldest are forgotten first. */
const MAX_REPEATED_STREAMS = 2000
/** Time over which gateways spread what they report to one that starts again, so that it is not called by all of them at once. */
const REPEAT_SPREAD_MS = 300

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
  /** Longest life of a stream of any service, in milliseconds. */
  longestLifeMs: () => number
  /** Counts streams in calls to peers. */
  countReports: (streams: number) => void
}

/** Sends reports in batches. */
export class StreamReporter {
  /** Reports that wait for their call, by the address of the gateway. */
  private readonly pending = new Map<string, PendingReport[]>()
  /** Streams that were reported, by the name of the gateway. */
  private readonly reported = new Map<string, StreamMemory>()

  constructor(private readonly dependencies: StreamReporterDependencies) {}

  report(stream: StreamMessage): void {
    this.expire()
    const replacement = { rank: REPORTED_HOLDERS }
    for (const holder of rankHolders(stream.key, this.dependencies.gateways()).slice(0, REPORTED_HOLDERS))
      this.reportTo(holder, { stream, replacement })
  }

  /** Reports to a gateway that starts again what was reported to its last process. */
  repeatTo(gateway: Member): void {
    this.expire()
    const reported = this.reported.get(gateway.name)
    if (!reported)
      return
    setTimeout(() => {
      for (const stream of reported.entries())
        this.enqueue(gateway, { stream, replacement: { rank: REPORTED_HOLDERS } })
    }, Math.random() * REPEAT_SPREAD_MS)
  }

  private reportTo(holder: Member, report: PendingReport): void {
    const { key, version } = report.stream
    const reported = this.reported.get(holder.name) ?? new StreamMemory(MAX_REPEATED_STREAMS)
    this.reported.set(holder.name, reported)
    reported.record(key, version, performance.now())
    this.enqueue(holder, report)
  }

  /** Forgets the streams that have ended by now. */
  private expire(): void {
    const lifeMs = this.dependencies.longestLifeMs()
    const now = performance.now()
    for (const [name, streams] of this.reported) {
      streams.expire(lifeMs, now)
      if (streams.size === 0)
        this.reported.delete(name)
    }
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
      this.reportTo(next, report)
  }
}
