import type { EvacuationOrder } from '@eidermast/gateway'
import { EvacuationList, revisionAt } from '@eidermast/gateway'
import fc from 'fast-check'
import { beforeEach, describe, expect, test } from 'vitest'

const evacuate = (failureDomain: string, revision: number): EvacuationOrder => ({ failureDomain, evacuated: true, revision })
const takeBack = (failureDomain: string, revision: number): EvacuationOrder => ({ failureDomain, evacuated: false, revision })

let changes: string[][]
let list: EvacuationList

function createList(): EvacuationList {
  return new EvacuationList({ evacuationChanged: () => {} }, evacuated => changes.push([...evacuated].sort()))
}

beforeEach(() => {
  changes = []
  list = createList()
})

describe('orders about failure domains', () => {
  test('hold from the first source that brings them', () => {
    list.adopt([evacuate('a', 3)], 'gateway-1')
    list.apply(evacuate('a', 3))
    expect(changes).toEqual([['a']])
  })

  test('are not put in force by a gateway that heard first that they were taken back', () => {
    list.adopt([takeBack('a', 5)], 'gateway-1')
    list.apply(evacuate('a', 4))
    expect(list.evacuated.size).toBe(0)
    expect(changes).toEqual([])
  })

  test('are taken back by a whole read that does not name them', () => {
    list.apply(evacuate('a', 4))
    list.apply(evacuate('b', 5))
    list.replaceAll({ revision: 9, orders: [evacuate('b', 5)] })
    expect(changes.at(-1)).toEqual(['b'])
  })

  test('stay in force through a whole read that is older than a peer\'s word', () => {
    list.adopt([evacuate('a', 10)], 'gateway-1')
    list.replaceAll({ revision: 9, orders: [] })
    expect([...list.evacuated]).toEqual(['a'])
  })

  test('stay in force where an older copy lacks them, until it names them again', () => {
    list.apply(evacuate('a', revisionAt({ era: 1, offset: 40 })))
    list.replaceAll({ revision: revisionAt({ era: 2, offset: 30 }), orders: [] })
    expect([...list.evacuated]).toEqual(['a'])
    list.apply(takeBack('a', revisionAt({ era: 2, offset: 32 })))
    expect(list.evacuated.size).toBe(0)
  })

  test('come to the same at all gateways, in whatever order these hear of them', () => {
    const history = fc.array(fc.record({ failureDomain: fc.constantFrom('a', 'b', 'c'), evacuated: fc.boolean() }), { minLength: 1, maxLength: 12 })
    fc.assert(fc.property(history, fc.infiniteStream(fc.nat()), (steps, draws) => {
      const orders = steps.map((step, index) => ({ ...step, revision: index + 1 }))
      const shuffled = orders.map(order => ({ order, key: draws.next().value as number })).sort((left, right) => left.key - right.key)
      const other = createList()
      for (const order of orders)
        list.apply(order)
      for (const { order } of shuffled)
        other.adopt([order], 'gateway-1')
      const isSame = [...list.evacuated].sort().join() === [...other.evacuated].sort().join()
      list = createList()
      return isSame
    }))
  })
})
