import { rankByRendezvous } from '@eidermast/gateway'
import { expect, test } from 'vitest'

test('rendezvous ranking keeps the order of the other candidates when one is removed', () => {
  const names = ['a', 'b', 'c', 'd', 'e']
  for (let key = 0; key < 300; key++) {
    const before = rankByRendezvous(`key ${key}`, names, name => name)
    const after = rankByRendezvous(`key ${key}`, names.filter(name => name !== 'c'), name => name)
    expect(after).toEqual(before.filter(name => name !== 'c'))
  }
})
