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

const usedIds = (): string[] => registry.available('encode').map(backend => backend.id).sort()

/** A revision in the era that follows the initial list's. */
const nextEra = (offset: number): number => revisionAt({ era: 1, offset })

describe('a list restored from an older snapshot', () => {
  test('is applied although its offsets are lower, and so are the changes after it', () => {
    list.replaceAll({ revision: nextEra(5), entries: [createEntry('encode-a', nextEra(3)), createEntry('encode-b', nextEra(4))] })
    list.upsert(createEntry('encode-c', nextEra(6)))
    list.upsert(createEntry('encode-a', nextEra(7), { draining: true }))
    expect(usedIds()).toEqual(['encode-b', 'encode-c'])
  })

  test('does not return a draining backend server to service', () => {
    list.upsert(createEntry('encode-a', 11, { draining: true }))
    list.replaceAll({ revision: nextEra(5), entries: [createEntry('encode-a', nextEra(3)), createEntry('encode-b', nextEra(4))] })
    expect(usedIds()).toEqual(['encode-b'])
  })

  test('does not restore a removed backend server until its entry is written again', () => {
    list.unlist('encode-a', 11)
    list.replaceAll({ revision: nextEra(5), entries: [createEntry('encode-a', nextEra(3)), createEntry('encode-b', nextEra(4))] })
    expect(usedIds()).toEqual(['encode-b'])
    list.upsert(createEntry('encode-a', nextEra(6)))
    expect(usedIds()).toEqual(['encode-a', 'encode-b'])
  })

  test('restores a removed entry that does not expire, because its backend server is running', () => {
    list.unlist('encode-a', 11)
    list.replaceAll({ revision: nextEra(5), entries: [createEntry('encode-a', nextEra(3)), createEntry('encode-b', nextEra(4))] })
    vi.advanceTimersByTime(6000)
    expect(usedIds()).toEqual(['encode-a', 'encode-b'])
  })

  test('does not restore a removed entry that expires', () => {
    list.unlist('encode-a', 11)
    list.replaceAll({ revision: nextEra(5), entries: [createEntry('encode-a', nextEra(3)), createEntry('encode-b', nextEra(4))] })
    list.unlist('encode-a', nextEra(6))
    vi.advanceTimersByTime(6000)
    expect(usedIds()).toEqual(['encode-b'])
  })

  test('is corrected again when it is read a second time', () => {
    list.upsert(createEntry('encode-a', 11, { draining: true }))
    const snapshot = { revision: nextEra(5), entries: [createEntry('encode-a', nextEra(3)), createEntry('encode-b', nextEra(4))] }
    list.adopt(snapshot, PEER)
    list.replaceAll(snapshot)
    expect(usedIds()).toEqual(['encode-b'])
  })

  test('adds a new process of a backend server whose previous process was removed', () => {
    list.upsert(createEntry('encode-a', 11, { born: 1 }))
    list.unlist('encode-a', 12)
    list.replaceAll({ revision: nextEra(5), entries: [createEntry('encode-a', nextEra(3), { born: 2 })] })
    expect(usedIds()).toEqual(['encode-a'])
  })

  test('keeps missing backend servers in use until their entries can have been written again', () => {
    list.handleSourceRecovery({ ...OUTAGE, lastedMs: 0, lostWrites: true })
    list.replaceAll({ revision: nextEra(5), entries: [createEntry('encode-a', nextEra(3))] })
    expect(usedIds()).toEqual(['encode-a', 'encode-b'])
    vi.advanceTimersByTime(2000)
    expect(usedIds()).toEqual(['encode-a'])
  })

  test('is corrected in the same way when a peer delivers it first', () => {
    list.upsert(createEntry('encode-a', 11, { draining: true }))
    list.adopt({ revision: nextEra(5), entries: [createEntry('encode-a', nextEra(3)), createEntry('encode-b', nextEra(4))] }, PEER)
    expect(usedIds()).toEqual(['encode-b'])
    expect(list.revision).toBe(nextEra(5))
  })

  test('is not reverted by a peer that has not seen it', () => {
    list.replaceAll({ revision: nextEra(5), entries: [createEntry('encode-b', nextEra(4))] })
    list.adopt({ revision: 500, entries: [createEntry('encode-a', 400)] }, PEER)
    expect(usedIds()).toEqual(['encode-b'])
    expect(list.changesSince(500)).toBeUndefined()
  })
})

