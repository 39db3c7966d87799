import type { CallError, IncomingRequest, LogClient, LogPage, LogRecord } from '@eidermast/daemon'
import type { Result } from 'ts-results-es'
import { createError, ErrorKind, Ran } from '@eidermast/common'
import { CallFailure, ClaimRecordKind, ClaimRegistry, RunAuthority } from '@eidermast/daemon'
import { Err, Ok } from 'ts-results-es'
import { v7 as uuidv7 } from 'uuid'
import { beforeEach, describe, expect, test, vi } from 'vitest'

const ACCOUNT = 'medidores-sur'
const SHED = createError(ErrorKind.NoBackend, 'no backend server takes work')
const ASKED = createError(ErrorKind.OutcomeUnknown, 'the holder was asked')

/** A log that answers or does not. */
class SwitchedLog implements LogClient {
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

  /** Another entry claims a request. */
  addClaim(requestId: string): void {
    const value = { record: ClaimRecordKind.Claim, claimId: uuidv7(), account: ACCOUNT, requestId, incarnation: uuidv7(), address: '127.0.0.1:2' }
    this.records.push({ offset: this.records.length, time: 0, value })
  }
}

let log: SwitchedLog
let authority: RunAuthority
let requestId: string
let incoming: IncomingRequest
/** Whether every listed entry denies that it ran the request. */
let othersDeny: boolean

/** An entry that read the claims a moment ago and is asked for a request that it does not know. */
beforeEach(() => {
  log = new SwitchedLog()
  requestId = uuidv7()
  othersDeny = false
  const claims = new ClaimRegistry(log, { incarnation: uuidv7(), address: '127.0.0.1:1', batchMs: 0, memoryMs: 600_000, readBackTimeoutMs: 1 })
  claims.apply(log.page(0))
  authority = new RunAuthority({
    claims,
    finder: { queryHolder: async () => Err(ASKED) },
    proof: { holds: async () => othersDeny },
    claimMemoryMs: 600_000,
    log: { claimed: vi.fn() },
    metrics: { recordClaim: vi.fn() },
  } as unknown as ConstructorParameters<typeof RunAuthority>[0])
  incoming = { account: ACCOUNT, requestId, plan: { unrepeatable: true, deadlineMs: 1000 }, arrivedAt: performance.now(), callerGone: new AbortController().signal } as IncomingRequest
})

async function answer(): Promise<{ kind: ErrorKind, ran: Ran }> {
  const { kind, ran } = (await authority.answerNotRun(incoming, requestId, SHED)).unwrapErr()
  return { kind, ran }
}

describe('an unrepeatable request that is shed', () => {
  test('did not run where the log, read to its end after it came, has no claim of it', async () => {
    expect(await answer()).toEqual({ kind: ErrorKind.NoBackend, ran: Ran.None })
  })

  test('is answered by the entry that claimed it, also if that claim was not read here yet', async () => {
    log.addClaim(requestId)
    expect(await answer()).toEqual({ kind: ErrorKind.OutcomeUnknown, ran: Ran.Unknown })
  })

  test.each([
    ['is of unknown outcome where the log does not answer and not every entry denies a run', false, { kind: ErrorKind.LogUnavailable, ran: Ran.Unknown }],
    ['did not run where the log does not answer and every entry denies a run', true, { kind: ErrorKind.NoBackend, ran: Ran.None }],
  ])('%s', async (_name, denied, expected) => {
    log.answers = false
    othersDeny = denied
    expect(await answer()).toEqual(expected)
  })

  test('costs one more read of the log however many are shed at once', async () => {
    await Promise.all(Array.from({ length: 50 }, answer))
    expect(log.reads).toBeLessThanOrEqual(2)
  })
})
