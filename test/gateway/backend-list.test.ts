import type { BackendRecord, ListedBackend, ListedBackends } from '@eidermast/gateway'
import { BackendList, BackendRegistry, revisionAt } from '@eidermast/gateway'
import fc from 'fast-check'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { createLog, createRecord } from './support/fakes.js'

const SEED = 20261202
const PEER = { name: 'gateway-b', address: '127.0.0.1:1' }
const OUTAGE = { lastedMs: 3000, mayHaveReturnedMs: 100, usableAfterReturnMs: 2800, error: 'no answer', lostWrites: false }

function createEntry(id: string, revision: number, overrides: Partial<BackendRecord> = {}): ListedBackend {
  return { revision, record: createRecord({ id, ...overrides }) }
}

let registry: BackendRegistry
let list: BackendList

beforeEach(() => {
  vi.useFakeTimers()
  const { log } = createLog()
  registry = new BackendRegistry(log)
  list = new BackendList(registry, log)
  list.replaceAll({ revision: 10, entries: [createEntry('encode-a', 3), createEntry('encode-b', 7)] })
})
afterEach(() => void vi.useRealTimers())

const used = (): string[] => registry.available('encode').map(backend => backend.id).sort()

/** A revision of the era after that of the list. */
const nextEra = (offset: number): number => revisionAt({ era: 1, offset })

describe('a list that came back from an older copy', () => {
  test('is taken although its offsets are lower, and the changes that follow it', () => {
    list.replaceAll({ revision: nextEra(5), entries: [createEntry('encode-a', nextEra(3)), createEntry('encode-b', nextEra(4))] })
    list.upsert(createEntry('encode-c', nextEra(6)))
    list.upsert(createEntry('encode-a', nextEra(7), { draining: true }))
    expect(used()).toEqual(['encode-b', 'encode-c'])
  })

  test('does not let a backend server take work again that is known to leave', () => {
    list.upsert(createEntry('encode-a', 11, { draining: true }))
    list.replaceAll({ revision: nextEra(5), entries: [createEntry('encode-a', nextEra(3)), createEntry('encode-b', nextEra(4))] })
    expect(used()).toEqual(['encode-b'])
  })

  test('does not bring back what has gone, until it is written anew', () => {
    list.unlist('encode-a', 11)
    list.replaceAll({ revision: nextEra(5), entries: [createEntry('encode-a', nextEra(3)), createEntry('encode-b', nextEra(4))] })
    expect(used()).toEqual(['encode-b'])
    list.upsert(createEntry('encode-a', nextEra(6)))
    expect(used()).toEqual(['encode-a', 'encode-b'])
  })

  test('brings back what had gone and does not lapse, since its backend server lives', () => {
    list.unlist('encode-a', 11)
    list.replaceAll({ revision: nextEra(5), entries: [createEntry('encode-a', nextEra(3)), createEntry('encode-b', nextEra(4))] })
    vi.advanceTimersByTime(6000)
    expect(used()).toEqual(['encode-a', 'encode-b'])
  })

  test('does not bring back what has gone and lapses', () => {
    list.unlist('encode-a', 11)
    list.replaceAll({ revision: nextEra(5), entries: [createEntry('encode-a', nextEra(3)), createEntry('encode-b', nextEra(4))] })
    list.unlist('encode-a', nextEra(6))
    vi.advanceTimersByTime(6000)
    expect(used()).toEqual(['encode-b'])
  })

  test('is held to what is known also where it is read again', () => {
    list.upsert(createEntry('encode-a', 11, { draining: true }))
    const copy = { revision: nextEra(5), entries: [createEntry('encode-a', nextEra(3)), createEntry('encode-b', nextEra(4))] }
    list.adopt(copy, PEER)
    list.replaceAll(copy)
    expect(used()).toEqual(['encode-b'])
  })

  test('brings a new process of a backend server whose earlier one has gone', () => {
    list.upsert(createEntry('encode-a', 11, { born: 1 }))
    list.unlist('encode-a', 12)
    list.replaceAll({ revision: nextEra(5), entries: [createEntry('encode-a', nextEra(3), { born: 2 })] })
    expect(used()).toEqual(['encode-a'])
  })

  test('uses what is missing in it on until it can have been written anew', () => {
    list.noteSourceReturned({ ...OUTAGE, lastedMs: 0, lostWrites: true })
    list.replaceAll({ revision: nextEra(5), entries: [createEntry('encode-a', nextEra(3))] })
    expect(used()).toEqual(['encode-a', 'encode-b'])
    vi.advanceTimersByTime(2000)
    expect(used()).toEqual(['encode-a'])
  })

  test('is taken from a peer that has seen it first, with the same care', () => {
    list.upsert(createEntry('encode-a', 11, { draining: true }))
    list.adopt({ revision: nextEra(5), entries: [createEntry('encode-a', nextEra(3)), createEntry('encode-b', nextEra(4))] }, PEER)
    expect(used()).toEqual(['encode-b'])
    expect(list.revision).toBe(nextEra(5))
  })

  test('is not undone by a peer that has not seen it', () => {
    list.replaceAll({ revision: nextEra(5), entries: [createEntry('encode-b', nextEra(4))] })
    list.adopt({ revision: 500, entries: [createEntry('encode-a', 400)] }, PEER)
    expect(used()).toEqual(['encode-b'])
    expect(list.changesSince(500)).toBeUndefined()
  })
})

