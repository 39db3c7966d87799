import type { BackendRecord } from '@eidermast/gateway'
import { BackendList, BackendRegistry } from '@eidermast/gateway'
import { beforeEach, describe, expect, test } from 'vitest'
import { createLog, createRecord } from './support/fakes.js'

const COLD_START_MS = 3000

let registry: BackendRegistry
let list: BackendList

beforeEach(() => {
  const { log } = createLog()
  registry = new BackendRegistry(log, () => COLD_START_MS)
  list = new BackendList(registry, log)
})

const listed = (overrides: Partial<BackendRecord>, revision = 1) => ({ record: createRecord(overrides), revision })
const isCold = (id: string, afterMs = 0): boolean => registry.find(id)!.isCold(performance.now() + afterMs)

describe('a backend server', () => {
  test('in the first list is cold only if its entry says so', () => {
    list.replaceAll({ revision: 5, entries: [listed({ id: 'warm' }), listed({ id: 'cold', coldMs: 1000 })] })
    expect([isCold('warm'), isCold('cold'), isCold('cold', 1001)]).toEqual([false, true, false])
  })

  test('that is listed later has just started, even if its entry does not say that it is cold', () => {
    list.replaceAll({ revision: 5, entries: [] })
    list.upsert(listed({ id: 'started' }, 6))
    expect([isCold('started', COLD_START_MS - 100), isCold('started', COLD_START_MS + 1)]).toEqual([true, false])
  })

  test('in the list that a starting gateway gets from a peer is cold only if its entry says so', () => {
    list.adopt({ revision: 5, entries: [listed({ id: 'warm' })] }, { name: 'gateway-1', address: '127.0.0.1:1' })
    expect(isCold('warm')).toBe(false)
  })

  test('becomes cold again if its entry says so', () => {
    list.replaceAll({ revision: 5, entries: [listed({ id: 'warm' })] })
    list.upsert(listed({ id: 'warm', coldMs: 2000 }, 6))
    expect([isCold('warm', 1900), isCold('warm', 2001)]).toEqual([true, false])
  })

  test('does not become cold again if the same entry is read again', () => {
    const entries = [listed({ id: 'cold', coldMs: 1 })]
    list.replaceAll({ revision: 5, entries })
    list.replaceAll({ revision: 9, entries })
    expect(isCold('cold', 2)).toBe(false)
  })

  test('counts as cold when the evacuation of its failure domain is revoked', () => {
    list.replaceAll({ revision: 5, entries: [listed({ id: 'a', failureDomain: 'zone-a' }), listed({ id: 'b', failureDomain: 'zone-b' })] })
    registry.setEvacuated(new Set(['zone-a']))
    registry.setEvacuated(new Set())
    expect([isCold('a'), isCold('b')]).toEqual([true, false])
  })

  test('is cold for as long as its responses report', () => {
    list.replaceAll({ revision: 5, entries: [listed({ id: 'warm' })] })
    registry.find('warm')!.markCold(500, performance.now())
    expect([isCold('warm', 400), isCold('warm', 501)]).toEqual([true, false])
  })
})
