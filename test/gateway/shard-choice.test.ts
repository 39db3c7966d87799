import type { PreparationRequest } from '@eidermast/gateway'
import { BackendRegistry, createShard, PromptShardChoice, WHOLE_SHARD } from '@eidermast/gateway'
import { describe, expect, test } from 'vitest'
import { createLog, createRecord } from './support/fakes.js'

const SHARDS = ['a', 'b', 'c'].map(domain => createShard([domain]))

function createRequest(number: number, overrides: Partial<PreparationRequest> = {}): PreparationRequest {
  const stages = [{ service: 'encode', dependsOn: [], resultBytes: 10, items: 1 }]
  return { requestId: `request-${number}`, stages, key: '', priority: 0, targetMs: 1000, deadlineMs: 4000, isRetry: false, failureDomain: 'a', ...overrides }
}

/** Creates a shard choice with backend servers of `encode` and `rerank` in the given failure domains. */
function createChoice(encode: string, rerank = 'abc') {
  const registry = new BackendRegistry(createLog().log)
  const services = { encode, rerank }
  for (const [service, domains] of Object.entries(services))
    [...domains].forEach((failureDomain, number) => registry.upsert(createRecord({ id: `${service}-${number}`, service, failureDomain })))
  return new PromptShardChoice({ shards: SHARDS }, registry)
}

function preferredShards(choice: PromptShardChoice, count = 3000): string[] {
  return Array.from({ length: count }, (_, number) => choice.order(createRequest(number))[0].name)
}

function shareOf(names: string[], name: string): number {
  return names.filter(other => other === name).length / names.length
}

describe('the shard of a request', () => {
  test('is distributed in proportion to the backend servers of the required service', () => {
    const names = preferredShards(createChoice('aabc'))
    expect(shareOf(names, 'a')).toBeCloseTo(0.5, 1)
    expect(shareOf(names, 'b')).toBeCloseTo(0.25, 1)
  })

  test('is the same for prompts with a shared part', () => {
    const choice = createChoice('abc')
    const prompts = Array.from({ length: 20 }, (_, number) => [{ id: 'shared', tokens: 10 }, { id: `own-${number}`, tokens: 10 }])
    const names = prompts.map((prompt, number) => choice.order(createRequest(number, { prompt, service: 'rerank' }))[0].name)
    expect(new Set(names).size).toBe(1)
  })

  test('changes only for requests of a shard that lost backend servers', () => {
    const before = preferredShards(createChoice('aaabbbccc'))
    const after = preferredShards(createChoice('aabbbccc'))
    const moved = before.filter((name, number) => after[number] !== name)
    expect(shareOf(moved, 'a')).toBeGreaterThan(0.95)
    expect(moved.length / before.length).toBeLessThan(0.12)
  })

  test.each([
    ['has all required services', 'abc', 'bc', ['b', 'c']],
    ['is the whole shard if no shard has all of them', 'a', 'b', [WHOLE_SHARD.name]],
  ])('%s', (_name, encode, rerank, shards) => {
    const stages = ['encode', 'rerank'].map(service => ({ service, dependsOn: [], resultBytes: 10, items: 1 }))
    const orders = Array.from({ length: 30 }, (_, number) => createChoice(encode, rerank).order(createRequest(number, { stages })))
    expect([...new Set(orders.flat().map(({ name }) => name))].toSorted()).toEqual(shards)
  })

  test('does not depend on services without items', () => {
    const stages = [{ service: 'gone', dependsOn: [], resultBytes: 10, items: 0 }]
    expect(createChoice('abc').order(createRequest(0, { stages }))).toHaveLength(SHARDS.length)
  })
})
