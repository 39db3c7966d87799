import type { CallError, Claim, LogClient, LogPage, LogReadOptions, LogRecord } from '@eidermast/daemon'
import type { Result } from 'ts-results-es'
import { CallFailure, CLAIM_STREAM, ClaimRegistry, ClaimResultKind, createRequestKey } from '@eidermast/daemon'
import fc from 'fast-check'
import { Err, Ok } from 'ts-results-es'
import { v7 as uuidv7 } from 'uuid'
import { describe, expect, test, vi } from 'vitest'

enum AppendFault {
  None = 'none',
  /** The append succeeds, but its acknowledgement is lost. */
  AcknowledgementLost = 'acknowledgement-lost',
  /** The append is rejected. */
  Refused = 'refused',
  /** The append times out and succeeds later, when the test completes it. */
  Delayed = 'delayed',
}

/** A log with injected append faults. */
class FaultyLog implements LogClient {
  readonly records: LogRecord[] = []
  readonly delayed: unknown[][] = []
  nextFault = AppendFault.None

  async append(_stream: string, values: unknown[]): Promise<Result<number, CallError>> {
    const fault = this.nextFault
    this.nextFault = AppendFault.None
    if (fault === AppendFault.Refused)
      return Err({ failure: CallFailure.NotTaken, message: 'refused' })
    if (fault === AppendFault.Delayed) {
      this.delayed.push(values)
      return Err({ failure: CallFailure.InDoubt, message: 'delayed' })
    }
    const offset = this.store(values)
    return fault === AppendFault.AcknowledgementLost ? Err({ failure: CallFailure.InDoubt, message: 'lost' }) : Ok(offset)
  }

  async read(options: LogReadOptions): Promise<Result<LogPage, CallError>> {
    return Ok(this.page(options.from))
  }

  async close() {}

  page(from: number): LogPage {
    return { records: this.records.slice(from), firstOffset: 0, nextOffset: this.records.length }
  }

  /** Completes the oldest delayed append. */
  completeDelayed(): void {
    const values = this.delayed.shift()
    if (values)
      this.store(values)
  }

  private store(values: unknown[]): number {
    const offset = this.records.length
    for (const value of values)
      this.records.push({ offset: this.records.length, time: 0, value })
    return offset
  }
}

/** Short read-back time-out, for tests that wait until a claim is in doubt. */
const SHORT_READ_BACK_TIMEOUT_MS = 1

function createRegistry(log: LogClient, readBackTimeoutMs = 600_000): ClaimRegistry {
  return new ClaimRegistry(log, { incarnation: uuidv7(), address: '127.0.0.1:1', batchMs: 0, retentionMs: 600_000, readBackTimeoutMs })
}

/** Waits until the log contains at least the given number of records. */
async function waitForRecords(log: FaultyLog, count: number): Promise<void> {
  await vi.waitUntil(() => log.records.length >= count, { interval: 1 })
}

const ACCOUNT = 'medidores-sur'

async function sleep(milliseconds: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, milliseconds))
}

