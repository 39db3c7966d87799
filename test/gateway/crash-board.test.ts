import type { CrashReports } from '@eidermast/gateway'
import { CrashBoard } from '@eidermast/gateway'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { createBackend, createLog } from './support/fakes.js'

/** Milliseconds in which boards have written and told each other. */
const TOLD_MS = 1500

/** A ledger in memory, which several boards share and which can lose what it has. */
class FakeLedger {
  records = new Map<string, CrashReports>()
  isDown = false
  writes = 0
  private readonly boards: CrashBoard[] = []

  follow(board: CrashBoard): void {
    this.boards.push(board)
    board.replaceAll(this.records)
  }

  async publish(owner: string, reports: CrashReports): Promise<void> {
    this.writes++
    if (this.isDown)
      throw new Error('the ledger is down')
    this.records.set(owner, reports)
    this.boards.forEach(board => board.applyReports(owner, reports))
  }

  /** Comes back from an older copy. */
  lose(records = new Map<string, CrashReports>()): void {
    this.records = records
    this.boards.forEach(board => board.replaceAll(this.records))
  }
}

let ledger: FakeLedger

function createBoard(name: string, { follows = true, restoresOthers = false } = {}) {
  const { log, lines } = createLog()
  const board = new CrashBoard({ name, ledger, log, witness: { noteBroken: async () => {} }, restoresOthers: () => restoresOthers })
  if (follows)
    ledger.follow(board)
  return { board, lines }
}

function crash(board: CrashBoard, backend: string, ...fingerprints: string[]): void {
  board.noteCrash({ backend: createBackend({ id: backend }), fingerprints })
}

beforeEach(() => {
  vi.useFakeTimers()
  ledger = new FakeLedger()
})

afterEach(() => void vi.useRealTimers())

describe('gateways of which each saw one end of a backend server', () => {
  test('all refuse the request that was on all three, and no other', async () => {
    const boards = ['a', 'b', 'c'].map(name => createBoard(name).board)
    boards.forEach((board, index) => crash(board, `plain-${index}`, 'cause', `beside-${index}`))
    await vi.advanceTimersByTimeAsync(TOLD_MS)
    for (const board of boards) {
      expect(board.refusal('cause')).toContain('ended 3 backend servers')
      expect(board.refusal('beside-0')).toBeUndefined()
      expect(board.quarantined).toBe(1)
    }
  })

  test('say which ends led to it, where they were seen and how long ago', async () => {
    const { board, lines } = createBoard('a')
    const other = createBoard('b').board
    crash(other, 'plain-0', 'cause')
    await vi.advanceTimersByTimeAsync(2000)
    crash(board, 'plain-1', 'cause')
    crash(board, 'plain-2', 'cause')
    expect(board.refusal('cause')).toContain('plain-0 2.0 s ago, seen by b')
    expect(lines.filter(({ event }) => event === 'quarantine')).toMatchObject([{ fingerprint: 'cause' }])
  })

  test('count two processes of one id as two, where the backend server tells its start', () => {
    const { board } = createBoard('a')
    for (const born of [1, 2, 3])
      board.noteCrash({ backend: createBackend({ id: 'plain-a', born }), fingerprints: ['cause'] })
    expect(board.refusal('cause')).toBeDefined()
  })
})

describe('requests that share a fingerprint', () => {
  test('are not refused where backend servers end together, since others were answered at another gateway', async () => {
    const answering = createBoard('a').board
    const board = createBoard('b').board
    answering.noteAnswered('shared')
    for (const backend of ['plain-0', 'plain-1', 'plain-2'])
      crash(board, backend, 'shared')
    await vi.advanceTimersByTimeAsync(TOLD_MS)
    expect(board.refusal('shared')).toBeUndefined()
    expect(answering.refusal('shared')).toBeUndefined()
  })

  test('are taken in again everywhere once one that was under way is answered', async () => {
    const boards = ['a', 'b'].map(name => createBoard(name).board)
    for (const backend of ['plain-0', 'plain-1', 'plain-2'])
      crash(boards[0], backend, 'shared')
    await vi.advanceTimersByTimeAsync(TOLD_MS)
    expect(boards[1].refusal('shared')).toBeDefined()
    boards[1].noteAnswered('shared')
    await vi.advanceTimersByTimeAsync(TOLD_MS)
    expect(boards.map(board => board.refusal('shared'))).toEqual([undefined, undefined])
  })

  test('cost one write, however many are answered', async () => {
    const { board } = createBoard('a')
    crash(board, 'plain-0', 'shared')
    for (let number = 0; number < 100; number++) {
      board.noteAnswered('shared')
      await vi.advanceTimersByTimeAsync(100)
    }
    expect(ledger.writes).toBeLessThanOrEqual(2)
  })
})

