/**
 * Appends records to the claim stream, those of a short time in one append, and
 * reports what became of each append.
 *
 * Decides how often an append that the log refused for its rate is made again:
 * MAX_RATE_RETRIES times, each wait RATE_RETRY_MS longer than the one before;
 * any other failure is final. Constants: see below; neither was measured apart.
 * Log events: `append-refused`, `append-in-doubt` (namespace `eidermast:claim`).
 *
 * State: records that wait for the next append; lost with the process, like the
 * requests that wait for them.
 */
import type { LogClient } from '../../version/log.js'
import type { ClaimRecord } from './claim-records.js'
import { createLogger, wait } from '@eidermast/common'
import { CallFailure } from '../../version/call-error.js'
import { CLAIM_STREAM } from './claim-records.js'

const log = createLogger('claim')

/** Called once for each append with its records and how it failed, if it did. */
export type AppendListener = (records: readonly ClaimRecord[], failure: CallFailure | undefined) => void

/** Milliseconds. Half meets the log's rate limit again, twice adds up to 150 ms to a claim under it. */
const RATE_RETRY_MS = 15
/** Appends after the first. Half refuses claims in a short burst, twice holds callers for up to 0.5 s. */
const MAX_RATE_RETRIES = 4
/** HTTP status with which the log refuses for its rate. */
const TOO_MANY_REQUESTS = 429

/** Appends claims, one append under way at a time. */
export class ClaimAppender {
  private batch: ClaimRecord[] = []
  private flushing = false

  /**
   * @param client The platform's log.
   * @param batchMs Milliseconds for which claims gather into one append.
   * @param onAppended Receives the end of each append.
   */
  constructor(private readonly client: LogClient, private readonly batchMs: number, private readonly onAppended: AppendListener) {}

  /** Puts a record into the next append. */
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
