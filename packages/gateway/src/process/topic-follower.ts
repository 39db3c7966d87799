/**
 * Follows a compacted topic of the store: reads the latest record of each key,
 * then all further records. After a failure it resumes at its offset, with reads
 * that return at once until one succeeds, because a long-poll read of a hanging
 * store fails only at its timeout. If the store has deleted the history, which
 * does not count as a failure, it starts again from the latest records. These are
 * read in pages that do not form a consistent snapshot, so reading resumes where
 * the first page ended and skips records that later pages already superseded. If
 * the store was restored from an older snapshot, its era is higher and offsets
 * refer to different records, so it also starts again.
 *
 * The position is kept in memory: a restarted process reads the latest records
 * first.
 */
import type { TopicPosition } from '../connection/backends/revision.js'
import type { PositionedRecord, ReadRecords, TopicReader } from './keyed-topic.js'
import type { PeerView, SourceOutage } from './platform-adapter.js'
import { formatError, joinSignals, TIMEOUT_ERROR, wait } from '@eidermast/common'
import { HistoryDeletedError } from './keyed-topic.js'
import { retryBackoffMs } from './store-backoff.js'

/** An outage as observed here, without the platform's bounds. */
export type StoreOutage = Omit<SourceOutage, 'usableAfterReturnMs'>

/** Wait of reads after a failure: the store responds at once, so its recovery is detected early. */
const NO_WAIT_MS = 0
/**
 * Timeout of the first call for the latest records. A call on a connection that
 * was lost must be noticed early enough for another one before changes are due;
 * further calls have the client's timeout, in case the store is slow.
 */
const FIRST_LATEST_TIMEOUT_MS = 1000

/** Receives the records of a topic. */
export interface TopicSink {
  /** Delivers the contents of the topic up to a position; some records may be newer. */
  snapshot: (records: PositionedRecord[], end: TopicPosition) => void
  record: (record: PositionedRecord) => void
  /** Wait of a read in milliseconds; a lost read is detected only after that time. @default the client's */
  waitMs?: number
  /** Pause after each read that returned records, in milliseconds, so that further records are read in one batch. @default 0 */
  pauseMs?: number
  /** Position up to which the sink already has the topic from elsewhere. @default none */
  knownPosition?: () => TopicPosition
  /** The store does not respond; called on the first failure. */
  failed?: () => void
  /** The store answered a read with all that the topic held at `asOf` (monotonic clock, milliseconds); called before the records are delivered. */
  answered?: (asOf: number) => void
  /** The sink has all that the topic held at `asOf` (monotonic clock, milliseconds); called after the records are delivered. */
  upToDate?: (asOf: number) => void
  /** The store responds again after failures; called before the records are delivered. */
  recovered?: (outage: StoreOutage) => void
}

/** Log events of a topic. */
export interface TopicLog {
  /** The first of a series of failures, of a call that was sent `calledMs` milliseconds before. */
  storeFailed: (topic: string, error: unknown, calledMs: number) => void
  /** Calls succeed again after `failures` consecutive failures; the store did not respond for `outageMs` milliseconds. */
  storeRecovered: (topic: string, failures: number, outageMs: number) => void
  /** The store has deleted the next records; the latest ones are read again. */
  storeHistoryDeleted: (topic: string, reason: string) => void
}

/** Follows one topic. */
export class TopicFollower {
  /** Position of the next record; undefined before the latest records are read. */
  private position: TopicPosition | undefined
  /** Era of the last response; undefined before the first one. */
  private era: number | undefined
  private failures = 0
  /** Aborts the newest read, or the pause after it. */
  private lastRead = new AbortController()
  /** Whether the next read is to return at once. */
  private isRefreshing = false
  private lastError: unknown
  /** When the last call was sent, on the monotonic clock in milliseconds. */
  private calledAt = 0
  /** When the last failed call was sent. */
  private failedCallAt = 0
  /** Start of the outage; valid only while `failures` is not 0. */
  private outageStartedAt = 0
  /** Offsets of the latest records as read, until reading has passed them. */
  private latestOffsets = new Map<string, number>()

  constructor(
    private readonly store: TopicReader,
    private readonly topic: string,
    private readonly sink: TopicSink,
    private readonly log: TopicLog,
  ) {}

  /** Resolves when the signal aborts; failures are logged and retried. A read under way is repeated when peers begin to rely on those of this gateway. */
  async follow(signal: AbortSignal, peers?: Pick<PeerView, 'onUpdatingPeers'>): Promise<void> {
    peers?.onUpdatingPeers(() => this.refresh())
    while (!signal.aborted) {
      try {
        await this.readNext(signal)
        this.handleSuccess()
      }
      catch (error) {
        if (signal.aborted)
          return
        this.handleError(error)
        await wait(retryBackoffMs(this.failures))
      }
    }
  }

