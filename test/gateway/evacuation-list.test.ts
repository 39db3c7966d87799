import type { EvacuationOrder } from '@eidermast/gateway'
import { EvacuationList, revisionAt } from '@eidermast/gateway'
import fc from 'fast-check'
import { beforeEach, describe, expect, test } from 'vitest'

const evacuate = (failureDomain: string, revision: number): EvacuationOrder => ({ failureDomain, evacuated: true, revision })
const revoke = (failureDomain: string, revision: number): EvacuationOrder => ({ failureDomain, evacuated: false, revision })

let changes: string[][]
let list: EvacuationList

function createList(): EvacuationList {
  return new EvacuationList({ evacuationChanged: () => {} }, evacuated => changes.push([...evacuated].sort()))
}

beforeEach(() => {
  changes = []
  list = createList()
})

describe('evacuation orders', () => {
  test('apply from the first source that provides them', () => {
    list.applyPeerOrders([evacuate('a', 3)], 'gateway-1')
    list.apply(evacuate('a', 3))
    expect(changes).toEqual([['a']])
  })

  test('are not applied by a gateway that first learned of their revocation', () => {
    list.applyPeerOrders([revoke('a', 5)], 'gateway-1')
    list.apply(evacuate('a', 4))
    expect(list.evacuated.size).toBe(0)
    expect(changes).toEqual([])
  })

  test('are revoked by a full read that does not contain them', () => {
    list.apply(evacuate('a', 4))
    list.apply(evacuate('b', 5))
    list.replaceAll({ revision: 9, orders: [evacuate('b', 5)] })
    expect(changes.at(-1)).toEqual(['b'])
  })

  test('stay in force after a full read that is older than a peer\'s order', () => {
    list.applyPeerOrders([evacuate('a', 10)], 'gateway-1')
    list.replaceAll({ revision: 9, orders: [] })
    expect([...list.evacuated]).toEqual(['a'])
  })

  test('stay in force if missing from an older snapshot, until they appear again', () => {
    list.apply(evacuate('a', revisionAt({ era: 1, offset: 40 })))
    list.replaceAll({ revision: revisionAt({ era: 2, offset: 30 }), orders: [] })
    expect([...list.evacuated]).toEqual(['a'])
    list.apply(revoke('a', revisionAt({ era: 2, offset: 32 })))
    expect(list.evacuated.size).toBe(0)
  })

  test('converge at all gateways, regardless of the order of arrival', () => {
    const history = fc.array(fc.record({ failureDomain: fc.constantFrom('a', 'b', 'c'), evacuated: fc.boolean() }), { minLength: 1, maxLength: 12 })
    fc.assert(fc.property(history, fc.infiniteStream(fc.nat()), (steps, draws) => {
      const orders = steps.map((step, index) => ({ ...step, revision: index + 1 }))
      const shuffled = orders.map(order => ({ order, key: draws.next().value as number })).sort((left, right) => left.key - right.key)
      const other = createList()
      for (const order of orders)
        list.apply(order)
      for (const { order } of shuffled)
        other.applyPeerOrders([order], 'gateway-1')
      const isSame = [...list.evacuated].sort().join() === [...other.evacuated].sort().join()
      list = createList()
      return isSame
    }))
  })
})
