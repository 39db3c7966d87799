import type { ReceivedStream, StreamOptions } from './support/stream-client.js'
import { wait } from '@eidermast/common'
import { afterEach, beforeAll, describe, expect, test, vi } from 'vitest'
import { isMixed, isWhole } from './support/stream-client.js'
import { STREAM_EVENTS, streamVersion, VersionedDeployment } from './support/versioned-deployment.js'

const EACH = 4
/** Time in which a stream that has begun brings some of its events. */
const HALF_WAY_MS = 300
/** Pause between two events of a stream that lasts while gateways start again. */
const LONG_PAUSE_MS = 100
/** Time in which gateways repeat their reports to one that has started again, and list it. */
const REPEATED_WITHIN_MS = 1000
/** Streams that are started together. */
const STREAMS = 30
/** Between streams that are started in turn: a fifth of the load that the stage service bears, whose batch of 6 takes 60 ms. */
const START_INTERVAL_MS = 50
/** Share of them that has begun before a test goes on; the number that clients then have to resume is checked. */
const MIN_BEGUN_SHARE = 0.8

let deployment: VersionedDeployment
/** Streams that have brought their first event, of those that were started last. */
let begun = 0

beforeAll(async () => {
  await import('../../platform/build.mjs' as string)
}, 60_000)
afterEach(() => deployment.stop())

async function startDeployment(counts: Record<string, number>, gateways?: number): Promise<void> {
  deployment = new VersionedDeployment(gateways)
  await deployment.start(counts)
}

function startStreams(count: number, options: StreamOptions = {}): Promise<ReceivedStream[]> {
  begun = 0
  const onEvent = (id: number): void => void (id === 1 && begun++)
  return Promise.all(Array.from({ length: count }, () => deployment.clients.stream({ onEvent, ...options })))
}

/** Starts streams one after the other, so slowly that the stage service never refuses one for lack of time. */
async function startStreamsInTurn(count: number, options: StreamOptions): Promise<ReceivedStream[]> {
  const streams: Promise<ReceivedStream>[] = []
  for (let stream = 0; stream < count; stream++) {
    streams.push(deployment.clients.stream(options))
    await wait(START_INTERVAL_MS)
  }
  return Promise.all(streams)
}

/** Waits until most of the streams that were started last have begun, and for some more of their events. */
async function waitUntilHalfWay(): Promise<void> {
  await vi.waitFor(() => expect(begun).toBeGreaterThan(STREAMS * MIN_BEGUN_SHARE), { timeout: 5000, interval: 10 })
  await wait(HALF_WAY_MS)
}

/** Lets every third run of a stream break at its backend server after some events. */
function breakEveryThirdRun(): void {
  let runs = 0
  for (const backend of deployment.backends.filter(({ service }) => service === 'model'))
    backend.respond = streamVersion(backend.softwareVersion!, () => runs++ % 3 === 0 ? 10 : Number.POSITIVE_INFINITY)
}

function unlistVersion(version: string): void {
  deployment.ofVersion(version).forEach(backend => deployment.unlist(backend))
}

/** Whether the client had to resume the stream after its first event. */
function isResumed({ tries }: ReceivedStream): boolean {
  return tries.some(({ resumes }) => resumes)
}

describe.each([['without stages', '/stream/x'], ['with stages', '/staged/x']])('a stream %s that breaks at its backend server', (_name, path) => {
  test('is continued by its gateway only at the version that began it, and is continued', async () => {
    await startDeployment({ v1: EACH, v2: EACH })
    breakEveryThirdRun()
    const streams = await startStreamsInTurn(STREAMS * 2, { path, maxTries: 1 })
    expect(streams.filter(isMixed)).toEqual([])
    expect(streams.filter(stream => isWhole(stream, STREAM_EVENTS)).length).toBeGreaterThan(streams.length / 2)
  })
})

