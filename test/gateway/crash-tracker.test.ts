import type { CrashReports } from '@eidermast/gateway'
import { CrashTracker } from '@eidermast/gateway'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { createBackend, createLog } from './support/fakes.js'

/** Time within which trackers have written and exchanged their reports. */
const EXCHANGE_MS = 1500

/** An in-memory ledger shared by several trackers, which can lose its records. */
class FakeLedger {
  records = new Map<string, CrashReports>()
  isUnavailable = false
  writes = 0
  private readonly trackers: CrashTracker[] = []

  follow(tracker: CrashTracker): void {
    this.trackers.push(tracker)
    tracker.replaceAll(this.records)
  }

  async publish(owner: string, reports: CrashReports): Promise<void> {
    this.writes++
    if (this.isUnavailable)
      throw new Error('the ledger is unavailable')
    this.records.set(owner, reports)
    this.trackers.forEach(tracker => tracker.applyReports(owner, reports))
  }

  /** Restores an older snapshot of the records. */
  lose(records = new Map<string, CrashReports>()): void {
    this.records = records
    this.trackers.forEach(tracker => tracker.replaceAll(this.records))
  }
}

let ledger: FakeLedger

function createTracker(name: string, { follows = true, restoresOthers = false } = {}) {
  const { log, lines } = createLog()
  const tracker = new CrashTracker({ name, ledger, log, detector: { noteBroken: async () => {} }, restoresOthers: () => restoresOthers, startsTrials: () => restoresOthers })
  if (follows)
    ledger.follow(tracker)
  return { tracker, lines }
}

function crash(tracker: CrashTracker, backend: string, ...fingerprints: string[]): void {
  tracker.noteCrash({ backend: createBackend({ id: backend }), fingerprints })
}

beforeEach(() => {
  vi.useFakeTimers()
  ledger = new FakeLedger()
})

afterEach(() => void vi.useRealTimers())

describe('gateways that each saw one crash of a backend server', () => {
  test('all refuse the request present at all three crashes, and no other', async () => {
    const trackers = ['a', 'b', 'c'].map(name => createTracker(name).tracker)
    trackers.forEach((tracker, index) => crash(tracker, `plain-${index}`, 'cause', `unrelated-${index}`))
    await vi.advanceTimersByTimeAsync(EXCHANGE_MS)
    for (const tracker of trackers) {
      expect(tracker.refusal(['cause'])).toContain('ended 3 backend servers')
      expect(tracker.refusal(['unrelated-0'])).toBeUndefined()
      expect(tracker.quarantined).toBe(1)
    }
  })

  test('describe the crashes that led to a quarantine, with observer and age', async () => {
    const { tracker, lines } = createTracker('a')
    const other = createTracker('b').tracker
    crash(other, 'plain-0', 'cause')
    await vi.advanceTimersByTimeAsync(2000)
    crash(tracker, 'plain-1', 'cause')
    crash(tracker, 'plain-2', 'cause')
    expect(tracker.refusal(['cause'])).toContain('plain-0 2.0 s ago, seen by b')
    expect(lines.filter(({ event }) => event === 'quarantine')).toMatchObject([{ fingerprint: 'cause' }])
  })

  test('count two processes with the same id as two, if the backend server reports its start', () => {
    const { tracker } = createTracker('a')
    for (const born of [1, 2, 3])
      tracker.noteCrash({ backend: createBackend({ id: 'plain-a', born }), fingerprints: ['cause'] })
    expect(tracker.refusal(['cause'])).toBeDefined()
  })
})

