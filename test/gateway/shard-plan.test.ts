import { planShards } from '@eidermast/gateway'
import { describe, expect, test } from 'vitest'

/** Creates gateways, assigned to failure domains in round-robin order. */
function createGateways(count: number, domains: number): { failureDomain: string }[] {
  return Array.from({ length: count }, (_, number) => ({ failureDomain: `domain-${number % domains}` }))
}

function namesOf(gateways: { failureDomain?: string, coreShare?: number }[]): string[] {
  return planShards(gateways).map(({ name }) => name)
}

describe('the shard plan', () => {
  test.each([
    ['is a single shard for few gateways', 4, 4, 1],
    ['is a single shard if the failure domains cannot be divided evenly', 21, 3, 1],
    ['is a single shard for up to 39 gateways', 39, 6, 1],
    ['has two shards from 40 gateways on', 40, 6, 2],
    ['has more shards for more gateways', 68, 6, 3],
    ['has at most one shard per failure domain', 400, 6, 6],
    ['depends on the number of failure domains', 68, 4, 2],
  ])('%s', (_name, gateways, domains, shards) => {
    expect(namesOf(createGateways(gateways, domains))).toHaveLength(shards)
  })

  test('has more shards if all gateways are small', () => {
    const small = createGateways(40, 6).map(gateway => ({ ...gateway, coreShare: 0.12 }))
    expect(namesOf(small)).toHaveLength(6)
    expect(namesOf([...small, { failureDomain: 'domain-0', coreShare: 0.6 }])).toHaveLength(2)
  })

  test('assigns every failure domain once', () => {
    expect(namesOf(createGateways(68, 6))).toEqual(['domain-0+domain-3', 'domain-1+domain-4', 'domain-2+domain-5'])
  })

  test('is independent of the order of gateways', () => {
    const gateways = createGateways(68, 6)
    expect(namesOf(gateways.toReversed())).toEqual(namesOf(gateways))
  })

  test('is a single shard if a gateway does not report its failure domain', () => {
    expect(namesOf([...createGateways(68, 6), {}])).toEqual([''])
  })
})
