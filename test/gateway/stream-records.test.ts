import type { KeyedRecord, Member, OriginReplies, OriginReply, StreamAnswer, StreamMessage, VersionLedgerDependencies } from '@eidermast/gateway'
import { Buffer } from 'node:buffer'
import { wait } from '@eidermast/common'
import { BackendList, BackendRegistry, ListRefresh, maxStreamLifeMs, OriginFinder, rankHolders, resumableServices, StreamMemory, StreamReporter, VersionHistory, VersionLedger } from '@eidermast/gateway'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { createConfiguration, createLog, createRecord, createRoute } from './support/fakes.js'

const DOMAINS = ['zone-a', 'zone-b', 'zone-c']
/** Longest life of a stream. */
const LIFE_MS = 10_000

function createGateways(count: number): Member[] {
  return Array.from({ length: count }, (_, index) => ({ name: `gateway-${index}`, address: `127.0.0.1:${index}`, failureDomain: DOMAINS[index % DOMAINS.length] }))
}

describe('the gateways that keep the record of a stream', () => {
  test('are in different failure domains first', () => {
    for (let index = 0; index < 50; index++)
      expect(new Set(rankHolders(`key-${index}`, createGateways(30)).slice(0, 3).map(({ failureDomain }) => failureDomain)).size).toBe(3)
  })

  test('are spread over all gateways', () => {
    const first = Array.from({ length: 3000 }, (_, index) => rankHolders(`key-${index}`, createGateways(30))[0].name)
    expect(new Set(first).size).toBe(30)
  })

  test('are found again after gateways have joined or left, for nearly all streams', () => {
    const before = createGateways(30)
    const after = [...createGateways(52).slice(5)]
    const found = Array.from({ length: 500 }, (_, index) => {
      const told = rankHolders(`key-${index}`, before).slice(0, 3).map(({ name }) => name)
      return rankHolders(`key-${index}`, after).slice(0, 5).some(({ name }) => told.includes(name))
    })
    expect(found.filter(Boolean).length).toBeGreaterThan(450)
  })
})

describe('reports of streams', () => {
  afterEach(() => vi.useRealTimers())

  test('go to three gateways in one call each, and to the next ones for those that fail', async () => {
    vi.useFakeTimers()
    const gateways = createGateways(8)
    const ranked = rankHolders('key', gateways).map(({ name }) => name)
    const sent: [string, StreamMessage[]][] = []
    const reporter = new StreamReporter({
      gateways: () => gateways,
      send: async ({ name }, streams) => {
        sent.push([name, streams])
        if (name === ranked[1])
          throw new Error('refused')
      },
      longestLifeMs: () => LIFE_MS,
      countReports: () => {},
    })
    reporter.report({ key: 'key', version: 'v1' })
    reporter.report({ key: 'key', version: 'v1' })
    await vi.advanceTimersByTimeAsync(100)
    expect(sent.map(([name]) => name)).toEqual([...ranked.slice(0, 4)])
    expect(sent.map(([, streams]) => streams.length)).toEqual([2, 2, 2, 2])
  })

  test('end when no gateway is left', async () => {
    vi.useFakeTimers()
    const send = vi.fn(async () => Promise.reject(new Error('refused')))
    new StreamReporter({ gateways: () => createGateways(20), send, longestLifeMs: () => LIFE_MS, countReports: () => {} }).report({ key: 'key', version: 'v1' })
    await vi.advanceTimersByTimeAsync(1000)
    expect(send).toHaveBeenCalledTimes(5)
  })
})

