/**
 * Follows a keyed topic of the store: the newest record of each key, then
 * every record as it comes. After a failure it resumes at its offset, with
 * reads that do not wait until one is answered: a read that a silent store has
 * taken is noticed only when its time is over. Where the store has removed the
 * history, which is an answer and no failure, it starts again with the newest
 * records. Those come in pages that are no snapshot, so that reading resumes
 * where the first page ended, without the records that later pages had newer.
 * Where the store came back from an older copy, its era has risen: offsets mean
 * other records then, and it starts again in the same way.
 *
 * It owns the place, in memory: a process that restarts reads the newest
 * records first.
 */
import type { TopicPosition } from '../connection/backends/revision.js'
import type { PlacedRecord, TopicReader } from './keyed-topic.js'
import type { SourceOutage } from './platform-adapter.js'
import { formatError, wait } from '@eidermast/common'
import { HistoryGoneError } from './keyed-topic.js'
import { retryPauseMs } from './retry-pause.js'

/** An outage as this module knows it, without the platform's bounds. */
export type StoreOutage = Omit<SourceOutage, 'usableAfterReturnMs'>

/** Milliseconds for which a read waits after a failure: the store answers at once, so that its return is noticed. */
const NO_WAIT_MS = 0
/** Name of the error of a call that was abandoned at its time limit (`AbortSignal.timeout`). */
const TIMEOUT_ERROR = 'TimeoutError'

/** Takes what a topic brings. */
export interface TopicSink {
  /** Everything that the topic holds, up to an offset; some records may be newer. */
  snapshot: (records: PlacedRecord[], end: TopicPosition) => void
  record: (record: PlacedRecord) => void
  /** How long a read waits, in milliseconds: one that is lost is noticed only then. @default the client's */
  waitMs?: number
  /** Rest after each read that brought records, in milliseconds: records that come together cost one call. @default 0 */
  restMs?: number
  /** Up to which place the sink knows the topic from elsewhere. @default none */
  known?: () => TopicPosition
  /** The store does not answer; called at the first failure. */
  failed?: () => void
  /** The store answered a read; called before what it brings. */
  answered?: () => void
  /** The store answers again after failures; called before what it brings. */
  recovered?: (outage: StoreOutage) => void
}

/** The log events of a topic. */
export interface TopicLog {
  /** The first failure of calls for a topic. */
  storeFailed: (topic: string, error: unknown) => void
  /** Calls succeed again after this many failures in a row; the store did not answer for this many milliseconds. */
  storeRecovered: (topic: string, failures: number, awayMs: number) => void
  /** The store has removed the records that were to be read next; the newest ones are read again. */
  storeHistoryGone: (topic: string, reason: string) => void
}

/** Follows one topic. */
export class TopicFollower {
  /** Place of the next record; undefined before the newest records are read. */
  private place: TopicPosition | undefined
  /** Era in which the topic was followed last; undefined before the first answer. */
  private era: number | undefined
  private failures = 0
  private lastError: unknown
  /** When the call under way, or the last one, was sent: milliseconds of the process clock. */
  private calledAt = 0
  /** When the last call that failed was sent. */
  private failedCallAt = 0
  /** Since when the store is known not to answer; meaningful after a failure. */
  private awaySince = 0
  /** Offsets of the newest records as they were read, until reading has passed them. */
  private newestOffsets = new Map<string, number>()

  constructor(
    private readonly store: TopicReader,
    private readonly topic: string,
    private readonly sink: TopicSink,
    private readonly log: TopicLog,
  ) {}

  /** Resolves when the signal aborts; failures are logged and retried. */
  async follow(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        await this.readNext(signal)
        this.noteSuccess()
      }
      catch (error) {
        if (signal.aborted)
          return
        this.noteError(error)
        await wait(retryPauseMs(this.failures))
      }
    }
  }

  private async readNext(signal: AbortSignal): Promise<void> {
    const { place } = this
    if (place === undefined)
      return this.readNewest()
    this.skipKnown(place)
    this.calledAt = performance.now()
    const { records, era } = await this.store.read(this.topic, place.offset, signal, this.failures > 0 ? NO_WAIT_MS : this.sink.waitMs)
    if (era !== place.era)
      throw new HistoryGoneError(`the store's era is ${era} and was ${place.era}`)
    this.reportAnswer(era)
    for (const record of records)
      this.take({ ...record, era, offset: place.offset++ })
    if (records.length > 0 && this.sink.restMs)
      await wait(this.sink.restMs, signal)
  }

  /** Reads on from where the sink knows the topic already, if that is a place of the same era. */
  private skipKnown(place: TopicPosition): void {
    const known = this.sink.known?.()
    if (known?.era === place.era)
      place.offset = Math.max(place.offset, known.offset)
  }

  private async readNewest(): Promise<void> {
    this.calledAt = performance.now()
    const { records, end } = await this.store.newest(this.topic)
    this.reportAnswer(end.era)
    this.sink.snapshot(records, end)
    this.newestOffsets = new Map(records.filter(record => record.offset >= end.offset).map(record => [record.key, record.offset]))
    this.place = { ...end }
  }

  /** Passes a record on, unless a newer one of its key was passed on before. */
  private take(record: PlacedRecord): void {
    const newest = this.newestOffsets.get(record.key)
    if (newest !== undefined && record.offset >= newest)
      this.newestOffsets.delete(record.key)
    if (newest === undefined || record.offset > newest)
      this.sink.record(record)
  }

  private reportAnswer(era: number): void {
    this.sink.answered?.()
    const lostWrites = this.era !== undefined && era !== this.era
    this.era = era
    if (this.failures > 0 || lostWrites)
      this.sink.recovered?.(this.describeOutage(lostWrites))
  }

  private noteSuccess(): void {
    if (this.failures > 0)
      this.log.storeRecovered(this.topic, this.failures, performance.now() - this.awaySince)
    this.failures = 0
  }

  private noteError(error: unknown): void {
    if (!(error instanceof HistoryGoneError))
      return this.noteFailure(error)
    this.log.storeHistoryGone(this.topic, error.message)
    this.place = undefined
  }

  private noteFailure(error: unknown): void {
    if (this.failures === 0) {
      this.log.storeFailed(this.topic, error)
      this.sink.failed?.()
      // The connection of a call that failed at once was alive until now; one that ran out of time may have been lost from its start.
      this.awaySince = error instanceof Error && error.name === TIMEOUT_ERROR ? this.calledAt : performance.now()
    }
    this.failures++
    this.lastError = error
    this.failedCallAt = this.calledAt
  }

  private describeOutage(lostWrites: boolean): StoreOutage {
    const now = performance.now()
    if (this.failures === 0)
      return { lastedMs: 0, mayHaveReturnedMs: now - this.calledAt, error: 'the store came back from an older copy', lostWrites }
    return { lastedMs: now - this.awaySince, mayHaveReturnedMs: now - this.failedCallAt, error: formatError(this.lastError), lostWrites }
  }
}
