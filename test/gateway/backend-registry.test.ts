import type { SourceOutage } from '@eidermast/gateway'
import { BackendRegistry } from '@eidermast/gateway'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { createLog, createRecord } from './support/fakes.js'

const RECORD = createRecord({ id: 'encode-a' })
const OUTAGE: SourceOutage = { lastedMs: 3000, mayHaveReturnedMs: 100, usableAfterReturnMs: 4800, error: 'no answer', lostWrites: false }
let registry: BackendRegistry

beforeEach(() => {
  vi.useFakeTimers()
  registry = new BackendRegistry(createLog().log)
  registry.upsert(RECORD)
})
afterEach(() => void vi.useRealTimers())

const isUsed = (): boolean => registry.available('encode').length > 0

describe('a backend server whose entry was removed', () => {
  test('gets no more work if the source of the list was always reachable', () => {
    registry.unlist('encode-a')
    expect(isUsed()).toBe(false)
  })

  test.each([
    ['removed individually', () => registry.unlist('encode-a')],
    ['missing in a whole list', () => registry.replaceAll([])],
  ])('%s right after an outage of the source, stays in use for less than two seconds', (_name, removeEntry) => {
    registry.handleSourceRecovery(OUTAGE)
    removeEntry()
    vi.advanceTimersByTime(1800)
    expect(isUsed()).toBe(true)
    vi.advanceTimersByTime(200)
    expect(isUsed()).toBe(false)
  })

  test.each<[string, Partial<SourceOutage>, number]>([
    ['too short for an entry to expire', { lastedMs: 300 }, 0],
    ['whose end was detected late', { mayHaveReturnedMs: 4000 }, 800],
    ['whose end was detected too late', { mayHaveReturnedMs: 5000 }, 0],
  ])('after an outage %s, stays in use only as long as the platform allows', (_name, outage, usedForMs) => {
    registry.handleSourceRecovery({ ...OUTAGE, ...outage })
    registry.unlist('encode-a')
    vi.advanceTimersByTime(Math.max(0, usedForMs - 50))
    expect(isUsed()).toBe(usedForMs > 0)
    vi.advanceTimersByTime(100)
    expect(isUsed()).toBe(false)
  })

  test('stays in use with its learned state if the entry is listed again in that time', () => {
    const backend = registry.find('encode-a')
    registry.handleSourceRecovery(OUTAGE)
    registry.unlist('encode-a')
    vi.advanceTimersByTime(1000)
    registry.upsert(RECORD)
    vi.advanceTimersByTime(5000)
    expect(registry.find('encode-a')).toBe(backend)
    expect(isUsed()).toBe(true)
  })

  test('gets no more work if another backend server has its address', () => {
    registry.handleSourceRecovery(OUTAGE)
    registry.unlist('encode-a')
    registry.remove('encode-a', 'another backend server has its address')
    expect(isUsed()).toBe(false)
  })

  test('gets no more work if its entry says that it is draining', () => {
    registry.handleSourceRecovery(OUTAGE)
    registry.upsert({ ...RECORD, draining: true })
    expect(isUsed()).toBe(false)
  })
})

describe('a change of the list', () => {
  test('is logged with its maximum age, the time since the list was known to be complete', () => {
    const { log, lines } = createLog()
    const watched = new BackendRegistry(log)
    watched.upsert(RECORD)
    watched.recordListRead(performance.now())
    vi.advanceTimersByTime(4600)
    watched.recordListRead(performance.now())
    watched.upsert({ ...RECORD, draining: true })
    vi.advanceTimersByTime(300)
    watched.remove(RECORD.id, 'list entry was removed')
    expect(lines.slice(-2)).toMatchObject([
      { event: 'backend-state', noticedWithinMs: 4600 },
      { event: 'backend-removed', noticedWithinMs: 4600 },
    ])
    expect(watched.listAgeMs).toBe(300)
  })

  // Guards against streams joined from two versions at a gateway that takes an old list for a recent one.
  test('may be missing for as long as an answer has waited here, and whatever a peer has sent', () => {
    const watched = new BackendRegistry(createLog().log)
    watched.recordListRead(performance.now())
    vi.advanceTimersByTime(4000)
    watched.recordListRead(performance.now() - 3000)
    expect(watched.listAgeMs).toBe(3000)
    watched.recordListRead()
    expect(watched.listAgeMs).toBe(3000)
    watched.recordListRead(performance.now() - 3500)
    expect(watched.listAgeMs).toBe(3000)
  })
})

describe('the intake state that a backend server announced', () => {
  test('is kept if its entry is removed and listed again', () => {
    registry.find('encode-a')!.intake.limitPerSecond = 2
    registry.remove('encode-a', 'list entry was removed')
    registry.upsert(RECORD)
    expect(registry.find('encode-a')!.intake.limitPerSecond).toBe(2)
  })

  test('is updated by a response that arrives while its entry is removed', () => {
    const { intake } = registry.find('encode-a')!
    registry.remove('encode-a', 'list entry was removed')
    intake.markLeaving()
    registry.upsert(RECORD)
    expect(isUsed()).toBe(false)
  })

  test('excludes a process that announced its leaving, whatever its list entry says later', () => {
    registry.find('encode-a')!.intake.markLeaving()
    registry.upsert({ ...RECORD, capacity: 5 })
    expect(isUsed()).toBe(false)
    registry.replaceAll([])
    registry.replaceAll([RECORD])
    expect(isUsed()).toBe(false)
  })

  test('does not apply to a later process of the backend server', () => {
    registry.upsert({ ...RECORD, born: 1 })
    registry.find('encode-a')!.intake.limitPerSecond = 2
    registry.find('encode-a')!.intake.markLeaving()
    registry.upsert({ ...RECORD, born: 2 })
    expect(registry.find('encode-a')!.intake.limitPerSecond).toBeUndefined()
    expect(isUsed()).toBe(true)
  })
})