describe('reports to a gateway that starts again', () => {
  const gateways = createGateways(8)
  const [holder] = rankHolders('key', gateways)

  beforeEach(() => void vi.useFakeTimers())
  afterEach(() => void vi.useRealTimers())

  /** Reports a stream, lets some time pass, and returns what is then sent to a gateway that starts again. */
  async function repeatAfter(passedMs: number, restarted: Member): Promise<StreamMessage[]> {
    const send = vi.fn(async (_gateway: Member, _streams: StreamMessage[]) => {})
    const reporter = new StreamReporter({ gateways: () => gateways, send, longestLifeMs: () => LIFE_MS, countReports: () => {} })
    reporter.report({ key: 'key', version: 'v1' })
    await vi.advanceTimersByTimeAsync(passedMs)
    send.mockClear()
    reporter.repeatTo(restarted)
    await vi.advanceTimersByTimeAsync(1000)
    expect(send.mock.calls.every(([{ name }]) => name === restarted.name)).toBe(true)
    return send.mock.calls.flatMap(([, streams]) => streams)
  }

  test('are repeated', async () => {
    expect(await repeatAfter(LIFE_MS / 2, holder)).toEqual([{ key: 'key', version: 'v1' }])
  })

  test.each([
    ['of streams that have ended', LIFE_MS * 2, holder],
    ['that went to others', 100, rankHolders('key', gateways).at(-1)!],
  ])('%s are not repeated', async (_name, passedMs, restarted) => {
    expect(await repeatAfter(passedMs, restarted)).toEqual([])
  })

  test('go to the next gateway in order if it does not take them', async () => {
    const ranked = rankHolders('key', gateways)
    const send = vi.fn(async ({ name }: Member) => {
      if (name === holder.name)
        throw new Error('refused')
    })
    const reporter = new StreamReporter({ gateways: () => gateways, send, longestLifeMs: () => LIFE_MS, countReports: () => {} })
    reporter.report({ key: 'key', version: 'v1' })
    await vi.advanceTimersByTimeAsync(100)
    reporter.repeatTo(ranked[1])
    await vi.advanceTimersByTimeAsync(1000)
    expect(send.mock.calls.map(([{ name }]) => name)).toEqual([...ranked.slice(0, 4), ranked[1]].map(({ name }) => name))
  })
})

describe('a question where a stream began', () => {
  const gateways = createGateways(5)
  const agreed: StreamAnswer = { known: false, versions: [{ version: 'v1' }], complete: true }
  const agrees = ({ versions }: OriginReply): boolean => versions.length === 1
  /** One reply is enough. */
  const isEnough = ({ replies }: OriginReplies): boolean => replies.every(agrees)

  async function ask(answers: (name: string) => Promise<StreamAnswer>, isFoundEnough = isEnough, listed: readonly Member[] = gateways): Promise<OriginReplies & { tookMs: number }> {
    const startedAt = performance.now()
    const finder = new OriginFinder({ gateways: () => listed, failureDomain: DOMAINS[0], ask: ({ name }) => answers(name) })
    const found = await finder.find({ key: 'key', service: 's' }, isFoundEnough)
    return { ...found, tookMs: performance.now() - startedAt }
  }

  test('is answered by the first one that knows it, while others are silent', async () => {
    const knowing = rankHolders('key', gateways)[3].name
    const { replies, tookMs } = await ask(async (name) => {
      if (name !== knowing)
        await wait(2000)
      return { known: true, version: 'v2', versions: [{ version: 'v1' }, { version: 'v2', ageMs: 9 }], complete: true }
    })
    expect(replies).toMatchObject([{ peer: knowing, record: { version: 'v2' } }])
    expect(tookMs).toBeLessThan(1000)
  })

  test('waits only a moment for silent ones if a reply agrees with what is known', async () => {
    const { tookMs, replies } = await ask(async name => name === 'gateway-0' ? agreed : wait(2000).then(() => agreed))
    expect(replies).toHaveLength(1)
    expect(tookMs).toBeLessThan(1000)
  })

  test.each([
    ['answers', async () => agreed],
    ['has ended', async () => Promise.reject(Object.assign(new Error('refused'), { code: 'ECONNREFUSED' }))],
  ])('waits only a moment for silent ones once no fewer have answered, also if the last one %s', async (_name, last) => {
    const answer = async (name: string): Promise<StreamAnswer> => {
      if (name < 'gateway-2')
        return agreed
      return name === 'gateway-2' ? wait(100).then(last) : wait(2000).then(() => agreed)
    }
    const { tookMs, silent } = await ask(answer, found => isEnough(found) && found.replies.length >= found.silent)
    expect(silent).toBe(2)
    expect(tookMs).toBeLessThan(1000)
  })

  test('waits for all if none knows it and several versions serve', async () => {
    const { replies } = await ask(async name => wait(name === 'gateway-0' ? 200 : 0).then(() => ({ ...agreed, versions: [{ version: 'v1' }, { version: 'v2' }] })))
    expect(replies).toHaveLength(5)
  })

  test.each([
    { title: 'of another failure domain answers', answering: 'gateway-1', listed: gateways, isReached: true },
    { title: 'only of the same failure domain answers', answering: 'gateway-0', listed: gateways, isReached: false },
    { title: 'answers whose failure domain is not known', answering: 'gateway-1', listed: gateways.map(({ name, address }) => ({ name, address })), isReached: false },
  ])('tells whether other failure domains are reached, where one $title', async ({ answering, listed, isReached }) => {
    const found = await ask(async name => name === answering ? agreed : Promise.reject(new DOMException('aborted', 'TimeoutError')), () => false, listed)
    expect(found.reachesOtherDomains).toBe(isReached)
  })

  test.each([
    { title: 'leaves out those whose process has ended', error: Object.assign(new Error('refused'), { code: 'ECONNREFUSED' }), silent: 0 },
    { title: 'counts those as silent that do not answer in time', error: new DOMException('aborted', 'TimeoutError'), silent: 4 },
    { title: 'counts those as silent whose connection breaks', error: Object.assign(new Error('reset'), { code: 'ECONNRESET' }), silent: 4 },
  ])('$title', async ({ error, silent }) => {
    const found = await ask(async name => name === 'gateway-0' ? agreed : Promise.reject(error))
    expect(found).toMatchObject({ asked: 5, silent })
    expect(found.replies).toHaveLength(1)
  })
})

