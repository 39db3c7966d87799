/**
 * Claims: authority to run an unrepeatable request whose id the caller made.
 * The first claim of a request in the log's order wins, and only the process
 * life that made it runs the request. A claim has no lease that could lapse;
 * its holder may release it only if it dispatched nothing and never will.
 */
import type { LogClient, LogPage } from '../../version/log.js'
import { createLogger, formatError, wait } from '@eidermast/common'
import { v7 as uuidv7 } from 'uuid'
import { z } from 'zod'
import { createRequestKey, requestIdTime } from '../../connection/identity.js'
import { CallFailure } from '../../version/call-error.js'

const log = createLogger('claim')

/** Name of the log's stream that holds claims. */
export const CLAIM_STREAM = 'claims'

/** Kinds of records on the claim stream. */
export enum ClaimRecordKind {
  Claim = 'claim',
  Release = 'release',
}

const claimRecordSchema = z.object({
  record: z.enum(ClaimRecordKind),
  /** Identity of one claim; a release names the claim it ends. */
  claimId: z.uuid(),
  account: z.string(),
  requestId: z.uuid(),
  incarnation: z.uuid(),
  address: z.string(),
})

/** A record of the claim stream. */
export type ClaimRecord = z.infer<typeof claimRecordSchema>

/** Who holds a request's claim. */
export interface Claim {
  claimId: string
  account: string
  requestId: string
  incarnation: string
  address: string
  offset: number
}

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

interface PendingClaim {
  record: ClaimRecord
  settle: (result: ClaimResult) => void
}

const READ_WAIT_MS = 2000
const READ_LIMIT = 5000
const READ_RETRY_MS = 100
const RATE_RETRY_MS = 15
const RATE_RETRIES = 4
const TOO_MANY_REQUESTS = 429
const EXPIRY_STEP = 32

/** One entry's view of the claim stream, and its own claims. */
export class ClaimRegistry {
  private readonly claims = new Map<string, Claim>()
  /** Claims of this process life that wait to be read back, by claim id. */
  private readonly waiting = new Map<string, PendingClaim>()
  /** Claims of this process life that will never be used, by claim id. */
  private readonly abandoned = new Set<string>()
  private batch: PendingClaim[] = []
  private flushing = false
  private nextOffset = 0
  private lastReadAt: number | undefined

  constructor(private readonly client: LogClient, private readonly options: ClaimRegistryOptions, private readonly now: () => number = Date.now) {}

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
    return this.lastReadAt !== undefined && this.now() - this.lastReadAt < READ_WAIT_MS + 500
  }

  /** Who holds a request's claim, as far as this entry has read. */
  find(key: string): Claim | undefined {
    return this.claims.get(key)
  }

  /** Whether a claim of this process life will never be used. */
  isAbandoned(claim: Claim): boolean {
    return this.abandoned.has(claim.claimId)
  }

  /** Claims a request; the result comes once the log's order says who holds it. */
  claim(account: string, requestId: string): ClaimAttempt {
    const { incarnation, address } = this.options
    const claimId = uuidv7()
    const record: ClaimRecord = { record: ClaimRecordKind.Claim, claimId, account, requestId, incarnation, address }
    const result = new Promise<ClaimResult>((settle) => {
      this.batch.push({ record, settle })
      void this.flush()
    })
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

  /** Tails the claim stream until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const waitMs = this.lastReadAt === undefined ? 0 : READ_WAIT_MS
      const page = await this.client.read({ stream: CLAIM_STREAM, from: this.nextOffset, limit: READ_LIMIT, waitMs }, signal)
      if (page.isErr()) {
        await wait(READ_RETRY_MS, signal)
        continue
      }
      this.apply(page.value)
    }
  }

  /** Applies records in the log's order. */
  apply(page: LogPage): void {
    for (const { offset, value } of page.records) {
      const parsed = claimRecordSchema.safeParse(value)
      if (parsed.success)
        this.applyRecord(offset, parsed.data)
      this.nextOffset = offset + 1
    }
    this.nextOffset = Math.max(this.nextOffset, page.firstOffset)
    if (this.nextOffset >= page.nextOffset)
      this.lastReadAt = this.now()
    this.expire()
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
    const pending = this.waiting.get(claimId)
    this.waiting.delete(claimId)
    if (pending)
      return pending.settle(this.describe(won, winner))
    if (won && this.abandoned.has(claimId))
      void this.release(winner)
  }

  private describe(won: boolean, winner: Claim): ClaimResult {
    if (won)
      return { kind: ClaimResultKind.Won }
    // An abandoned claim of this process life stands before this one until its release is read.
    return this.abandoned.has(winner.claimId) ? { kind: ClaimResultKind.InDoubt } : { kind: ClaimResultKind.Lost, winner }
  }

  /** Appends gathered claims, one append under way at a time. */
  private async flush(): Promise<void> {
    if (this.flushing)
      return
    this.flushing = true
    while (this.batch.length > 0) {
      await wait(this.options.batchMs)
      const batch = this.batch
      this.batch = []
      await this.appendBatch(batch)
    }
    this.flushing = false
  }

  private async appendBatch(batch: PendingClaim[]): Promise<void> {
    for (const pending of batch)
      this.waiting.set(pending.record.claimId, pending)
    const failure = await this.append(batch.map(pending => pending.record))
    if (failure === CallFailure.NotTaken) {
      log('append-refused', { claims: batch.length })
      for (const pending of batch)
        this.giveUp(pending, ClaimResultKind.Unavailable)
      return
    }
    if (failure === CallFailure.InDoubt)
      log('append-in-doubt', { claims: batch.length })
    const timer = setTimeout(() => {
      for (const pending of batch)
        this.giveUp(pending, ClaimResultKind.InDoubt)
    }, this.options.doubtMs)
    timer.unref()
  }

  /** Appends, again where the log refused for its rate. Returns how it failed. */
  private async append(records: ClaimRecord[]): Promise<CallFailure | undefined> {
    for (let attempt = 0; ; attempt++) {
      const appended = await this.client.append(CLAIM_STREAM, records)
      if (appended.isOk())
        return undefined
      if (appended.error.status !== TOO_MANY_REQUESTS || attempt >= RATE_RETRIES)
        return appended.error.failure
      await wait(RATE_RETRY_MS * (1 + attempt))
    }
  }

  private giveUp(pending: PendingClaim, kind: ClaimResultKind.Unavailable | ClaimResultKind.InDoubt): void {
    const { claimId } = pending.record
    if (!this.waiting.delete(claimId))
      return
    // Should the claim still appear on the log, it is released then.
    if (kind === ClaimResultKind.InDoubt)
      this.abandoned.add(claimId)
    pending.settle({ kind })
  }

  /** Drops a few claims whose request ids are too old to be used again. */
  private expire(): void {
    const oldest = this.now() - this.options.memoryMs * 2
    let looked = 0
    for (const [key, claim] of this.claims) {
      if (++looked > EXPIRY_STEP)
        return
      if (requestIdTime(claim.requestId) >= oldest)
        return
      this.claims.delete(key)
      this.abandoned.delete(claim.claimId)
    }
  }
}