  /** Repeats the read under way at once and on a new connection, because it may have been lost; ends a pause between two reads. */
  refresh(): void {
    this.isRefreshing = true
    this.store.renewConnections()
    this.lastRead.abort()
  }

  private async readNext(signal: AbortSignal): Promise<void> {
    const { position } = this
    if (position === undefined)
      return this.readLatest()
    this.skipKnownRecords(position)
    const { records, era, end, waitMs = NO_WAIT_MS } = await this.read(position.offset, signal)
    if (era !== position.era)
      throw new HistoryDeletedError(`store era changed from ${position.era} to ${era}`)
    // The store answers at once if there are records, and otherwise looks for them until the wait is over. The answer may have waited here for a suspended process, or on a link that was cut.
    const asOf = records.length > 0 ? this.calledAt : Math.min(performance.now(), this.calledAt + waitMs)
    this.reportResponse(era, asOf)
    for (const record of records)
      this.deliver({ ...record, era, offset: position.offset++ })
    if (position.offset >= end)
      this.sink.upToDate?.(asOf)
    if (records.length > 0 && this.sink.pauseMs)
      await wait(this.sink.pauseMs, signal, this.lastRead.signal)
  }

  /** Reads records, again if the read is refreshed; `waitMs` is how long the store might hold it. */
  private async read(offset: number, signal: AbortSignal): Promise<ReadRecords & { waitMs: number | undefined }> {
    for (;;) {
      const waitMs = this.failures > 0 || this.isRefreshing ? NO_WAIT_MS : this.sink.waitMs
      this.isRefreshing = false
      this.lastRead = new AbortController()
      const either = joinSignals(signal, this.lastRead.signal)
      this.calledAt = performance.now()
      try {
        return { ...await this.store.read(this.topic, offset, either.signal, waitMs), waitMs }
      }
      catch (error) {
        if (signal.aborted || !this.isRefreshing)
          throw error
      }
      finally {
        either.dispose()
      }
    }
  }

  /** Skips records that the sink already has, if its position is in the same era. */
  private skipKnownRecords(position: TopicPosition): void {
    const known = this.sink.knownPosition?.()
    if (known?.era === position.era)
      position.offset = Math.max(position.offset, known.offset)
  }

  private async readLatest(): Promise<void> {
    this.calledAt = performance.now()
    const { records, end } = await this.store.readLatest(this.topic, this.failures > 0 ? undefined : FIRST_LATEST_TIMEOUT_MS)
    this.reportResponse(end.era, this.calledAt)
    this.sink.snapshot(records, end)
    this.latestOffsets = new Map(records.filter(record => record.offset >= end.offset).map(record => [record.key, record.offset]))
    this.position = { ...end }
    this.sink.upToDate?.(this.calledAt)
  }

  /** Delivers a record unless a newer one with its key was delivered before. */
  private deliver(record: PositionedRecord): void {
    const latest = this.latestOffsets.get(record.key)
    if (latest !== undefined && record.offset >= latest)
      this.latestOffsets.delete(record.key)
    if (latest === undefined || record.offset > latest)
      this.sink.record(record)
  }

  private reportResponse(era: number, asOf: number): void {
    this.sink.answered?.(asOf)
    const lostWrites = this.era !== undefined && era !== this.era
    this.era = era
    if (this.failures > 0 || lostWrites)
      this.sink.recovered?.(this.describeOutage(lostWrites))
  }

  private handleSuccess(): void {
    if (this.failures > 0)
      this.log.storeRecovered(this.topic, this.failures, performance.now() - this.outageStartedAt)
    this.failures = 0
  }

  private handleError(error: unknown): void {
    if (!(error instanceof HistoryDeletedError))
      return this.handleFailure(error)
    this.log.storeHistoryDeleted(this.topic, error.message)
    this.position = undefined
  }

  private handleFailure(error: unknown): void {
    if (this.failures === 0) {
      this.log.storeFailed(this.topic, error, performance.now() - this.calledAt)
      this.sink.failed?.()
      // The connection of a call that failed at once was alive until now; a call that timed out may have been lost since it was sent.
      this.outageStartedAt = error instanceof Error && error.name === TIMEOUT_ERROR ? this.calledAt : performance.now()
    }
    this.failures++
    this.lastError = error
    this.failedCallAt = this.calledAt
  }

  private describeOutage(lostWrites: boolean): StoreOutage {
    const now = performance.now()
    if (this.failures === 0)
      return { lastedMs: 0, mayHaveReturnedMs: now - this.calledAt, error: 'the store was restored from an older snapshot', lostWrites }
    return { lastedMs: now - this.outageStartedAt, mayHaveReturnedMs: now - this.failedCallAt, error: formatError(this.lastError), lostWrites }
  }
}
