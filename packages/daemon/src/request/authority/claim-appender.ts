/**
 * Appends records to the claim stream in batches and reports the result of each
 * append.
 *
 * Decides how often an append that the log rejected because of its rate limit is
 * retried: up to MAX_RATE_RETRIES times, with a delay that grows by RATE_RETRY_MS
 * each time. Any other failure is final.
 *
 * Log events: `append-refused`, `append-in-doubt` (namespace `eidermast:claim`).
 *
 * State: the records of the next batch. They are lost with the process, like the
 * requests that wait for them.
 */
import type { LogClient } from '../../version/log.js'
import type { ClaimRecord } from './claim-records.js'
import { createLogger, wait } from '@eidermast/common'
import { CallFailure } from '../../version/call-error.js'
import { CLAIM_STREAM } from './claim-records.js'

const log = createLogger('claim')

/** Called once per append with its records and the failure, if any. */
export type AppendListener = (records: readonly ClaimRecord[], failure: CallFailure | undefined) => void

/** Unit of the retry delay, long enough not to hit the rate limit of the log again; all retries together add up to 150 ms to a claim. */
const RATE_RETRY_MS = 15
/** Enough retries for a short burst of claims; bounds how long callers wait for a claim that the log keeps rejecting. */
const MAX_RATE_RETRIES = 4
/** HTTP status with which the log rejects an append because of its rate limit. */
const TOO_MANY_REQUESTS = 429

/** Appends claim records, with at most one append in flight. */
export class ClaimAppender {
  private batch: ClaimRecord[] = []
  private flushing = false

  /**
   * @param client The platform's log.
   * @param batchMs Milliseconds for which records are collected into one append.
   * @param onAppended Receives the result of each append.
   */
  constructor(private readonly client: LogClient, private readonly batchMs: number, private readonly onAppended: AppendListener) {}

  /** Adds a record to the next append. */
  add(record: ClaimRecord): void {
    this.batch.push(record)
    void this.flush()
  }

  private async flush(): Promise<void> {
    if (this.flushing)
      return
    this.flushing = true
    while (this.batch.length > 0) {
      await wait(this.batchMs)
      const records = this.batch
      this.batch = []
      const failure = await this.append(records)
      logFailure(failure, records.length)
      this.onAppended(records, failure)
    }
    this.flushing = false
  }

  private async append(records: ClaimRecord[]): Promise<CallFailure | undefined> {
    for (let retries = 0; ; retries++) {
      const appended = await this.client.append(CLAIM_STREAM, records)
      if (appended.isOk())
        return undefined
      if (appended.error.status !== TOO_MANY_REQUESTS || retries >= MAX_RATE_RETRIES)
        return appended.error.failure
      await wait(RATE_RETRY_MS * (1 + retries))
    }
  }
}

function logFailure(failure: CallFailure | undefined, claims: number): void {
  if (failure === CallFailure.NotTaken)
    log('append-refused', { claims })
  if (failure === CallFailure.InDoubt)
    log('append-in-doubt', { claims })
}