describe('a newer list of a peer', () => {
  test('applies draining, new and removed backend servers', () => {
    const entries = [createEntry('encode-a', 12, { draining: true }), createEntry('encode-c', 13)]
    list.adopt({ revision: 14, entries }, PEER)
    expect(usedIds()).toEqual(['encode-c'])
    expect(registry.find('encode-b')).toBeUndefined()
    expect(list.revision).toBe(14)
  })

  test('is the list that this process sends to peers', () => {
    const newer = { revision: 14, entries: [createEntry('encode-a', 12, { draining: true })] }
    list.adopt(newer, PEER)
    expect(list.current).toMatchObject(newer)
  })

  test('is not reverted by a later own read of older changes', () => {
    list.adopt({ revision: 14, entries: [createEntry('encode-a', 12, { draining: true })] }, PEER)
    list.upsert(createEntry('encode-b', 11))
    list.upsert(createEntry('encode-a', 12))
    list.unlist('encode-a', 14)
    expect(registry.find('encode-a')?.acceptsWork).toBe(false)
    expect(registry.find('encode-b')).toBeUndefined()
  })

  test('does not revert an entry that was newer than the revision of its whole list', () => {
    list.replaceAll({ revision: 10, entries: [createEntry('encode-a', 16, { draining: true })] })
    list.adopt({ revision: 14, entries: [createEntry('encode-a', 3)] }, PEER)
    expect(registry.find('encode-a')?.acceptsWork).toBe(false)
    list.adopt({ revision: 15, entries: [] }, PEER)
    expect(registry.find('encode-a')).toBeDefined()
  })

  test('is applied as the first list by a process without a list of its own', () => {
    const emptyList = new BackendList(new BackendRegistry(createLog().log), createLog().log)
    emptyList.adopt(list.current, PEER)
    expect(emptyList.current).toEqual(list.current)
  })
})

describe('a whole list from the own source', () => {
  test('is ignored if a peer has sent a newer list', () => {
    list.adopt({ revision: 14, entries: [createEntry('encode-a', 12, { draining: true })] }, PEER)
    list.replaceAll({ revision: 11, entries: [createEntry('encode-a', 3), createEntry('encode-b', 7)] })
    expect(usedIds()).toEqual([])
    expect(list.revision).toBe(14)
  })

  test('replaces the current list if its revision is the same', () => {
    list.replaceAll({ revision: 10, entries: [createEntry('encode-b', 7)] })
    expect(usedIds()).toEqual(['encode-b'])
  })
})

describe('changes received from a peer', () => {
  const CHANGES = [
    { id: 'encode-a', revision: 12, record: createRecord({ id: 'encode-a', draining: true }) },
    { id: 'encode-c', revision: 13, record: createRecord({ id: 'encode-c' }) },
    { id: 'encode-b', revision: 14 },
  ]

  test('are applied in order and sent on to other peers', () => {
    list.adoptChanges(CHANGES, 14, PEER)
    expect(usedIds()).toEqual(['encode-c'])
    expect(list.revision).toBe(14)
    expect(list.changesSince(12)).toEqual(CHANGES.slice(1))
    expect(list.changesSince(14)).toEqual([])
  })

  test('are ignored if they were read meanwhile', () => {
    list.upsert(createEntry('encode-a', 12, { draining: true }))
    list.upsert(createEntry('encode-a', 15))
    list.adoptChanges(CHANGES, 14, PEER)
    expect(usedIds()).toEqual(['encode-a', 'encode-b'])
  })

  test('remove a backend server at the end of the peer\'s grace period', () => {
    list.adoptChanges([{ id: 'encode-b', revision: 14, usedForMs: 500 }], 14, PEER)
    expect(list.changesSince(10)).toMatchObject([{ id: 'encode-b', usedForMs: 500 }])
    vi.advanceTimersByTime(600)
    expect(usedIds()).toEqual(['encode-a'])
    expect(list.changesSince(10)).toMatchObject([{ id: 'encode-b', usedForMs: undefined }])
  })

  test('are not sent to a peer that lacks changes no longer kept', () => {
    expect(list.changesSince(9)).toBeUndefined()
    for (let revision = 11; revision <= 300; revision++)
      list.upsert(createEntry('encode-a', revision, { draining: revision % 2 === 0 }))
    expect(list.changesSince(10)).toBeUndefined()
    expect(list.changesSince(290)).toHaveLength(10)
  })
})