describe('a peer\'s list that is newer', () => {
  test('brings what has begun to leave, what is new, and what has gone', () => {
    const entries = [createEntry('encode-a', 12, { draining: true }), createEntry('encode-c', 13)]
    list.adopt({ revision: 14, entries }, PEER)
    expect(used()).toEqual(['encode-c'])
    expect(registry.find('encode-b')).toBeUndefined()
    expect(list.revision).toBe(14)
  })

  test('is the one that this process passes on', () => {
    const newer = { revision: 14, entries: [createEntry('encode-a', 12, { draining: true })] }
    list.adopt(newer, PEER)
    expect(list.current).toMatchObject(newer)
  })

  test('is not undone by the own read that comes later with what the peer had already', () => {
    list.adopt({ revision: 14, entries: [createEntry('encode-a', 12, { draining: true })] }, PEER)
    list.upsert(createEntry('encode-b', 11))
    list.upsert(createEntry('encode-a', 12))
    list.unlist('encode-a', 14)
    expect(registry.find('encode-a')?.takesWork).toBe(false)
    expect(registry.find('encode-b')).toBeUndefined()
  })

  test('does not undo an entry of a whole list that was newer than the list\'s revision', () => {
    list.replaceAll({ revision: 10, entries: [createEntry('encode-a', 16, { draining: true })] })
    list.adopt({ revision: 14, entries: [createEntry('encode-a', 3)] }, PEER)
    expect(registry.find('encode-a')?.takesWork).toBe(false)
    list.adopt({ revision: 15, entries: [] }, PEER)
    expect(registry.find('encode-a')).toBeDefined()
  })

  test('is the first list of a process whose own source has brought none', () => {
    const started = new BackendList(new BackendRegistry(createLog().log), createLog().log)
    started.adopt(list.current, PEER)
    expect(started.current).toEqual(list.current)
  })
})

describe('a whole list of the own source', () => {
  test('changes nothing where it is older than what peers have told', () => {
    list.adopt({ revision: 14, entries: [createEntry('encode-a', 12, { draining: true })] }, PEER)
    list.replaceAll({ revision: 11, entries: [createEntry('encode-a', 3), createEntry('encode-b', 7)] })
    expect(used()).toEqual([])
    expect(list.revision).toBe(14)
  })

  test('replaces what is known where it is as new', () => {
    list.replaceAll({ revision: 10, entries: [createEntry('encode-b', 7)] })
    expect(used()).toEqual(['encode-b'])
  })
})

describe('changes that a peer tells', () => {
  const CHANGES = [
    { id: 'encode-a', revision: 12, record: createRecord({ id: 'encode-a', draining: true }) },
    { id: 'encode-c', revision: 13, record: createRecord({ id: 'encode-c' }) },
    { id: 'encode-b', revision: 14 },
  ]

  test('take effect in their order, and are told on', () => {
    list.adoptChanges(CHANGES, 14, PEER)
    expect(used()).toEqual(['encode-c'])
    expect(list.revision).toBe(14)
    expect(list.changesSince(12)).toEqual(CHANGES.slice(1))
    expect(list.changesSince(14)).toEqual([])
  })

  test('do nothing where they were read meanwhile', () => {
    list.upsert(createEntry('encode-a', 12, { draining: true }))
    list.upsert(createEntry('encode-a', 15))
    list.adoptChanges(CHANGES, 14, PEER)
    expect(used()).toEqual(['encode-a', 'encode-b'])
  })

  test('end the use of what has gone when the peer does', () => {
    list.adoptChanges([{ id: 'encode-b', revision: 14, usedForMs: 500 }], 14, PEER)
    expect(list.changesSince(10)).toMatchObject([{ id: 'encode-b', usedForMs: 500 }])
    vi.advanceTimersByTime(600)
    expect(used()).toEqual(['encode-a'])
    expect(list.changesSince(10)).toMatchObject([{ id: 'encode-b', usedForMs: undefined }])
  })

  test('are not told to a peer that lacks more than is remembered', () => {
    expect(list.changesSince(9)).toBeUndefined()
    for (let revision = 11; revision <= 300; revision++)
      list.upsert(createEntry('encode-a', revision, { draining: revision % 2 === 0 }))
    expect(list.changesSince(10)).toBeUndefined()
    expect(list.changesSince(290)).toHaveLength(10)
  })
})

