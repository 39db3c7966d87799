import type { OriginReplies, OriginReply, RoutedRequest, StreamMessage, StreamVersionsDependencies } from '@eidermast/gateway'
import { ErrorKind, wait } from '@eidermast/common'
import { BackendRegistry, OriginSource, streamKeyOf, StreamVersions, VersionHistory } from '@eidermast/gateway'
import { describe, expect, test, vi } from 'vitest'
import { createLog, createRecord, createRoute } from './support/fakes.js'

const SERVICE = 'model'
const NOBODY: OriginReplies = { asked: 0, silent: 0, reachesOtherDomains: true, replies: [] }

interface StreamsOptions extends Partial<StreamVersionsDependencies> {
  versions?: (string | undefined)[]
}

async function createStreams({ versions = ['v1', 'v2'], ...change }: StreamsOptions = {}) {
  const { log, lines } = createLog()
  const registry = new BackendRegistry(log)
  let streams: StreamVersions | undefined
  const history = new VersionHistory(registry, { onChange: service => streams?.reportIfNeeded(service) })
  versions.forEach((softwareVersion, index) => registry.upsert(createRecord({ id: `model-${index}`, service: SERVICE, softwareVersion })))
  registry.markWholeListLoaded()
  const reported: StreamMessage[] = []
  const find = vi.fn(async () => NOBODY)
  const countStreamResumed = vi.fn()
  streams = new StreamVersions({
    history,
    reporter: { report: stream => reported.push(stream) },
    finder: { find },
    lifeMs: () => 10_000,
    longestLifeMs: () => 10_000,
    isHistoryRead: () => true,
    listAgeMs: () => 0,
    refreshList: async () => {},
    whenPeersDiscovered: async () => {},
    knowsGateways: () => true,
    listsGateways: () => true,
    metrics: { countStreamResumed },
    log,
    ...change,
  })
  const started = streams.start()
  return { streams, registry, reported, find, countStreamResumed, lines, started }
}

function createRequest(head: Partial<RoutedRequest['head']> = {}, route = createRoute({ streaming: true, resumable: true })): RoutedRequest {
  return { route, service: SERVICE, account: undefined, head: { requestId: 'id-1', lastEventId: undefined, resumedRequestId: undefined, ...head } } as unknown as RoutedRequest
}

const RESUMED = createRequest({ requestId: 'id-2', lastEventId: '4', resumedRequestId: 'id-1' })

describe('a stream that begins', () => {
  test('is reported while several versions serve', async () => {
    const { streams, reported, started } = await createStreams()
    await started
    streams.recordBegun(createRequest(), 'v1')
    expect(reported).toMatchObject([{ version: 'v1' }])
  })

  test('is not reported while one version serves, but once a second one is listed', async () => {
    const { streams, reported, registry, started } = await createStreams({ versions: ['v1'] })
    await started
    streams.recordBegun(createRequest(), 'v1')
    expect(reported).toEqual([])
    registry.upsert(createRecord({ id: 'other', service: SERVICE, softwareVersion: 'v2' }))
    expect(reported).toMatchObject([{ version: 'v1' }])
  })

  test('is reported if it is not known which versions served before', async () => {
    const { streams, reported, started } = await createStreams({ versions: ['v1'], isHistoryRead: () => false })
    await started
    streams.recordBegun(createRequest(), 'v1')
    expect(reported).toHaveLength(1)
  })

  test('is reported once this process knows its peers, if it began before', async () => {
    let knowsGateways = false
    const { streams, reported, started } = await createStreams({ knowsGateways: () => knowsGateways, listsGateways: () => knowsGateways })
    streams.recordBegun(createRequest(), 'v1')
    await started
    streams.reportPending()
    expect(reported).toEqual([])
    knowsGateways = true
    streams.reportPending()
    streams.reportPending()
    expect(reported).toHaveLength(1)
  })

  test.each([
    ['has read the directory', { listsGateways: true, isDiscovered: true }, 1],
    ['knows only those that send it heartbeats', { listsGateways: false, isDiscovered: true }, 2],
    ['has not heard from those that the directory lists', { listsGateways: true, isDiscovered: false }, 2],
  ])('is reported at once by a gateway that %s, and again where others keep the records', async (_name, { listsGateways, isDiscovered }, reports) => {
    let lists = listsGateways
    let discover = (): void => {}
    const discovered = isDiscovered ? Promise.resolve() : new Promise<void>(resolve => discover = resolve)
    const { streams, reported, started } = await createStreams({ listsGateways: () => lists, whenPeersDiscovered: () => discovered })
    if (isDiscovered)
      await started
    streams.recordBegun(createRequest(), 'v1')
    streams.reportPending()
    expect(reported).toHaveLength(1)
    lists = true
    discover()
    await started
    streams.reportPending()
    streams.reportPending()
    expect(reported).toHaveLength(reports)
  })

  test.each([
    ['of a service that names no versions', [undefined], createRequest()],
    ['that clients cannot resume', ['v1', 'v2'], createRequest({}, createRoute({ streaming: true }))],
  ])('%s is not reported', async (_name, versions, request) => {
    const { streams, reported, started } = await createStreams({ versions })
    await started
    streams.recordBegun(request, versions[0])
    expect(reported).toEqual([])
  })
})

