import { divideStageWork } from '@eidermast/gateway'
import { describe, expect, test } from 'vitest'

/** Gateways dealt out to failure domains in turn. */
function createGateways(count: number, domains: number): { failureDomain: string }[] {
  return Array.from({ length: count }, (_, number) => ({ failureDomain: `domain-${number % domains}` }))
}

function namesOf(gateways: { failureDomain?: string, coreShare?: number }[]): string[] {
  return divideStageWork(gateways).map(({ name }) => name)
}

describe('the division of the stage work', () => {
  test.each([
    ['is none among few gateways', 4, 4, 1],
    ['is none where the failure domains cannot be divided evenly', 21, 3, 1],
    ['is none up to 39 gateways, which one coordinator serves', 39, 6, 1],
    ['has two shards from 40 gateways on', 40, 6, 2],
    ['grows with the gateways', 68, 6, 3],
    ['is by single failure domains at the most', 400, 6, 6],
    ['follows the failure domains', 68, 4, 2],
  ])('%s', (_name, gateways, domains, shards) => {
    expect(namesOf(createGateways(gateways, domains))).toHaveLength(shards)
  })

  test('has more shards where all gateways are small', () => {
    const small = createGateways(40, 6).map(gateway => ({ ...gateway, coreShare: 0.12 }))
    expect(namesOf(small)).toHaveLength(6)
    expect(namesOf([...small, { failureDomain: 'domain-0', coreShare: 0.6 }])).toHaveLength(2)
  })

  test('deals every failure domain out once', () => {
    expect(namesOf(createGateways(68, 6))).toEqual(['domain-0+domain-3', 'domain-1+domain-4', 'domain-2+domain-5'])
  })

  test('is the same in whatever order gateways are listed', () => {
    const gateways = createGateways(68, 6)
    expect(namesOf(gateways.toReversed())).toEqual(namesOf(gateways))
  })

  test('is none while a gateway does not tell its failure domain', () => {
    expect(namesOf([...createGateways(68, 6), {}])).toEqual([''])
  })
})