describe('the memory of streams', () => {
  test('leaves a stream without a version if records contradict each other', () => {
    const memory = new StreamMemory()
    memory.record('a', 'v1', 0)
    memory.record('a', 'v1', 0)
    expect(memory.find('a')?.version).toBe('v1')
    memory.record('a', 'v2', 0)
    memory.record('a', 'v1', 0)
    expect(memory.find('a')).toMatchObject({ version: undefined })
    expect(memory.entries()).toEqual([])
  })

  test('is bounded by number and by age', () => {
    const memory = new StreamMemory(2)
    for (const [index, key] of ['a', 'b', 'c'].entries())
      memory.record(key, 'v1', index)
    expect(memory.entries().map(({ key }) => key)).toEqual(['b', 'c'])
    memory.expire(10, 12)
    expect(memory.entries().map(({ key }) => key)).toEqual(['c'])
  })
})

describe('the longest life of a stream', () => {
  const route = createRoute({ streaming: true, resumable: true, services: [{ service: 'model', weight: 1 }] })
  const configuration = createConfiguration({ routes: [{ ...route, timeoutMs: 5000 }, { ...route, timeoutMs: 20_000 }, createRoute({ timeoutMs: 90_000 })] })

  test('follows the longest time-out of the resumable routes of its service', () => {
    expect(maxStreamLifeMs(configuration, 'model')).toBe(40_000)
    expect(resumableServices(configuration)).toEqual(['model'])
  })

  test.each([['of a service without such routes', configuration, 'plain'], ['without a configuration', undefined, 'model']])('is a default %s', (_name, known, service) => {
    expect(maxStreamLifeMs(known, service)).toBe(60_000)
  })
})

describe('the refresh of the list of backend servers', () => {
  afterEach(() => vi.useRealTimers())

  /** A refresh of a list that is read `answersMs` after its reads are restarted. */
  function createRefresh(answersMs: number) {
    vi.useFakeTimers()
    let readAt = performance.now() - 10_000
    const restartReads = vi.fn(() => void setTimeout(() => readAt = performance.now(), answersMs))
    return { restartReads, refresh: new ListRefresh({ listAgeMs: () => performance.now() - readAt, restartReads }) }
  }

  async function tookMs(refreshed: Promise<unknown>): Promise<number> {
    const startedAt = performance.now()
    let endedAt = 0
    void refreshed.then(() => endedAt = performance.now())
    await vi.advanceTimersByTimeAsync(5000)
    return endedAt - startedAt
  }

  test('ends once the store has answered, and is shared by all who wait for it', async () => {
    const { refresh, restartReads } = createRefresh(100)
    expect(await tookMs(Promise.all([refresh.refresh(), refresh.refresh()]))).toBeLessThan(200)
    expect(restartReads).toHaveBeenCalledTimes(1)
  })

  test('ends after a bounded time if the store does not answer, and is not tried again at once', async () => {
    const { refresh, restartReads } = createRefresh(60_000)
    const refreshed = refresh.refresh().then(() => refresh.refresh())
    expect(await tookMs(refreshed)).toBeLessThan(1000)
    expect(restartReads).toHaveBeenCalledTimes(1)
    await tookMs(refresh.refresh())
    expect(restartReads).toHaveBeenCalledTimes(2)
  })
})

