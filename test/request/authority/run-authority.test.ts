import type { CallError, IncomingRequest, LogClient, LogPage, LogRecord } from '@eidermast/daemon'
import type { Result } from 'ts-results-es'
import { createError, ErrorKind, Ran } from '@eidermast/common'
import { CallFailure, ClaimRecordKind, ClaimRegistry, RunAuthority } from '@eidermast/daemon'
import { Err, Ok } from 'ts-results-es'
import { v7 as uuidv7 } from 'uuid'
import { beforeEach, describe, expect, test, vi } from 'vitest'

const ACCOUNT = 'medidores-sur'
const SHED = createError(ErrorKind.NoBackend, 'no backend server accepts work')
const HOLDER_QUERIED = createError(ErrorKind.OutcomeUnknown, 'the holder was queried')

/** A log that can be made unavailable. */
class FakeLog implements LogClient {
  readonly records: LogRecord[] = []
  answers = true
  reads = 0

  async append(): Promise<Result<number, CallError>> {
    return Err({ failure: CallFailure.NotTaken, message: 'not used' })
  }

  async read({ from }: { from: number }): Promise<Result<LogPage, CallError>> {
    this.reads++
    return this.answers ? Ok(this.page(from)) : Err({ failure: CallFailure.NotTaken, message: 'out' })
  }

  async close() {}

  page(from: number): LogPage {
    return { records: this.records.slice(from), firstOffset: 0, nextOffset: this.records.length }
  }

  /** Adds a claim of another entry. */
  addClaim(requestId: string): void {
    const value = { record: ClaimRecordKind.Claim, claimId: uuidv7(), account: ACCOUNT, requestId, incarnation: uuidv7(), address: '127.0.0.1:2' }
    this.records.push({ offset: this.records.length, time: 0, value })
  }
}

let log: FakeLog
let authority: RunAuthority
let requestId: string
let incoming: IncomingRequest
/** Whether all listed entries answer that they did not run the request. */
let othersReportNotRun: boolean

/** Sets up an entry with a current view of the claims and a request that it does not know. */
beforeEach(() => {
  log = new FakeLog()
  requestId = uuidv7()
  othersReportNotRun = false
  const claims = new ClaimRegistry(log, { incarnation: uuidv7(), address: '127.0.0.1:1', batchMs: 0, retentionMs: 600_000, readBackTimeoutMs: 1 })
  claims.apply(log.page(0))
  authority = new RunAuthority({
    claims,
    finder: { queryHolder: async () => Err(HOLDER_QUERIED) },
    proof: { holds: async () => othersReportNotRun },
    claimRetentionMs: 600_000,
    log: { claimed: vi.fn() },
    metrics: { recordClaim: vi.fn() },
  } as unknown as ConstructorParameters<typeof RunAuthority>[0])
  incoming = { account: ACCOUNT, requestId, plan: { unrepeatable: true, deadlineMs: 1000 }, arrivedAt: performance.now(), callerSignal: new AbortController().signal } as IncomingRequest
})

async function answer(): Promise<{ kind: ErrorKind, ran: Ran }> {
  const { kind, ran } = (await authority.answerNotRun(incoming, requestId, SHED)).unwrapErr()
  return { kind, ran }
}

describe('a shed unrepeatable request', () => {
  test('is reported as not run if the log, read to its end after the request arrived, contains no claim of it', async () => {
    expect(await answer()).toEqual({ kind: ErrorKind.NoBackend, ran: Ran.None })
  })

  test('is answered by the entry that claimed it, even if the claim had not been read here', async () => {
    log.addClaim(requestId)
    expect(await answer()).toEqual({ kind: ErrorKind.OutcomeUnknown, ran: Ran.Unknown })
  })

  test.each([
    ['has an unknown outcome if the log is unavailable and not all entries answer that they did not run it', false, { kind: ErrorKind.LogUnavailable, ran: Ran.Unknown }],
    ['is reported as not run if the log is unavailable and all entries answer that they did not run it', true, { kind: ErrorKind.NoBackend, ran: Ran.None }],
  ])('%s', async (_name, reportNotRun, expected) => {
    log.answers = false
    othersReportNotRun = reportNotRun
    expect(await answer()).toEqual(expected)
  })

  test('shares one additional read of the log with others that are shed at the same time', async () => {
    await Promise.all(Array.from({ length: 50 }, answer))
    expect(log.reads).toBeLessThanOrEqual(2)
  })
})
