import type { ChoiceSubject } from '@eidermast/gateway'
import { NoEjection } from '@eidermast/common'
import { LeastLoadChoice, PrefixAwareChoice, Replica } from '@eidermast/gateway'
import { describe, expect, test } from 'vitest'
import { createRecord } from './support/fakes.js'

const SHARED: ChoiceSubject = { promptParts: [{ id: 'shared', tokens: 5000 }, { id: 'own', tokens: 300 }], zone: 'zone-a', bytes: 0 }
const SHORT: ChoiceSubject = { promptParts: [{ id: 'short', tokens: 100 }, { id: 'own', tokens: 300 }], zone: 'zone-a', bytes: 0 }

function createReplicas(): Replica[] {
  return ['a', 'b', 'c', 'd'].map(id => new Replica(createRecord({ id, capacity: 64 })))
}

describe('choosing a model replica', () => {
  const choice = new PrefixAwareChoice(new NoEjection())

  test('is the same at every gateway for the same shared part', () => {
    const first = choice.order(createReplicas(), SHARED)[0].id
    const second = choice.order(createReplicas().reverse(), SHARED)[0].id
    expect(second).toBe(first)
  })

  test('leaves the replica that keeps the part where too many run there', () => {
    const replicas = createReplicas()
    const home = choice.order(replicas, SHARED)[0]
    home.outstanding = 60
    expect(choice.order(replicas, SHARED)[0].id).not.toBe(home.id)
  })

  test('goes to the zone of many bytes where nothing else speaks against it', () => {
    const replicas = createReplicas().map((replica, index) => new Replica({ ...replica.record, zone: index === 2 ? 'zone-a' : 'zone-b' }))
    expect(choice.order(replicas, { ...SHORT, bytes: 2_000_000 })[0].zone).toBe('zone-a')
  })
})

describe('choosing a plain replica', () => {
  const choice = new LeastLoadChoice(new NoEjection())

  test('takes the own zone while its replica is not busier', () => {
    const replicas = createReplicas().map((replica, index) => new Replica({ ...replica.record, capacity: 6, zone: index === 1 ? 'zone-a' : 'zone-b' }))
    expect(choice.order(replicas, SHORT)[0].id).toBe('b')
    replicas[1].outstanding = 5
    expect(choice.order(replicas, SHORT)[0].id).not.toBe('b')
  })

  test('goes by the load that replicas told lately', () => {
    const replicas = createReplicas()
    replicas.slice(1).forEach((replica) => {
      replica.load = { running: 40, waiting: 3, capacity: 64 }
      replica.loadAt = performance.now()
    })
    expect(choice.order(replicas, SHORT)[0].id).toBe('a')
  })
})