describe.each([['without stages', '/stream/x'], ['with stages', '/staged/x']])('streams %s of a service of two software versions', (_name, path) => {
  test('go on within one answer at the version that began them, and go on', async () => {
    await startDeployment({ v1: EACH, v2: EACH })
    breakEveryThirdRun()
    const streams = await startStreamsInTurn(STREAMS * 2, { path })
    expect(streams.filter(isMixed)).toEqual([])
    expect(streams.filter(stream => isWhole(stream, STREAM_EVENTS)).length).toBeGreaterThan(streams.length / 2)
  })

  test('go on at the version that began them when a gateway is killed and clients resume them at others', async () => {
    await startDeployment({ v1: EACH, v2: EACH })
    const running = startStreams(STREAMS, { gateway: 0, path })
    await waitUntilHalfWay()
    await deployment.kill(0)
    const streams = await running
    const resumed = streams.filter(isResumed)
    expect(resumed.length).toBeGreaterThan(12)
    expect(streams.filter(isMixed)).toEqual([])
    expect(resumed.filter(stream => isWhole(stream, STREAM_EVENTS)).length).toBeGreaterThan(resumed.length / 2)
  })

  test('hold events of one version only when all gateways are killed and started again', async () => {
    await startDeployment({ v1: EACH, v2: EACH })
    const running = startStreams(STREAMS, { path })
    await waitUntilHalfWay()
    await deployment.killAndRestart([0, 1, 2])
    expect((await running).filter(isMixed)).toEqual([])
  })
})