describe('a stream that its client resumes', () => {
  test('goes on as this process recorded it, without a question', async () => {
    const { streams, find, countStreamResumed, lines } = await createStreams()
    streams.recordBegun(createRequest(), 'v2')
    expect((await streams.findOrigin(RESUMED)).unwrap()).toEqual({ version: 'v2' })
    expect(find).not.toHaveBeenCalled()
    expect(countStreamResumed).toHaveBeenCalledWith(OriginSource.Recorded)
    expect(lines.find(({ event }) => event === 'stream-resumed')).toMatchObject({ request: 'id-2', resumes: 'id-1', source: 'recorded', version: 'v2', versions: 'v1, v2' })
  })

  test('goes on as a peer reported it to this process', async () => {
    const { streams, reported, started } = await createStreams()
    await started
    streams.recordBegun(createRequest(), 'v2')
    const other = await createStreams()
    other.streams.noteReported(reported)
    expect((await other.streams.findOrigin(RESUMED)).unwrap()).toEqual({ version: 'v2' })
  })

  test('is not forgotten with the streams of a service whose streams are shorter', async () => {
    const { streams, registry } = await createStreams({ lifeMs: service => service === SERVICE ? 10_000 : 0, longestLifeMs: () => 10_000 })
    registry.upsert(createRecord({ id: 'short', service: 'short', softwareVersion: 'v1' }))
    streams.recordBegun(createRequest(), 'v2')
    await wait(5)
    streams.recordBegun({ ...createRequest({ requestId: 'id-3' }), service: 'short' }, 'v1')
    expect((await streams.findOrigin(RESUMED)).unwrap()).toEqual({ version: 'v2' })
  })

  test('is forgotten after the longest life of a stream, also if only peers report streams', async () => {
    vi.useFakeTimers()
    const { streams } = await createStreams()
    streams.noteReported([{ key: streamKeyOf(createRequest())!, version: 'v2' }])
    vi.advanceTimersByTime(20_000)
    streams.noteReported([{ key: 'other', version: 'v1' }])
    vi.useRealTimers()
    expect(streams.answer({ key: streamKeyOf(createRequest())!, service: SERVICE }).known).toBe(false)
  })

  test('is known to peers under the request that began it, however often it is resumed', async () => {
    const { streams, reported, started } = await createStreams()
    await started
    streams.recordBegun(createRequest(), 'v1')
    streams.recordBegun(RESUMED, 'v1')
    expect(new Set(reported.map(({ key }) => key)).size).toBe(1)
  })

  test.each([
    ['of another service', { ...RESUMED, service: 'other' }],
    ['of another client account', { ...RESUMED, account: { name: 'other', keys: [] } }],
    ['that never existed', createRequest({ requestId: 'id-2', lastEventId: '4', resumedRequestId: 'invented' })],
    ['that the client does not name', createRequest({ requestId: 'id-2', lastEventId: '4' })],
  ])('is refused if it names a stream %s', async (_name, request) => {
    const { streams, registry } = await createStreams()
    for (const softwareVersion of ['v1', 'v2'])
      registry.upsert(createRecord({ id: softwareVersion, service: 'other', softwareVersion }))
    streams.recordBegun(createRequest(), 'v2')
    const found = await streams.findOrigin(request)
    expect(found.isErr() && [ErrorKind.StreamVersionLost, ErrorKind.StreamVersionUnknown].includes(found.error.kind)).toBe(true)
  })

  test('is refused with a retry delay while it may become known', async () => {
    const { streams } = await createStreams({ finder: { find: async () => ({ ...NOBODY, asked: 3, silent: 1 }) } })
    expect((await streams.findOrigin(RESUMED)).unwrapErr()).toMatchObject({ kind: ErrorKind.StreamVersionUnknown, retryAfterMs: 500 })
  })

  test('is refused without a retry delay if the peers that could know it have ended', async () => {
    const { streams } = await createStreams({ finder: { find: async () => ({ ...NOBODY, asked: 3 }) } })
    const refusal = (await streams.findOrigin(RESUMED)).unwrapErr()
    expect(refusal).toMatchObject({ kind: ErrorKind.StreamVersionLost, message: expect.stringContaining('v1, v2') })
    expect(refusal.retryAfterMs).toBeUndefined()
  })

  describe('asks peers', () => {
    const agreeing: OriginReply = { peer: 'gateway-b', record: undefined, versions: [{ version: 'v1', ageMs: Number.POSITIVE_INFINITY }], isComplete: true }
    const other: OriginReply = { ...agreeing, versions: [...agreeing.versions, { version: 'v2', ageMs: 4000 }] }

    test.each([
      { title: 'until one agrees, if its list of backend servers is recent', listAgeMs: 100, replies: [agreeing], silent: 4, isEnough: true },
      { title: 'until more than one agrees, if its list has missed the changes of some seconds', listAgeMs: 5000, replies: [agreeing], silent: 4, isEnough: false },
      { title: 'until no fewer agree than are silent, if its list is old', listAgeMs: 5000, replies: [agreeing, agreeing, agreeing], silent: 2, isEnough: true },
      { title: 'until all have answered, if one knows of another version', listAgeMs: 100, replies: [agreeing, other], silent: 1, isEnough: false },
    ])('$title', async ({ listAgeMs, replies, silent, isEnough }) => {
      const find = vi.fn(async (_question: unknown, _isEnough: (found: OriginReplies) => boolean) => NOBODY)
      const { streams } = await createStreams({ versions: ['v1'], listAgeMs: () => listAgeMs, finder: { find } })
      await streams.findOrigin(RESUMED)
      expect(find.mock.calls[0][1]({ asked: 5, silent, reachesOtherDomains: true, replies })).toBe(isEnough)
    })
  })

  describe('of the only version that is known, while most peers are silent,', () => {
    const silentPeers = { find: async () => ({ ...NOBODY, asked: 3, silent: 3 }) }

    test('goes on once the list of backend servers was read again', async () => {
      let listAgeMs = 5000
      const { streams } = await createStreams({ versions: ['v1'], listAgeMs: () => listAgeMs, refreshList: async () => void (listAgeMs = 20), finder: silentPeers })
      expect((await streams.findOrigin(RESUMED)).unwrap()).toEqual({ version: 'v1' })
    })

    test('is refused if the list, read again, contains another version', async () => {
      let listAgeMs = 5000
      const refreshList = async (): Promise<void> => {
        listAgeMs = 20
        created.registry.upsert(createRecord({ id: 'other', service: SERVICE, softwareVersion: 'v2' }))
        await wait(1600)
      }
      const created = await createStreams({ versions: ['v1'], listAgeMs: () => listAgeMs, refreshList, finder: silentPeers })
      expect((await created.streams.findOrigin(RESUMED)).unwrapErr().kind).toBe(ErrorKind.StreamVersionUnknown)
    })

    test('is refused with a retry delay if the list cannot be read', async () => {
      const { streams, countStreamResumed } = await createStreams({ versions: ['v1'], listAgeMs: () => 5000, finder: silentPeers })
      expect((await streams.findOrigin(RESUMED)).unwrapErr()).toMatchObject({ kind: ErrorKind.StreamVersionUnknown, retryAfterMs: 500 })
      expect(countStreamResumed).toHaveBeenCalledWith(OriginSource.Unconfirmed)
    })
  })

  test.each([
    ['that begins', createRequest()],
    ['that names a stream but no event', createRequest({ resumedRequestId: 'id-1' })],
    ['on a route whose streams cannot be resumed', { ...RESUMED, route: createRoute({ streaming: true }) }],
  ])('is not looked for by a request %s', async (_name, request) => {
    const { streams, find } = await createStreams()
    expect((await streams.findOrigin(request)).unwrap()).toBeUndefined()
    expect(find).not.toHaveBeenCalled()
  })

  test('goes on anywhere in a service that names no versions', async () => {
    const { streams } = await createStreams({ versions: [undefined] })
    expect((await streams.findOrigin(RESUMED)).unwrap()).toBeUndefined()
  })
})