describe('claims', () => {
  test('are won by the first one in log order, regardless of which entry claimed first', async () => {
    const log = new FaultyLog()
    const [first, second] = [createRegistry(log), createRegistry(log)]
    const requestId = uuidv7()
    const attempts = [first.claim(ACCOUNT, requestId), second.claim(ACCOUNT, requestId)]
    await waitForRecords(log, 2)
    first.apply(log.page(0))
    second.apply(log.page(0))
    const results = await Promise.all(attempts.map(attempt => attempt.result))
    expect(results.map(result => result.kind).sort()).toEqual([ClaimResultKind.Lost, ClaimResultKind.Won])
  })

  test('are not won before they are read back', async () => {
    const log = new FaultyLog()
    const registry = createRegistry(log, SHORT_READ_BACK_TIMEOUT_MS)
    const attempt = registry.claim(ACCOUNT, uuidv7())
    expect((await attempt.result).kind).toBe(ClaimResultKind.InDoubt)
  })

  test('are won when they are read back even if the acknowledgement was lost', async () => {
    const log = new FaultyLog()
    log.nextFault = AppendFault.AcknowledgementLost
    const registry = createRegistry(log)
    const attempt = registry.claim(ACCOUNT, uuidv7())
    await waitForRecords(log, 1)
    registry.apply(log.page(0))
    expect((await attempt.result).kind).toBe(ClaimResultKind.Won)
  })

  test('fail immediately if the log rejects them', async () => {
    const log = new FaultyLog()
    log.nextFault = AppendFault.Refused
    expect((await createRegistry(log).claim(ACCOUNT, uuidv7()).result).kind).toBe(ClaimResultKind.Unavailable)
  })

  test('are released when they appear in the log after they were in doubt, and another entry can win then', async () => {
    const log = new FaultyLog()
    log.nextFault = AppendFault.Delayed
    const [first, second] = [createRegistry(log, SHORT_READ_BACK_TIMEOUT_MS), createRegistry(log)]
    const requestId = uuidv7()
    expect((await first.claim(ACCOUNT, requestId).result).kind).toBe(ClaimResultKind.InDoubt)
    log.completeDelayed()
    first.apply(log.page(0))
    await waitForRecords(log, 2)
    const attempt = second.claim(ACCOUNT, requestId)
    await waitForRecords(log, 3)
    second.apply(log.page(0))
    expect((await attempt.result).kind).toBe(ClaimResultKind.Won)
  })

  test('of the same process incarnation are independent: a release ends only the claim that it names', async () => {
    const log = new FaultyLog()
    log.nextFault = AppendFault.Delayed
    const registry = createRegistry(log, SHORT_READ_BACK_TIMEOUT_MS)
    const requestId = uuidv7()
    await registry.claim(ACCOUNT, requestId).result
    log.completeDelayed()
    const again = registry.claim(ACCOUNT, requestId)
    await waitForRecords(log, 2)
    registry.apply(log.page(0))
    expect((await again.result).kind).toBe(ClaimResultKind.InDoubt)
  })

  test('are batched into one append', async () => {
    const log = new FaultyLog()
    const registry = createRegistry(log)
    let appends = 0
    const append = log.append.bind(log)
    log.append = (stream, values) => {
      expect(stream).toBe(CLAIM_STREAM)
      appends++
      return append(stream, values)
    }
    const attempts = Array.from({ length: 50 }, () => registry.claim(ACCOUNT, uuidv7()))
    await waitForRecords(log, 50)
    registry.apply(log.page(0))
    await Promise.all(attempts.map(attempt => attempt.result))
    expect(appends).toBe(1)
  })
})

describe('any sequence of claims, faults, delayed appends and reads', () => {
  enum Step { Claim = 'claim', CompleteDelayed = 'complete-delayed', Read = 'read', Sleep = 'sleep' }
  const stepArbitrary = fc.record({
    step: fc.constantFrom(Step.Claim, Step.Claim, Step.CompleteDelayed, Step.Read, Step.Read, Step.Sleep),
    entry: fc.nat(2),
    request: fc.nat(1),
    fault: fc.constantFrom(...Object.values(AppendFault)),
  })

  test('lets at most one process incarnation win a request', async () => {
    await fc.assert(fc.asyncProperty(fc.array(stepArbitrary, { minLength: 4, maxLength: 24 }), async (steps) => {
      const log = new FaultyLog()
      const entries = [0, 1, 2].map(() => ({ registry: createRegistry(log, 3), readTo: 0 }))
      const requestIds = [uuidv7(), uuidv7()]
      const wins: string[] = []
      const read = (entry: typeof entries[number]): void => {
        const page = log.page(entry.readTo)
        entry.readTo = page.nextOffset
        entry.registry.apply(page)
      }
      for (const { step, entry, request, fault } of steps) {
        const picked = entries[entry]
        if (step === Step.Claim) {
          log.nextFault = fault
          void picked.registry.claim(ACCOUNT, requestIds[request]).result.then((result) => {
            if (result.kind === ClaimResultKind.Won)
              wins.push(requestIds[request])
          })
          await sleep(1)
        }
        else if (step === Step.CompleteDelayed) {
          log.completeDelayed()
        }
        else if (step === Step.Read) {
          read(picked)
        }
        else {
          await sleep(4)
        }
      }
      while (log.delayed.length > 0)
        log.completeDelayed()
      // Reading a claim may cause a release, which is another record to read.
      while (entries.some(entry => entry.readTo < log.records.length)) {
        entries.forEach(read)
        await sleep(4)
      }
      expect(wins.length, 'wins').toBe(new Set(wins).size)
      expect(new Set(entries.map(({ registry }) => describeHolders(registry, requestIds))).size, 'all agree').toBe(1)
    }), { seed: 20261202, numRuns: 60 })
  }, 120_000)

  function describeHolders(registry: ClaimRegistry, requestIds: string[]): string {
    const holders: (Claim | undefined)[] = requestIds.map(requestId => registry.find(createRequestKey(ACCOUNT, requestId)))
    return JSON.stringify(holders)
  }
})