describe('a list of a peer that is not newer', () => {
  test.each([9, 10])('is ignored (revision %i)', (revision) => {
    list.adopt({ revision, entries: [] }, PEER)
    expect(usedIds()).toEqual(['encode-a', 'encode-b'])
  })
})

describe('a backend server whose removal a peer reports', () => {
  const LIST_WITHOUT_B: ListedBackends = { revision: 14, entries: [createEntry('encode-a', 3)] }

  test('gets no more work if only a read of this process was lost', () => {
    list.adopt(LIST_WITHOUT_B, PEER)
    expect(usedIds()).toEqual(['encode-a'])
  })

  test('gets no more work right after this process\'s own source recovered', () => {
    list.handleSourceFailure()
    list.handleSourceRecovery(OUTAGE)
    list.adopt(LIST_WITHOUT_B, PEER)
    expect(usedIds()).toEqual(['encode-a'])
  })

  test('stays in use for less than two seconds during an outage of the own source, which the peer\'s may share', () => {
    list.handleSourceFailure()
    list.adopt(LIST_WITHOUT_B, PEER)
    vi.advanceTimersByTime(1400)
    expect(usedIds()).toEqual(['encode-a', 'encode-b'])
    vi.advanceTimersByTime(200)
    expect(usedIds()).toEqual(['encode-a'])
  })

  test.each([true, false])('stays in use as long as at the peer (own source unavailable: %s)', (isSourceAway) => {
    if (isSourceAway)
      list.handleSourceFailure()
    list.adopt({ ...LIST_WITHOUT_B, lapsing: [{ id: 'encode-b', remainingMs: 500 }] }, PEER)
    expect(list.current.lapsing).toEqual([{ id: 'encode-b', remainingMs: 500 }])
    vi.advanceTimersByTime(400)
    expect(usedIds()).toEqual(['encode-a', 'encode-b'])
    vi.advanceTimersByTime(200)
    expect(usedIds()).toEqual(['encode-a'])
  })

  test('stays in use if its entry is written again in that time', () => {
    list.handleSourceFailure()
    list.adopt(LIST_WITHOUT_B, PEER)
    list.adopt({ revision: 15, entries: [...LIST_WITHOUT_B.entries, createEntry('encode-b', 15)] }, PEER)
    vi.advanceTimersByTime(5000)
    expect(usedIds()).toEqual(['encode-a', 'encode-b'])
  })
})

describe('gateways that miss reads and exchange updates', () => {
  /** One change of the platform's list: an entry becomes ready, draining or removed. */
  const change = fc.record({ id: fc.constantFrom('a', 'b', 'c'), state: fc.constantFrom('ready', 'draining', 'removed') })
  /** One step: a gateway reads some changes from its own source, then sends none, the changes or the whole list to the other. */
  const steps = fc.array(fc.record({ reader: fc.nat(1), changes: fc.nat(4), exchange: fc.constantFrom('nothing', 'changes', 'all') }), { maxLength: 40 })

  function read(target: BackendList, { id, state }: { id: string, state: string }, revision: number): void {
    if (state === 'removed')
      target.unlist(id, revision)
    else
      target.upsert(createEntry(id, revision, { draining: state === 'draining' }))
  }

  test('hold exactly the platform\'s list at their revision, in any order of events', () => {
    fc.assert(fc.property(fc.array(change, { minLength: 1, maxLength: 20 }), steps, (changes, order) => {
      const lists = [0, 1].map(() => new BackendList(new BackendRegistry(createLog().log), createLog().log))
      const readUpTo = [0, 0]
      for (const { reader, changes: count, exchange } of order) {
        for (let step = 0; step < count && readUpTo[reader] < changes.length; step++)
          read(lists[reader], changes[readUpTo[reader]++], readUpTo[reader])
        const sender = lists[reader]
        const receiver = lists[1 - reader]
        const sentChanges = sender.changesSince(receiver.revision)
        if (exchange === 'changes' && sentChanges)
          receiver.adoptChanges(sentChanges, sender.revision, PEER)
        else if (exchange === 'all')
          receiver.adopt(sender.current, PEER)
      }
      for (const replica of lists) {
        const expected = new Map<string, string>()
        for (const { id, state } of changes.slice(0, replica.revision))
          expected.set(id, state)
        const listed = replica.current.entries.map(({ record }) => [record.id, record.draining ? 'draining' : 'ready'] as const)
        expect(new Map(listed)).toEqual(new Map([...expected].filter(([, state]) => state !== 'removed')))
      }
    }), { seed: SEED })
  })
})
