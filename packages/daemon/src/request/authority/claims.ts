/**
 * Decides which process life may run an unrepeatable request whose id the
 * caller made.
 *
 * Inputs: the claim stream of the platform's log in the log's order, as far as
 * this entry has read it (at most CURRENT_MS old, or it is not used to run
 * anything); what became of this entry's own appends.
 * Rule: the first claim of a request in the log's order wins, and only the
 * process life that made it runs the request. It knows that it has won when it
 * reads its own claim back, never from the acknowledgement. A claim has no lease
 * that could lapse; its holder may release it only if it dispatched nothing and
 * never will.
 * Why: with a lease, a paused holder would run a request that another took over.
 * The read-back settles every lost acknowledgement, and the id of the claim
 * keeps a late release from ending a newer claim of the same entry.
 * Log events: `claim` (decisions of a request), `release`, `append-refused`,
 * `append-in-doubt`, `log-unreadable`, `record-unreadable` (namespace
 * `eidermast:claim`).
 *
 * State: the claims of the last `memoryMs` and this entry's claims in doubt, in
 * memory; a restarted entry reads the stream again, and the requests of the old
 * process life stay claimed by it, so that they never run twice.
 */
import type { LogClient, LogPage } from '../../version/log.js'
import type { Claim, ClaimRecord } from './claim-records.js'
import { createLogger, formatError, wait } from '@eidermast/common'
import { v7 as uuidv7 } from 'uuid'
import { createRequestKey, requestIdTime } from '../../connection/identity.js'
import { CallFailure } from '../../version/call-error.js'
import { ClaimAppender } from './claim-appender.js'
import { CLAIM_STREAM, ClaimRecordKind, claimRecordSchema } from './claim-records.js'

const log = createLogger('claim')

/** How a claim ended. */
export enum ClaimResultKind {
  /** This process life holds the claim. */
  Won = 'won',
  /** Another process life came first. */
  Lost = 'lost',
  /** The log took no claim. */
  Unavailable = 'unavailable',
  /** The log may have taken the claim and did not say so in time. */
  InDoubt = 'in-doubt',
}

/** The end of a claim. */
export type ClaimResult
  = { kind: ClaimResultKind.Won }
    | { kind: ClaimResultKind.Lost, winner: Claim }
    | { kind: ClaimResultKind.Unavailable | ClaimResultKind.InDoubt }

/** A claim that is being made. */
export interface ClaimAttempt {
  claimId: string
  result: Promise<ClaimResult>
}

/** Options of a claim registry. */
export interface ClaimRegistryOptions {
  incarnation: string
  /** This entry's address between processes. */
  address: string
  /** Milliseconds for which claims gather into one append. */
  batchMs: number
  /** Milliseconds for which claims are remembered, by the time in the request id. */
  memoryMs: number
  /** Milliseconds that an unacknowledged claim is waited for. */
  doubtMs: number
}

/** Milliseconds for which the log may hold a read open. Half doubles the idle reads of the log. */
const READ_WAIT_MS = 2000
/** Milliseconds since the stream was last read to its end: one read that found nothing, and 500 ms for its answer. */
const CURRENT_MS = READ_WAIT_MS + 500
/** Records a read. Half doubles the reads of a starting entry, twice doubles the size of each answer. */
const READ_LIMIT = 5000
/** Milliseconds after a read that failed. Half asks a log that is out twice as often, twice finds it back later. */
const READ_RETRY_MS = 100
/** Claims looked at for each page read, so that expiry never stalls the process. Fewer than arrive would leave old ones. */
const MAX_EXPIRY_STEPS = 32
/** Claims are kept for this many times `memoryMs`: an id may be that old when it comes, and its repeat as much older. */
const MEMORY_FACTOR = 2

/** One entry's view of the claim stream, and its own claims. */
export class ClaimRegistry {
  private readonly claims = new Map<string, Claim>()
  /** Claims of this process life that wait to be read back, by claim id. */
  private readonly waiting = new Map<string, (result: ClaimResult) => void>()
  /** Claims of this process life that will never be used, by claim id. */
  private readonly abandoned = new Set<string>()
  private readonly appender: ClaimAppender
  private nextOffset = 0
  /** A read of the stream that `catchUp` has begun. */
  private catchUpUnderWay: Promise<boolean> | undefined
  /** A read that begins when that one has ended; all who ask meanwhile share it. */
  private nextCatchUp: Promise<boolean> | undefined
  private lastReadAt: number | undefined

  constructor(
    private readonly client: LogClient,
    private readonly options: ClaimRegistryOptions,
    private readonly now: () => number = Date.now,
  ) {
    this.appender = new ClaimAppender(client, options.batchMs, (records, failure) => this.takeAppended(records, failure))
  }

  /** Number of claims remembered. */
  get size(): number {
    return this.claims.size
  }

  /** When the claim stream was last read to its end, in epoch milliseconds. */
  get readAt(): number | undefined {
    return this.lastReadAt
  }

  /** Whether the claim stream was read to its end a short while ago. */
  get current(): boolean {
    return this.lastReadAt !== undefined && this.now() - this.lastReadAt < CURRENT_MS
  }

  /** Who holds a request's claim, as far as this entry has read. */
  find(key: string): Claim | undefined {
    return this.claims.get(key)
  }

  /** Whether a claim of this process life will never be used. */
  isAbandoned(claim: Claim): boolean {
    return this.abandoned.has(claim.claimId)
  }