describe('a peer\'s list that is not newer', () => {
  test.each([9, 10])('changes nothing (revision %i)', (revision) => {
    list.adopt({ revision, entries: [] }, PEER)
    expect(used()).toEqual(['encode-a', 'encode-b'])
  })
})

describe('a backend server that has gone by a peer\'s word', () => {
  const GONE: ListedBackends = { revision: 14, entries: [createEntry('encode-a', 3)] }

  test('gets nothing more where only a read of this process was lost', () => {
    list.adopt(GONE, PEER)
    expect(used()).toEqual(['encode-a'])
  })

  test('gets nothing more also right after this process\'s own source returned', () => {
    list.noteSourceFailed()
    list.noteSourceReturned(OUTAGE)
    list.adopt(GONE, PEER)
    expect(used()).toEqual(['encode-a'])
  })

  test('is used for less than two seconds more while the own source is away, since the peer\'s may have been too', () => {
    list.noteSourceFailed()
    list.adopt(GONE, PEER)
    vi.advanceTimersByTime(1400)
    expect(used()).toEqual(['encode-a', 'encode-b'])
    vi.advanceTimersByTime(200)
    expect(used()).toEqual(['encode-a'])
  })

  test.each([true, false])('is used on as long as the peer does (own source away: %s)', (isSourceAway) => {
    if (isSourceAway)
      list.noteSourceFailed()
    list.adopt({ ...GONE, lapsing: [{ id: 'encode-b', remainingMs: 500 }] }, PEER)
    expect(list.current.lapsing).toEqual([{ id: 'encode-b', remainingMs: 500 }])
    vi.advanceTimersByTime(400)
    expect(used()).toEqual(['encode-a', 'encode-b'])
    vi.advanceTimersByTime(200)
    expect(used()).toEqual(['encode-a'])
  })

  test('stays if its entry comes back in that time', () => {
    list.noteSourceFailed()
    list.adopt(GONE, PEER)
    list.adopt({ revision: 15, entries: [...GONE.entries, createEntry('encode-b', 15)] }, PEER)
    vi.advanceTimersByTime(5000)
    expect(used()).toEqual(['encode-a', 'encode-b'])
  })
})

describe('gateways that miss reads and hear each other', () => {
  /** One change of the platform's list: an entry that is ready, draining or gone. */
  const change = fc.record({ id: fc.constantFrom('a', 'b', 'c'), state: fc.constantFrom('ready', 'draining', 'gone') })
  /** For each gateway, how many changes its own source brings before it hears the other. */
  const steps = fc.array(fc.record({ reader: fc.nat(1), changes: fc.nat(4), hears: fc.constantFrom('nothing', 'changes', 'all') }), { maxLength: 40 })

  function read(target: BackendList, { id, state }: { id: string, state: string }, revision: number): void {
    if (state === 'gone')
      target.unlist(id, revision)
    else
      target.upsert(createEntry(id, revision, { draining: state === 'draining' }))
  }

  test('hold just what the platform listed at their revision, whatever the order', () => {
    fc.assert(fc.property(fc.array(change, { minLength: 1, maxLength: 20 }), steps, (changes, order) => {
      const lists = [0, 1].map(() => new BackendList(new BackendRegistry(createLog().log), createLog().log))
      const readUpTo = [0, 0]
      for (const { reader, changes: count, hears } of order) {
        for (let step = 0; step < count && readUpTo[reader] < changes.length; step++)
          read(lists[reader], changes[readUpTo[reader]++], readUpTo[reader])
        const teller = lists[reader]
        const hearer = lists[1 - reader]
        const told = teller.changesSince(hearer.revision)
        if (hears === 'changes' && told)
          hearer.adoptChanges(told, teller.revision, PEER)
        else if (hears === 'all')
          hearer.adopt(teller.current, PEER)
      }
      for (const held of lists) {
        const expected = new Map<string, string>()
        for (const { id, state } of changes.slice(0, held.revision))
          expected.set(id, state)
        const listed = held.current.entries.map(({ record }) => [record.id, record.draining ? 'draining' : 'ready'] as const)
        expect(new Map(listed)).toEqual(new Map([...expected].filter(([, state]) => state !== 'gone')))
      }
    }), { seed: SEED })
  })
})