describe('a stream that its client resumes', () => {
  interface ResumeOptions extends Pick<StreamOptions, 'gateway'> {
    /** Whether clients wait with resuming until the change is complete, so that no try reaches a gateway that is about to be killed. @default false */
    resumesAfterChange?: boolean
  }

  /** Starts streams, lets them run half way, changes the deployment, and returns the streams that were resumed. */
  async function resumeAfter(change: () => Promise<void>, { gateway, resumesAfterChange = false }: ResumeOptions = {}): Promise<ReceivedStream[]> {
    let changed: Promise<void> | undefined
    const running = startStreams(STREAMS, { gateway, maxTries: 2, beforeRetry: () => resumesAfterChange ? changed : undefined })
    await waitUntilHalfWay()
    changed = change()
    await changed
    const resumed = (await running).filter(isResumed)
    expect(resumed.length).toBeGreaterThan(STREAMS / 2)
    return resumed
  }

  const wholeOf = (streams: readonly ReceivedStream[]): ReceivedStream[] => streams.filter(stream => isWhole(stream, STREAM_EVENTS))
  const statusesOf = (streams: readonly ReceivedStream[]): (number | undefined)[] => [...new Set(streams.map(({ tries }) => tries.at(-1)!.status))]

  test.each([['that names its version', 'v1'], ['that names none', undefined]])('goes on after all gateways were killed, in a service of one version %s', async (_name, version) => {
    await startDeployment({})
    await deployment.addBackends(version, EACH)
    await deployment.waitUntilListed()
    const resumed = await resumeAfter(() => deployment.killAndRestart([0, 1, 2]), { resumesAfterChange: true })
    expect(wholeOf(resumed).length).toBeGreaterThan(resumed.length / 2)
  })

  test('goes on at its version where two of seven gateways are killed, though others have no record of it', async () => {
    await startDeployment({ v1: EACH, v2: EACH }, 7)
    const resumed = await resumeAfter(async () => {
      await Promise.all([deployment.kill(0), deployment.kill(1)])
    }, { gateway: 0 })
    expect(resumed.filter(isMixed)).toEqual([])
    expect(wholeOf(resumed).length).toBeGreaterThan(resumed.length / 2)
    const sources = deployment.gateways.flatMap(gateway => [...gateway.readLog().matchAll(/"event":"stream-resumed".*"source":"([a-z-]+)"/g)].map(([, source]) => source))
    expect(sources).toContain('reported')
  })

  test('goes on at its version where the gateways that knew it have started again before its own one is killed', async () => {
    await startDeployment({ v1: EACH, v2: EACH }, 4)
    for (const backend of deployment.backends.filter(({ service }) => service === 'model'))
      backend.respond = streamVersion(backend.softwareVersion!, undefined, LONG_PAUSE_MS)
    const resumed = await resumeAfter(async () => {
      await deployment.killAndRestart([1, 2, 3])
      await deployment.waitUntilListed()
      await wait(REPEATED_WITHIN_MS)
      await deployment.kill(0)
    }, { gateway: 0 })
    expect(resumed.filter(isMixed)).toEqual([])
    expect(wholeOf(resumed).length).toBeGreaterThan(resumed.length / 2)
  })

  test('goes on at its version though its own gateway, now killed, has started while it was cut off from the store', async () => {
    await startDeployment({ v1: EACH, v2: EACH }, 4)
    // The others send it heartbeats, by which it gets configuration and backend servers.
    const index = await deployment.findCoordinator()
    deployment.cutFromStore(index)
    await deployment.killAndRestart([index])
    await vi.waitFor(async () => expect(await deployment.gateways[index].isReady()).toBe(true), { timeout: 5000, interval: 20 })
    const resumed = await resumeAfter(() => deployment.kill(index), { gateway: index })
    expect(resumed.filter(isMixed)).toEqual([])
    expect(wholeOf(resumed).length).toBeGreaterThan(resumed.length / 2)
  })

  describe('at a gateway that was suspended, while no other one answers,', () => {
    /** More than those that keep the record of one stream. */
    const GATEWAYS = 7
    /** Clients give a stream up after this gap. */
    const MAX_GAP_MS = 2000
    /** Time from listing a version until it gets streams, with a margin. */
    const INTRODUCED_AFTER_MS = 3500

    /** Suspends the first gateway, lets streams begin at the last one, and lets clients resume them at the first one while all others are suspended. */
    async function resumeAtSuspended(whileSuspended: () => Promise<void>): Promise<ReceivedStream[]> {
      const [resuming, ...others] = deployment.gateways
      resuming.signal('SIGSTOP')
      await whileSuspended()
      const running = startStreams(STREAMS, { gateway: GATEWAYS - 1, maxTries: 2, maxGapMs: MAX_GAP_MS })
      await waitUntilHalfWay()
      others.forEach(gateway => gateway.signal('SIGSTOP'))
      resuming.signal('SIGCONT')
      const resumed = (await running).filter(isResumed)
      expect(resumed.length).toBeGreaterThan(STREAMS / 2)
      return resumed
    }

    test('is refused if it is cut off from the store, and another version was listed meanwhile', async () => {
      await startDeployment({ v1: EACH }, GATEWAYS)
      deployment.cutFromStore(0)
      const resumed = await resumeAtSuspended(async () => {
        await deployment.addBackends('v2', EACH * 3)
        await wait(INTRODUCED_AFTER_MS)
      })
      expect(resumed.filter(({ versions }) => versions[0] === 'v2').length).toBeGreaterThan(2)
      expect(resumed.filter(isMixed)).toEqual([])
    })

    // Guards against streams joined from two versions at a gateway that takes the old list of a peer for a recent one.
    test('is refused if the peer whose list it takes has missed that another version was listed', async () => {
      await startDeployment({ v1: EACH }, GATEWAYS)
      const { gateways } = deployment
      const peer = await deployment.findCoordinator()
      const begins = (peer + 1) % GATEWAYS
      const resumes = (peer + 2) % GATEWAYS
      gateways[resumes].signal('SIGSTOP')
      const [changed] = await deployment.addBackends('v1', 1)
      await vi.waitFor(() => expect(gateways[peer].readLog()).toContain(changed.id), { timeout: 5000, interval: 20 })
      gateways[peer].signal('SIGSTOP')
      deployment.cutFromStore(peer)
      deployment.cutFromStore(resumes)
      const [introduced] = await deployment.addBackends('v2', EACH * 3)
      await vi.waitFor(() => expect(gateways[begins].readLog()).toContain(introduced.id), { timeout: 10_000, interval: 20 })
      await wait(INTRODUCED_AFTER_MS)
      const running = startStreams(STREAMS, { gateway: begins, maxTries: 2, maxGapMs: MAX_GAP_MS })
      await waitUntilHalfWay()
      gateways.filter((_, index) => ![peer, begins, resumes].includes(index)).forEach(gateway => gateway.signal('SIGSTOP'))
      gateways[peer].signal('SIGCONT')
      gateways[resumes].signal('SIGCONT')
      await vi.waitFor(() => expect(gateways[resumes].readLog()).toContain(changed.id), { timeout: 1000, interval: 10 })
      await deployment.kill(begins)
      const resumed = (await running).filter(isResumed)
      expect(resumed.length).toBeGreaterThan(STREAMS / 2)
      expect(resumed.filter(({ versions }) => versions[0] === 'v2').length).toBeGreaterThan(2)
      expect(resumed.filter(isMixed)).toEqual([])
    })

    test('goes on at the only version that the store lists', async () => {
      await startDeployment({ v1: EACH }, GATEWAYS)
      const resumed = await resumeAtSuspended(() => wait(INTRODUCED_AFTER_MS))
      expect(wholeOf(resumed).length).toBeGreaterThan(resumed.length / 2)
    })
  })

  test('is refused after all gateways were killed, if its version has left and another one serves alone', async () => {
    await startDeployment({ v1: EACH, v2: EACH })
    const resumed = await resumeAfter(async () => {
      unlistVersion('v1')
      await deployment.waitUntilListed()
      await deployment.killAndRestart([0, 1, 2])
    }, { resumesAfterChange: true })
    expect(resumed.filter(isMixed)).toEqual([])
    expect(statusesOf(resumed)).toEqual([503])
  })

  // Guards against streams that are joined from two versions after all records of them were lost in a change of versions.
  test.each<[string, Record<string, number>, () => Promise<void>]>([
    ['while two versions serve', { v1: EACH, v2: EACH }, async () => {}],
    ['as its version leaves', { v1: EACH, v2: EACH }, async () => unlistVersion('v1')],
    ['as another version takes the place of the only one', { v1: EACH }, async () => {
      unlistVersion('v1')
      await deployment.addBackends('v2', EACH)
    }],
    ['as a third version takes the place of both', { v1: EACH, v2: EACH }, async () => {
      unlistVersion('v1')
      unlistVersion('v2')
      await deployment.addBackends('v3', EACH)
    }],
  ])('holds events of one version only, over all its tries, if all gateways are killed twice %s', async (_name, counts, change) => {
    await startDeployment(counts)
    for (const backend of deployment.backends.filter(({ service }) => service === 'model'))
      backend.respond = streamVersion(backend.softwareVersion!, undefined, LONG_PAUSE_MS)
    const running = startStreams(STREAMS)
    await waitUntilHalfWay()
    await Promise.all([deployment.killAndRestart([0, 1, 2]), change()])
    await deployment.waitUntilListed()
    await deployment.killAndRestart([0, 1, 2])
    const resumed = (await running).filter(isResumed)
    expect(resumed.length).toBeGreaterThan(STREAMS / 2)
    expect(resumed.filter(isMixed)).toEqual([])
  })

  test('goes on at its version if another one is first listed while its gateway is killed', async () => {
    await startDeployment({ v1: EACH })
    const resumed = await resumeAfter(async () => {
      const listed = deployment.addBackends('v2', EACH)
      await deployment.kill(0)
      await listed
    }, { gateway: 0 })
    expect(resumed.filter(isMixed)).toEqual([])
    expect(wholeOf(resumed).length).toBeGreaterThan(resumed.length / 2)
  })

  test('goes on at its version though it began before another one was listed', async () => {
    await startDeployment({ v1: EACH })
    const resumed = await resumeAfter(async () => {
      await deployment.addBackends('v2', EACH)
      await deployment.waitUntilListed()
      await wait(100)
      await deployment.kill(0)
    }, { gateway: 0 })
    expect(resumed.filter(isMixed)).toEqual([])
    expect(wholeOf(resumed).length).toBeGreaterThan(resumed.length / 2)
  })

  test('is refused at once and without a retry delay if no server of its version is left', async () => {
    await startDeployment({ v1: EACH, v2: EACH })
    for (const backend of deployment.ofVersion('v1'))
      backend.respond = streamVersion('v1', undefined, LONG_PAUSE_MS)
    await deployment.change(deployment.ofVersion('v2'), 'draining')
    const resumed = await resumeAfter(async () => {
      await deployment.change(deployment.ofVersion('v1'), 'draining')
      await deployment.change(deployment.ofVersion('v2'), 'ready')
      await deployment.kill(0)
    }, { gateway: 0 })
    expect(new Set(resumed.flatMap(({ versions }) => versions))).toEqual(new Set(['v1']))
    expect(statusesOf(resumed)).toEqual([503])
    expect(resumed.map(({ tries }) => tries[1].retryAfter).filter(Boolean)).toEqual([])
    expect(Math.max(...resumed.map(({ tries }) => tries[1].tookMs))).toBeLessThan(1000)
  })
})