  /** Tails the claim stream until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const waitMs = this.lastReadAt === undefined ? 0 : READ_WAIT_MS
      const page = await this.client.read({ stream: CLAIM_STREAM, from: this.nextOffset, limit: READ_LIMIT, waitMs }, signal)
      if (page.isOk()) {
        this.apply(page.value)
        continue
      }
      if (!signal.aborted)
        log('log-unreadable', { error: formatError(page.error) })
      await wait(READ_RETRY_MS, signal)
    }
  }

  /**
   * Reads the stream to its end, beginning now; false where the log does not
   * answer. Unlike `current`, it knows every claim that the log had taken when
   * it was called: a process that was frozen has read nothing meanwhile.
   */
  catchUp(): Promise<boolean> {
    if (!this.catchUpUnderWay)
      return this.beginCatchUp()
    this.nextCatchUp ??= this.catchUpUnderWay.then(() => {
      this.nextCatchUp = undefined
      return this.beginCatchUp()
    })
    return this.nextCatchUp
  }

  /** Claims a request; the result comes once the log's order says who holds it. */
  claim(account: string, requestId: string): ClaimAttempt {
    const { incarnation, address } = this.options
    const claimId = uuidv7()
    const result = new Promise<ClaimResult>(settle => this.waiting.set(claimId, settle))
    this.appender.add({ record: ClaimRecordKind.Claim, claimId, account, requestId, incarnation, address })
    return { claimId, result }
  }

  /** Releases a claim under which this process life dispatched nothing and never will. */
  async release(claim: Pick<Claim, 'claimId' | 'account' | 'requestId'>): Promise<void> {
    this.abandoned.add(claim.claimId)
    const { incarnation, address } = this.options
    const { claimId, account, requestId } = claim
    const record: ClaimRecord = { record: ClaimRecordKind.Release, claimId, account, requestId, incarnation, address }
    const appended = await this.client.append(CLAIM_STREAM, [record])
    log('release', { request: requestId, result: appended.isOk() ? 'appended' : formatError(appended.error) })
  }

  /** Applies records in the log's order. */
  apply(page: LogPage): void {
    for (const { offset, value } of page.records) {
      // Two reads may be under way; what one of them brought is not applied again.
      if (offset < this.nextOffset)
        continue
      const parsed = claimRecordSchema.safeParse(value)
      if (parsed.success)
        this.applyRecord(offset, parsed.data)
      else
        log('record-unreadable', { offset })
      this.nextOffset = offset + 1
    }
    this.nextOffset = Math.max(this.nextOffset, page.firstOffset)
    if (this.nextOffset >= page.nextOffset)
      this.lastReadAt = this.now()
    this.expire()
  }

  private beginCatchUp(): Promise<boolean> {
    this.catchUpUnderWay = this.readToEnd().finally(() => {
      this.catchUpUnderWay = undefined
    })
    return this.catchUpUnderWay
  }

  private async readToEnd(): Promise<boolean> {
    for (;;) {
      const page = await this.client.read({ stream: CLAIM_STREAM, from: this.nextOffset, limit: READ_LIMIT, waitMs: 0 })
      if (page.isErr())
        return false
      this.apply(page.value)
      if (this.nextOffset >= page.value.nextOffset)
        return true
    }
  }

  private applyRecord(offset: number, record: ClaimRecord): void {
    const key = createRequestKey(record.account, record.requestId)
    const holder = this.claims.get(key)
    if (record.record === ClaimRecordKind.Release) {
      if (holder?.claimId === record.claimId)
        this.claims.delete(key)
      return
    }
    const { claimId, account, requestId, incarnation, address } = record
    const winner = holder ?? { claimId, account, requestId, incarnation, address, offset }
    this.claims.set(key, winner)
    this.settle(claimId, winner)
  }

  /** A claim that is read back settles the one that waits for it. */
  private settle(claimId: string, winner: Claim): void {
    const won = winner.claimId === claimId
    const settle = this.waiting.get(claimId)
    this.waiting.delete(claimId)
    if (settle)
      settle(this.describe(won, winner))
    else if (won && this.abandoned.has(claimId))
      void this.release(winner)
  }

  private describe(won: boolean, winner: Claim): ClaimResult {
    if (won)
      return { kind: ClaimResultKind.Won }
    // An abandoned claim of this process life stands before this one until its release is read.
    return this.abandoned.has(winner.claimId) ? { kind: ClaimResultKind.InDoubt } : { kind: ClaimResultKind.Lost, winner }
  }

  /** Claims that were refused end at once; the others wait to be read back, for a time. */
  private takeAppended(records: readonly ClaimRecord[], failure: CallFailure | undefined): void {
    const end = (kind: ClaimResultKind.Unavailable | ClaimResultKind.InDoubt): void => {
      for (const { claimId } of records)
        this.stopWaiting(claimId, kind)
    }
    if (failure === CallFailure.NotTaken)
      return end(ClaimResultKind.Unavailable)
    const timer = setTimeout(() => end(ClaimResultKind.InDoubt), this.options.doubtMs)
    timer.unref()
  }

  private stopWaiting(claimId: string, kind: ClaimResultKind.Unavailable | ClaimResultKind.InDoubt): void {
    const settle = this.waiting.get(claimId)
    if (!settle)
      return
    this.waiting.delete(claimId)
    // Should the claim still appear on the log, it is released then.
    if (kind === ClaimResultKind.InDoubt)
      this.abandoned.add(claimId)
    settle({ kind })
  }

  /** Drops a few claims whose request ids are too old to be used again. */
  private expire(): void {
    const oldest = this.now() - this.options.memoryMs * MEMORY_FACTOR
    let steps = 0
    for (const [key, claim] of this.claims) {
      if (++steps > MAX_EXPIRY_STEPS || requestIdTime(claim.requestId) >= oldest)
        return
      this.claims.delete(key)
      this.abandoned.delete(claim.claimId)
    }
  }
}