/** A store whose topic holds the given records. */
class FakeRecords {
  readonly appended: KeyedRecord[] = []
  failing = false

  constructor(readonly records = new Map<string, string>()) {}

  async readLatest(): Promise<{ records: never[], end: { era: number, offset: number } }> {
    if (this.failing)
      throw new Error('no answer')
    const records = [...this.records].map(([key, value]) => ({ key, value: Buffer.from(value), era: 0, offset: 0 }))
    return { records: records as never[], end: { era: 0, offset: 0 } }
  }

  async append(_topic: string, record: KeyedRecord): Promise<void> {
    this.appended.push(record)
    this.records.set(record.key, record.value.toString())
  }
}

describe('the ledger of versions', () => {
  const shutdown = new AbortController()
  afterEach(() => vi.useRealTimers())

  function createLedger(store: FakeRecords, change: Partial<VersionLedgerDependencies> = {}): VersionLedger {
    vi.useFakeTimers()
    const ledger = new VersionLedger({ store, isCoordinator: () => true, services: () => ['model'], recentVersions: () => ['v1'], onRecord: () => {}, log: createLog().log, ...change })
    void ledger.start(shutdown.signal)
    return ledger
  }

  // Guards against streams that go on at another version that took the place of the only one while no gateway ran.
  test('is written once while one version serves', async () => {
    const store = new FakeRecords()
    createLedger(store)
    await vi.advanceTimersByTimeAsync(5000)
    expect(store.appended.map(({ key, value }) => [key, value.toString()])).toEqual([['model', '["v1"]']])
  })

  test('is not written while no version serves', async () => {
    const store = new FakeRecords()
    createLedger(store, { recentVersions: () => [] })
    await vi.advanceTimersByTimeAsync(5000)
    expect(store.appended).toEqual([])
  })

  test('is written once for each change, by the coordinator only', async () => {
    const store = new FakeRecords()
    let recent = ['v1']
    createLedger(store, { recentVersions: () => recent })
    createLedger(store, { recentVersions: () => recent, isCoordinator: () => false })
    for (const versions of [['v1'], ['v1', 'v2'], ['v2']]) {
      recent = versions
      await vi.advanceTimersByTimeAsync(2000)
    }
    expect(store.appended.map(({ key, value }) => [key, value.toString()])).toEqual([['model', '["v1"]'], ['model', '["v1","v2"]'], ['model', '["v2"]']])
  })

  test('tells a gateway that starts which versions served', async () => {
    const onRecord = vi.fn()
    const ledger = createLedger(new FakeRecords(new Map([['model', '["v1","v2"]'], ['other', 'of another form']])), { onRecord, isCoordinator: () => false })
    await vi.advanceTimersByTimeAsync(100)
    expect(ledger.isRead).toBe(true)
    expect(onRecord.mock.calls).toEqual([['model', 'v1'], ['model', 'v2']])
  })

  test('counts as read only when the store has answered', async () => {
    const store = new FakeRecords()
    store.failing = true
    const ledger = createLedger(store)
    await vi.advanceTimersByTimeAsync(3000)
    expect(ledger.isRead).toBe(false)
    store.failing = false
    await vi.advanceTimersByTimeAsync(3000)
    expect(ledger.isRead).toBe(true)
  })
})