describe('requests that share a fingerprint', () => {
  test('are not refused if backend servers crash together, because others were answered at another gateway', async () => {
    const answering = createTracker('a').tracker
    const tracker = createTracker('b').tracker
    answering.noteAnswered(['shared'])
    for (const backend of ['plain-0', 'plain-1', 'plain-2'])
      crash(tracker, backend, 'shared')
    await vi.advanceTimersByTimeAsync(EXCHANGE_MS)
    expect(tracker.refusal(['shared'])).toBeUndefined()
    expect(answering.refusal(['shared'])).toBeUndefined()
  })

  test('are accepted again by all gateways once one in flight is answered', async () => {
    const trackers = ['a', 'b'].map(name => createTracker(name).tracker)
    for (const backend of ['plain-0', 'plain-1', 'plain-2'])
      crash(trackers[0], backend, 'shared')
    await vi.advanceTimersByTimeAsync(EXCHANGE_MS)
    expect(trackers[1].refusal(['shared'])).toBeDefined()
    trackers[1].noteAnswered(['shared'])
    await vi.advanceTimersByTimeAsync(EXCHANGE_MS)
    expect(trackers.map(tracker => tracker.refusal(['shared']))).toEqual([undefined, undefined])
  })

  test('cause one write, regardless of the number of answers', async () => {
    const { tracker } = createTracker('a')
    crash(tracker, 'plain-0', 'shared')
    for (let number = 0; number < 100; number++) {
      tracker.noteAnswered(['shared'])
      await vi.advanceTimersByTimeAsync(100)
    }
    expect(ledger.writes).toBeLessThanOrEqual(2)
  })
})

describe('requests that share a part of their prompts', () => {
  const CRASH_INTERVAL_MS = 500

  /** Lets backend servers crash one after the other, each seen by one of the trackers. */
  async function crashRepeatedly(trackers: readonly CrashTracker[], fingerprintsOf: (number: number) => string[]): Promise<void> {
    for (let number = 0; number < 4; number++) {
      crash(trackers[number % trackers.length], `engine-${number}`, ...fingerprintsOf(number))
      await vi.advanceTimersByTimeAsync(CRASH_INTERVAL_MS)
    }
    await vi.advanceTimersByTimeAsync(EXCHANGE_MS)
  }

  test('are refused by all gateways if it is what crashes have in common, and others with the same account part are not', async () => {
    const trackers = ['a', 'b', 'c'].map(name => createTracker(name).tracker)
    await crashRepeatedly(trackers, number => [`whole-${number}`, 'part-account', 'part-cause', `whole-beside-${number}`, `part-beside-${number % 2}`])
    for (const tracker of trackers) {
      expect(tracker.refusal(['new', 'part-account', 'part-cause'])).toContain('ended 4 backend servers')
      expect(tracker.refusal(['new', 'part-account', 'part-beside-0'])).toBeUndefined()
    }
  })

  test('are not refused because of the part that all share, if one of them was answered at any gateway', async () => {
    const trackers = ['a', 'b'].map(name => createTracker(name).tracker)
    trackers[1].noteAnswered(['sound', 'part-account', 'part-beside'])
    await crashRepeatedly(trackers, number => [`whole-${number}`, 'part-account', 'part-cause'])
    for (const tracker of trackers)
      expect(tracker.refusal(['new', 'part-account', 'part-other'])).toBeUndefined()
  })

  test('are not refused by a gateway that starts after the loss of the only one that had learned of an answer, by a heartbeat', async () => {
    const { tracker } = createTracker('a')
    tracker.crashExchange.receive('peer', { after: 0, sequence: 1, seen: 0, reports: { crashes: [], answers: [{ fingerprint: 'part-account', at: Date.now() }] } })
    await crashRepeatedly([tracker], number => [`whole-${number}`, 'part-account'])
    expect(createTracker('b').tracker.refusal(['new', 'part-account'])).toBeUndefined()
  })

  test('cause one report of an answer, regardless of how many gateways have answered them', async () => {
    const trackers = Array.from({ length: 20 }, (_, index) => createTracker(`gateway-${index}`).tracker)
    await crashRepeatedly(trackers.slice(0, 1), number => [`whole-${number}`, 'part-shared'])
    const writesBefore = ledger.writes
    trackers[0].noteAnswered(['sound', 'part-shared'])
    await vi.advanceTimersByTimeAsync(EXCHANGE_MS)
    trackers.forEach(tracker => tracker.noteAnswered(['sound', 'part-shared']))
    await vi.advanceTimersByTimeAsync(EXCHANGE_MS)
    expect(ledger.writes - writesBefore).toBe(1)
  })
})

