import { BackendRegistry } from '@eidermast/gateway'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { createLog, createRecord } from './support/fakes.js'

const RECORD = createRecord({ id: 'encode-a' })
let registry: BackendRegistry

beforeEach(() => {
  vi.useFakeTimers()
  registry = new BackendRegistry(createLog().log)
  registry.upsert(RECORD)
})
afterEach(() => void vi.useRealTimers())

const isUsed = (): boolean => registry.available('encode').length > 0

describe('an entry that is gone', () => {
  test('is used no more where its source was there all the time', () => {
    registry.unlist('encode-a')
    expect(isUsed()).toBe(false)
  })

  test.each([
    ['from the list', () => registry.unlist('encode-a')],
    ['with the whole list', () => registry.replaceAll([])],
  ])('%s right after its source was away is used for less than two seconds more', (_name, goes) => {
    registry.noteSourceReturned()
    goes()
    vi.advanceTimersByTime(1800)
    expect(isUsed()).toBe(true)
    vi.advanceTimersByTime(200)
    expect(isUsed()).toBe(false)
  })

  test('and comes back in that time stays, with what was learned of it', () => {
    const backend = registry.find('encode-a')
    registry.noteSourceReturned()
    registry.unlist('encode-a')
    vi.advanceTimersByTime(1000)
    registry.upsert(RECORD)
    vi.advanceTimersByTime(5000)
    expect(registry.find('encode-a')).toBe(backend)
    expect(isUsed()).toBe(true)
  })

  test('and whose address another one has is used no more at once', () => {
    registry.noteSourceReturned()
    registry.unlist('encode-a')
    registry.remove('encode-a', 'another backend server has its address')
    expect(isUsed()).toBe(false)
  })

  test('does not hide that it began to leave', () => {
    registry.noteSourceReturned()
    registry.upsert({ ...RECORD, draining: true })
    expect(isUsed()).toBe(false)
  })
})
