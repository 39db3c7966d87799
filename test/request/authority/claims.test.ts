import type { CallError, Claim, LogClient, LogPage, LogReadOptions, LogRecord } from '@eidermast/daemon'
import type { Result } from 'ts-results-es'
import { CallFailure, CLAIM_STREAM, ClaimRegistry, ClaimResultKind, createRequestKey } from '@eidermast/daemon'
import fc from 'fast-check'
import { Err, Ok } from 'ts-results-es'
import { v7 as uuidv7 } from 'uuid'
import { describe, expect, test, vi } from 'vitest'

enum AppendFault {
  None = 'none',
  /** Taken, and the acknowledgement is lost. */
  AcknowledgementLost = 'acknowledgement-lost',
  /** Not taken, and said so. */
  Refused = 'refused',
  /** Neither taken nor refused now; lands when the test says. */
  Delayed = 'delayed',
}

/** A log whose appends fail as the test says. */
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

  /** Lets the oldest delayed append land. */
  land(): void {
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

/** Milliseconds after which a claim that is not read back is in doubt, for tests that wait for that. */
const SHORT_DOUBT_MS = 1

function createRegistry(log: LogClient, doubtMs = 600_000): ClaimRegistry {
  return new ClaimRegistry(log, { incarnation: uuidv7(), address: '127.0.0.1:1', batchMs: 0, memoryMs: 600_000, readBackTimeoutMs: doubtMs })
}

/** Waits until the log holds a number of records. */
async function holds(log: FaultyLog, count: number): Promise<void> {
  await vi.waitUntil(() => log.records.length >= count, { interval: 1 })
}

const ACCOUNT = 'medidores-sur'

async function settle(milliseconds: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, milliseconds))
}

describe('claims', () => {
  test('are won by the first in the log\'s order, whoever asked first', async () => {
    const log = new FaultyLog()
    const [first, second] = [createRegistry(log), createRegistry(log)]
    const requestId = uuidv7()
    const attempts = [first.claim(ACCOUNT, requestId), second.claim(ACCOUNT, requestId)]
    await holds(log, 2)
    first.apply(log.page(0))
    second.apply(log.page(0))
    const results = await Promise.all(attempts.map(attempt => attempt.result))
    expect(results.map(result => result.kind).sort()).toEqual([ClaimResultKind.Lost, ClaimResultKind.Won])
  })

  test('are not won before they are read back', async () => {
    const log = new FaultyLog()
    const registry = createRegistry(log, SHORT_DOUBT_MS)
    const attempt = registry.claim(ACCOUNT, uuidv7())
    expect((await attempt.result).kind).toBe(ClaimResultKind.InDoubt)
  })

  test('are won in spite of a lost acknowledgement once they are read back', async () => {
    const log = new FaultyLog()
    log.nextFault = AppendFault.AcknowledgementLost
    const registry = createRegistry(log)
    const attempt = registry.claim(ACCOUNT, uuidv7())
    await holds(log, 1)
    registry.apply(log.page(0))
    expect((await attempt.result).kind).toBe(ClaimResultKind.Won)
  })

  test('say at once that the log took nothing', async () => {
    const log = new FaultyLog()
    log.nextFault = AppendFault.Refused
    expect((await createRegistry(log).claim(ACCOUNT, uuidv7()).result).kind).toBe(ClaimResultKind.Unavailable)
  })

  test('are released when they land after they were in doubt, and another may win then', async () => {
    const log = new FaultyLog()
    log.nextFault = AppendFault.Delayed
    const [first, second] = [createRegistry(log, SHORT_DOUBT_MS), createRegistry(log)]
    const requestId = uuidv7()
    expect((await first.claim(ACCOUNT, requestId).result).kind).toBe(ClaimResultKind.InDoubt)
    log.land()
    first.apply(log.page(0))
    await holds(log, 2)
    const attempt = second.claim(ACCOUNT, requestId)
    await holds(log, 3)
    second.apply(log.page(0))
    expect((await attempt.result).kind).toBe(ClaimResultKind.Won)
  })

  test('of one process life do not stand in for one another: a release ends only the claim that it names', async () => {
    const log = new FaultyLog()
    log.nextFault = AppendFault.Delayed
    const registry = createRegistry(log, SHORT_DOUBT_MS)
    const requestId = uuidv7()
    await registry.claim(ACCOUNT, requestId).result
    log.land()
    const again = registry.claim(ACCOUNT, requestId)
    await holds(log, 2)
    registry.apply(log.page(0))
    expect((await again.result).kind).toBe(ClaimResultKind.InDoubt)
  })

  test('write many claims with one append', async () => {
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
    await holds(log, 50)
    registry.apply(log.page(0))
    await Promise.all(attempts.map(attempt => attempt.result))
    expect(appends).toBe(1)
  })
})

describe('any order of claims, faults, landings and readings', () => {
  enum Step { Claim = 'claim', Land = 'land', Read = 'read', Settle = 'settle' }
  const stepArbitrary = fc.record({
    step: fc.constantFrom(Step.Claim, Step.Claim, Step.Land, Step.Read, Step.Read, Step.Settle),
    entry: fc.nat(2),
    request: fc.nat(1),
    fault: fc.constantFrom(...Object.values(AppendFault)),
  })

  test('lets at most one process life win a request', async () => {
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
          await settle(1)
        }
        else if (step === Step.Land) {
          log.land()
        }
        else if (step === Step.Read) {
          read(picked)
        }
        else {
          await settle(4)
        }
      }
      while (log.delayed.length > 0)
        log.land()
      // Reading may bring releases, which are records to read in turn.
      while (entries.some(entry => entry.readTo < log.records.length)) {
        entries.forEach(read)
        await settle(4)
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