describe('what is known of crashes', () => {
  /** A board that has seen three ends. */
  async function createKnowing(name: string, restoresOthers = false) {
    const knowing = createBoard(name, { restoresOthers })
    for (const backend of ['plain-0', 'plain-1', 'plain-2'])
      crash(knowing.board, backend, 'cause')
    await vi.advanceTimersByTimeAsync(TOLD_MS)
    return knowing
  }

  test('is read by a gateway that starts, also after the loss of all', async () => {
    await createKnowing('a')
    expect(createBoard('b').board.refusal('cause')).toBeDefined()
  })

  test('is not overwritten by a process that starts under the same name and has not read it', async () => {
    await createKnowing('a')
    const { board } = createBoard('a', { follows: false })
    crash(board, 'plain-9', 'other')
    await vi.advanceTimersByTimeAsync(TOLD_MS)
    expect(ledger.records.get('a')!.crashes).toHaveLength(3)
    ledger.follow(board)
    await vi.advanceTimersByTimeAsync(TOLD_MS)
    expect(ledger.records.get('a')!.crashes).toHaveLength(4)
  })

  test('is written again by its gateway where the ledger has lost it', async () => {
    const { lines } = await createKnowing('a')
    ledger.lose()
    await vi.advanceTimersByTimeAsync(TOLD_MS)
    expect(ledger.records.get('a')!.crashes).toHaveLength(3)
    expect(lines).toContainEqual(expect.objectContaining({ event: 'crash-reports-restored', crashes: 3 }))
  })

  test('is written again by the one that restores the reports of others, where its gateway is gone', async () => {
    ledger.records.set('gone', { crashes: ['plain-0', 'plain-1', 'plain-2'].map(backend => ({ fingerprint: 'cause', backend, at: Date.now(), gateway: 'gone' })), answers: [] })
    createBoard('a', { restoresOthers: true })
    createBoard('b')
    ledger.lose()
    await vi.advanceTimersByTimeAsync(TOLD_MS)
    expect([...ledger.records.keys()]).toEqual(['a'])
    expect(createBoard('c').board.refusal('cause')).toBeDefined()
  })

  test('is written when the ledger is back, in few calls', async () => {
    const { board } = createBoard('a')
    ledger.isDown = true
    for (const backend of ['plain-0', 'plain-1', 'plain-2'])
      crash(board, backend, 'cause')
    await vi.advanceTimersByTimeAsync(10_000)
    expect(ledger.writes).toBeLessThan(60)
    ledger.isDown = false
    await vi.advanceTimersByTimeAsync(TOLD_MS)
    expect(ledger.records.get('a')!.crashes).toHaveLength(3)
  })

  test('costs two writes a second at most, however many backend servers end', async () => {
    const { board } = createBoard('a')
    for (let number = 0; number < 100; number++) {
      crash(board, `plain-${number}`, `cause-${number}`)
      await vi.advanceTimersByTimeAsync(100)
    }
    expect(ledger.writes).toBeLessThanOrEqual(21)
  })

  test('stays within the size of one record', async () => {
    const { board } = createBoard('a')
    for (let number = 0; number < 2000; number++)
      crash(board, `plain-${number}`, `beside-${number}`, 'cause')
    await vi.advanceTimersByTimeAsync(TOLD_MS)
    expect(JSON.stringify(ledger.records.get('a')).length).toBeLessThan(262_144)
    expect(createBoard('b').board.refusal('cause')).toBeDefined()
  })
})
