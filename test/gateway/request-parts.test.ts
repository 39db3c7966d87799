import { EventLog } from '@eidermast/common'
import { ConfigurationHolder, EventSplitter, pickService, rankByRendezvous, RetryBudget, RouteTable } from '@eidermast/gateway'
import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { createConfiguration, createLog, createRoute } from './support/fakes.js'

const SEED = 20261202

describe('a stream of events', () => {
  test('is split alike however its bytes are cut', () => {
    const event = fc.record({ id: fc.nat(99), data: fc.stringMatching(/^[a-z ]{0,20}$/), ending: fc.constantFrom('\n\n', '\r\n\r\n') })
    fc.assert(fc.property(fc.array(event, { maxLength: 8 }), fc.array(fc.integer({ min: 1, max: 30 }), { minLength: 1 }), (events, sizes) => {
      const texts = events.map(({ id, data, ending }) => `id: ${id}${ending.slice(0, ending.length / 2)}data: ${data}${ending}`)
      const bytes = Buffer.from(texts.join(''))
      const splitter = new EventSplitter()
      const found: string[] = []
      const ids: (string | undefined)[] = []
      for (let start = 0, step = 0; start < bytes.length; start += sizes[step % sizes.length], step++) {
        for (const { bytes: whole, id } of splitter.push(bytes.subarray(start, start + sizes[step % sizes.length]))) {
          found.push(whole.toString())
          ids.push(id)
        }
      }
      expect(found).toEqual(texts)
      expect(ids).toEqual(events.map(({ id }) => String(id)))
      expect(splitter.hasPartial).toBe(false)
    }), { seed: SEED, numRuns: 300 })
  })

  test('keeps half an event back', () => {
    const splitter = new EventSplitter()
    expect(splitter.push(Buffer.from('id: 1\ndata: x\n\nid: 2\nda'))).toHaveLength(1)
    expect(splitter.partial.toString()).toBe('id: 2\nda')
  })
})

describe('the priority of a request', () => {
  const URGENT = createRoute({ name: 'urgent', priority: 0 })
  const OTHER = createRoute({ name: 'other', priority: 2 })
  const FIRST = { name: 'first', keys: ['key-1'], priority: 1 }
  const SECOND = { name: 'second', keys: ['key-2'], priority: 2 }
  const table = new RouteTable(createConfiguration({ routes: [URGENT, OTHER], accounts: [FIRST, SECOND] }))

  test.each([
    ['of a more urgent route among requests of one client account', [URGENT, FIRST], [OTHER, FIRST]],
    ['of a more urgent client account whatever the routes', [OTHER, FIRST], [URGENT, SECOND]],
    ['of a route without a client account by its route', [URGENT, undefined], [OTHER, undefined]],
  ] as const)('goes first %s', (_name, [route, account], [otherRoute, otherAccount]) => {
    expect(table.priorityOf(route, account)).toBeLessThan(table.priorityOf(otherRoute, otherAccount))
  })

  test('is the route\'s own where all client accounts are alike', () => {
    expect(table.priorityOf(OTHER, FIRST)).toBe(OTHER.priority)
  })
})

describe('the retry budget', () => {
  test('never allows more than its share in any window', () => {
    const step = fc.record({ waitMs: fc.integer({ min: 0, max: 2000 }), requests: fc.nat(20), repeats: fc.nat(40) })
    fc.assert(fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      let now = 0
      const budget = new RetryBudget({ ratio: 0.2, extra: 50, windowMs: 10_000 }, () => 5, () => now)
      const requests: number[] = []
      const repeats: number[] = []
      for (const { waitMs, requests: asked, repeats: wanted } of steps) {
        now += waitMs
        for (let index = 0; index < asked; index++) {
          budget.countRequest('service')
          requests.push(now)
        }
        for (let index = 0; index < wanted; index++) {
          if (budget.takeRetry('service'))
            repeats.push(now)
        }
        const inWindow = (times: number[], length: number): number => times.filter(time => time > now - length).length
        expect(inWindow(repeats, 10_000)).toBeLessThanOrEqual(0.2 * inWindow(requests, 10_500) + 50 / 5)
      }
    }), { seed: SEED, numRuns: 200 })
  })

  test('comes back when the window has passed', () => {
    let now = 0
    const budget = new RetryBudget({ ratio: 0, extra: 10, windowMs: 1000 }, () => 1, () => now)
    const take = (): number => Array.from({ length: 20 }, () => budget.takeRetry('service')).filter(Boolean).length
    expect(take()).toBe(8)
    now = 500
    expect(take()).toBe(0)
    now = 1200
    expect(take()).toBe(8)
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

  test('choose services by weight, and never one without weight', () => {
    const route = createRoute({ services: [{ service: 'none', weight: 0 }, { service: 'most', weight: 90 }, { service: 'few', weight: 10 }] })
    const picked = Array.from({ length: 1000 }, (_, index) => pickService(route, index / 1000))
    expect(picked.filter(service => service === 'most')).toHaveLength(900)
    expect(picked).not.toContain('none')
  })
})

describe('the configuration in force', () => {
  test('only rises, whatever the order and the source', () => {
    const decode = (text: string) => createConfiguration({ version: Number(text) })
    fc.assert(fc.property(fc.array(fc.nat(30), { minLength: 1 }), (versions) => {
      const holder = new ConfigurationHolder(decode, createLog().log)
      let highest = 0
      for (const version of versions) {
        holder.offer(String(version), 'any')
        highest = Math.max(highest, version)
        expect(holder.version).toBe(highest)
      }
    }), { seed: SEED })
  })

  test('stays when a faulty one comes, and the fault is logged', () => {
    const { log, lines } = createLog()
    const holder = new ConfigurationHolder((text) => {
      if (text === 'bad')
        throw new Error('no version')
      return createConfiguration({ version: 1 })
    }, log)
    holder.offer('good', 'store')
    expect(holder.offer('bad', 'store')).toBe(false)
    expect(holder.version).toBe(1)
    expect(lines.at(-1)).toMatchObject({ event: 'configuration-rejected', error: 'no version' })
  })
})

test('rendezvous ranking moves only the keys of a candidate that goes', () => {
  const names = ['a', 'b', 'c', 'd', 'e']
  for (let key = 0; key < 300; key++) {
    const before = rankByRendezvous(`key ${key}`, names, name => name)
    const after = rankByRendezvous(`key ${key}`, names.filter(name => name !== 'c'), name => name)
    expect(after).toEqual(before.filter(name => name !== 'c'))
  }
})

describe('the log', () => {
  test('bounds the lines of one event and counts what it leaves out', () => {
    const lines: string[] = []
    let now = 0
    const log = new EventLog({ write: line => lines.push(line) }, { process: 'p' }, 'eidermast:*', () => now)
    for (let index = 0; index < 1000; index++)
      log.write('route', { index })
    log.write('stop')
    expect(lines).toHaveLength(201)
    now = 1500
    log.write('route')
    expect(JSON.parse(lines.at(-2)!)).toMatchObject({ event: 'log-rate-limited', limited: 'route', count: 800 })
  })

  test('writes only the events that are switched on', () => {
    const lines: string[] = []
    const log = new EventLog({ write: line => lines.push(line) }, {}, 'eidermast:*,-eidermast:route')
    log.write('route')
    log.write('stop')
    expect(lines).toHaveLength(1)
  })
})