describe('the crash reports', () => {
  /** Creates a tracker that has seen three crashes. */
  async function createTrackerWithCrashes(name: string, restoresOthers = false) {
    const created = createTracker(name, { restoresOthers })
    for (const backend of ['plain-0', 'plain-1', 'plain-2'])
      crash(created.tracker, backend, 'cause')
    await vi.advanceTimersByTimeAsync(EXCHANGE_MS)
    return created
  }

  test('are read by a starting gateway, also after the loss of all gateways', async () => {
    await createTrackerWithCrashes('a')
    expect(createTracker('b').tracker.refusal(['cause'])).toBeDefined()
  })

  test('are not overwritten by a new process with the same name that has not read them', async () => {
    await createTrackerWithCrashes('a')
    const { tracker } = createTracker('a', { follows: false })
    crash(tracker, 'plain-9', 'other')
    await vi.advanceTimersByTimeAsync(EXCHANGE_MS)
    expect(ledger.records.get('a')!.crashes).toHaveLength(3)
    ledger.follow(tracker)
    await vi.advanceTimersByTimeAsync(EXCHANGE_MS)
    expect(ledger.records.get('a')!.crashes).toHaveLength(4)
  })

  test('are written again by their gateway if the ledger has lost them', async () => {
    const { lines } = await createTrackerWithCrashes('a')
    ledger.lose()
    await vi.advanceTimersByTimeAsync(EXCHANGE_MS)
    expect(ledger.records.get('a')!.crashes).toHaveLength(3)
    expect(lines).toContainEqual(expect.objectContaining({ event: 'crash-reports-restored', crashes: 3 }))
  })

  test('are written again by the gateway that restores those of others, if their own has left', async () => {
    ledger.records.set('gone', { crashes: ['plain-0', 'plain-1', 'plain-2'].map(backend => ({ fingerprint: 'cause', backend, at: Date.now(), gateway: 'gone' })), answers: [] })
    createTracker('a', { restoresOthers: true })
    createTracker('b')
    ledger.lose()
    await vi.advanceTimersByTimeAsync(EXCHANGE_MS)
    expect([...ledger.records.keys()]).toEqual(['a'])
    expect(createTracker('c').tracker.refusal(['cause'])).toBeDefined()
  })

  test('are written when the ledger recovers, in few calls', async () => {
    const { tracker } = createTracker('a')
    ledger.isUnavailable = true
    for (const backend of ['plain-0', 'plain-1', 'plain-2'])
      crash(tracker, backend, 'cause')
    await vi.advanceTimersByTimeAsync(10_000)
    expect(ledger.writes).toBeLessThan(60)
    ledger.isUnavailable = false
    await vi.advanceTimersByTimeAsync(EXCHANGE_MS)
    expect(ledger.records.get('a')!.crashes).toHaveLength(3)
  })

  test('cause at most two writes a second, regardless of the number of crashes', async () => {
    const { tracker } = createTracker('a')
    for (let number = 0; number < 100; number++) {
      crash(tracker, `plain-${number}`, `cause-${number}`)
      await vi.advanceTimersByTimeAsync(100)
    }
    expect(ledger.writes).toBeLessThanOrEqual(21)
  })

  test('stay within the size limit of one record', async () => {
    const { tracker } = createTracker('a')
    for (let number = 0; number < 2000; number++)
      crash(tracker, `plain-${number}`, `unrelated-${number}`, 'cause')
    await vi.advanceTimersByTimeAsync(EXCHANGE_MS)
    expect(JSON.stringify(ledger.records.get('a')).length).toBeLessThan(262_144)
    expect(createTracker('b').tracker.refusal(['cause'])).toBeDefined()
  })

  test('stay within the size limit of one record if requests with very many prompt parts are answered', async () => {
    const { tracker } = createTracker('a')
    const parts = Array.from({ length: 4000 }, (_, number) => `part-${String(number).padStart(24, '0')}`)
    crash(tracker, 'engine-0', ...parts)
    crash(tracker, 'engine-1', ...parts)
    for (const part of parts)
      tracker.noteAnswered(['whole', part])
    await vi.advanceTimersByTimeAsync(EXCHANGE_MS)
    expect(JSON.stringify(ledger.records.get('a')).length).toBeLessThan(262_144)
  })
})