describe('the history of versions', () => {
  test('reports the first listing of a further version, once', () => {
    const registry = new BackendRegistry(createLog().log)
    const onChange = vi.fn()
    const history = new VersionHistory(registry, { onChange })
    registry.upsert(createRecord({ id: 'a', softwareVersion: 'v1' }))
    registry.markWholeListLoaded()
    for (const [id, softwareVersion] of [['b', 'v1'], ['c', 'v2'], ['d', 'v2']])
      registry.upsert(createRecord({ id, softwareVersion }))
    expect(onChange.mock.calls).toEqual([['encode']])
    expect(history.changedForMs('encode', performance.now())).toBeLessThan(1000)
    expect(history.changedForMs('other', performance.now())).toBe(Number.POSITIVE_INFINITY)
    expect(history.serving('encode', 1000, performance.now())).toMatchObject([{ version: 'v1', ageMs: Number.POSITIVE_INFINITY }, { version: 'v2', ageMs: expect.closeTo(0, -2) }])
  })

  test('contains a version that an entry names later, as one that has served for an unknown time', () => {
    const registry = new BackendRegistry(createLog().log)
    const onChange = vi.fn()
    const history = new VersionHistory(registry, { onChange })
    registry.upsert(createRecord({ id: 'a', softwareVersion: 'v1' }))
    registry.upsert(createRecord({ id: 'b' }))
    registry.markWholeListLoaded()
    onChange.mockClear()
    registry.upsert(createRecord({ id: 'b', softwareVersion: 'v2' }))
    expect(onChange.mock.calls).toEqual([['encode']])
    expect(history.ageMs(registry.find('b')!, performance.now())).toBe(Number.POSITIVE_INFINITY)
    expect(history.serving('encode', 1000, performance.now())).toMatchObject([{ version: 'v1' }, { version: 'v2', ageMs: Number.POSITIVE_INFINITY }])
  })

  test('names versions once the entry of the only backend server names one later', () => {
    const registry = new BackendRegistry(createLog().log)
    const history = new VersionHistory(registry)
    registry.upsert(createRecord())
    expect(history.namesVersions('encode')).toBe(false)
    registry.upsert(createRecord({ softwareVersion: 'v1' }))
    expect(history.namesVersions('encode')).toBe(true)
  })

  test.each([
    { title: 'soon, as one that may have streams', lifeMs: 60_000, ageMs: Number.POSITIVE_INFINITY },
    { title: 'after the life of all its streams, as a new one', lifeMs: 0, ageMs: 0 },
  ])('reports a version that comes back $title', ({ lifeMs, ageMs }) => {
    vi.useFakeTimers()
    const registry = new BackendRegistry(createLog().log)
    const onChange = vi.fn()
    const history = new VersionHistory(registry, { onChange, lifeMs: () => lifeMs })
    for (const [id, softwareVersion] of [['a', 'v1'], ['b', 'v2'], ['c', 'v2']])
      registry.upsert(createRecord({ id, softwareVersion }))
    registry.markWholeListLoaded()
    registry.remove('b', 'test')
    registry.remove('c', 'test')
    vi.advanceTimersByTime(100)
    onChange.mockClear()
    registry.upsert(createRecord({ id: 'd', softwareVersion: 'v2' }))
    registry.upsert(createRecord({ id: 'e', softwareVersion: 'v2' }))
    expect(onChange.mock.calls).toEqual([['encode']])
    expect(history.changedForMs('encode', performance.now())).toBe(0)
    expect(history.ageMs(registry.find('d')!, performance.now())).toBe(ageMs)
    vi.useRealTimers()
  })

  test('does not take a version that the ledger names for a new one', () => {
    const registry = new BackendRegistry(createLog().log)
    const history = new VersionHistory(registry)
    history.noteServed('encode', 'v2', performance.now())
    registry.markWholeListLoaded()
    registry.upsert(createRecord({ softwareVersion: 'v2' }))
    expect(history.ageMs(registry.find('replica-a')!, performance.now())).toBe(Number.POSITIVE_INFINITY)
  })
})

test('an entry that a peer of an earlier release passed on without its version gets it from the own read', () => {
  const { log } = createLog()
  const registry = new BackendRegistry(log)
  const list = new BackendList(registry, log)
  list.adoptChanges([{ id: 'a', revision: 5, record: createRecord({ id: 'a' }) }], 5, { name: 'gateway-b', address: '127.0.0.1:1' })
  list.upsert({ record: createRecord({ id: 'a', softwareVersion: 'v1' }), revision: 5 })
  expect(registry.find('a')).toMatchObject({ softwareVersion: 'v1' })
})
