import { pickService, RouteTable } from '@eidermast/gateway'
import { describe, expect, test } from 'vitest'
import { createConfiguration, createRoute } from './support/fakes.js'

describe('the priority of a request', () => {
  const URGENT = createRoute({ name: 'urgent', priority: 0 })
  const OTHER = createRoute({ name: 'other', priority: 2 })
  const FIRST = { name: 'first', keys: ['key-1'], priority: 1 }
  const SECOND = { name: 'second', keys: ['key-2'], priority: 2 }
  const table = new RouteTable(createConfiguration({ routes: [URGENT, OTHER], accounts: [FIRST, SECOND] }))

  test.each([
    ['by route priority among requests of the same client account', [URGENT, FIRST], [OTHER, FIRST]],
    ['by account priority, regardless of route priority', [OTHER, FIRST], [URGENT, SECOND]],
    ['by route priority without a client account', [URGENT, undefined], [OTHER, undefined]],
  ] as const)('is higher %s', (_name, [route, account], [otherRoute, otherAccount]) => {
    expect(table.priorityOf(route, account)).toBeLessThan(table.priorityOf(otherRoute, otherAccount))
  })

  test('equals the route priority if all client accounts have the same priority', () => {
    expect(table.priorityOf(OTHER, FIRST)).toBe(OTHER.priority)
  })
})

describe('routes', () => {
  const table = new RouteTable(createConfiguration({ routes: [
    createRoute({ name: 'short', pathPrefix: '/a/' }),
    createRoute({ name: 'long', pathPrefix: '/a/b/' }),
    createRoute({ name: 'other', host: 'other.example', pathPrefix: '/' }),
  ] }))

  test.each([
    ['host.example', '/a/x', 'short'],
    ['HOST.example', '/a/b/x', 'long'],
    ['host.example', '/a/b', 'short'],
    ['host.example', '/b/', undefined],
    ['other.example', '/a/b/', 'other'],
    ['third.example', '/a/', undefined],
  ])('for %s%s: %s', (host, path, name) => {
    expect(table.findRoute(host, path)?.name).toBe(name)
  })

  test('choose services in proportion to their weights, and never one with weight 0', () => {
    const services = [{ service: 'none', weight: 0 }, { service: 'most', weight: 90 }, { service: 'few', weight: 10 }]
    const route = createRoute({ services })
    const picked = Array.from({ length: 1000 }, (_, index) => pickService(route, index / 1000))
    expect(picked.filter(service => service === 'most')).toHaveLength(900)
    expect(picked).not.toContain('none')
  })
})
