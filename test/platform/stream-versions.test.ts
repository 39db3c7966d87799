import type { ReceivedStream, StreamOptions } from './support/stream-client.js'
import { wait } from '@eidermast/common'
import { afterEach, describe, expect, test } from 'vitest'
import { isMixed, isWhole } from './support/stream-client.js'
import { STREAM_EVENTS, streamVersion, VersionedDeployment } from './support/versioned-deployment.js'

const EACH = 4
/** Time after which a stream has brought some of its events. */
const HALF_WAY_MS = 400
/** Among so many streams that are taken up, the number that goes on is compared with new ones. */
const STREAMS = 30

let deployment: VersionedDeployment

afterEach(() => deployment.stop())

async function startDeployment(counts: Record<string, number>): Promise<void> {
  deployment = new VersionedDeployment()
  await deployment.start(counts)
}

function startStreams(count: number, options: StreamOptions = {}): Promise<ReceivedStream[]> {
  return Promise.all(Array.from({ length: count }, () => deployment.clients.stream(options)))
}

/** Lets every third run of a stream break at its backend server after some events. */
function breakEveryThirdRun(): void {
  let runs = 0
  for (const backend of deployment.backends.filter(({ service }) => service === 'model'))
    backend.respond = streamVersion(backend.softwareVersion!, () => runs++ % 3 === 0 ? 10 : Number.POSITIVE_INFINITY)
}

/** Whether the client had to resume the stream after its first event. */
function isTakenUp({ tries }: ReceivedStream): boolean {
  return tries.length > 1
}

describe.each([['without stages', '/stream/x'], ['with stages', '/staged/x']])('a stream %s that breaks at its backend server', (_name, path) => {
  test('is continued by its gateway only at the version that began it, and is continued', async () => {
    await startDeployment({ v1: EACH, v2: EACH })
    breakEveryThirdRun()
    const streams = await startStreams(STREAMS * 2, { path, maxTries: 1 })
    expect(streams.filter(isMixed)).toEqual([])
    expect(streams.filter(stream => isWhole(stream, STREAM_EVENTS)).length).toBeGreaterThan(streams.length / 2)
  })
})

describe.each([['without stages', '/stream/x']])('streams %s of a service of two software versions', (_name, path) => {
  test('go on within one answer at the version that began them, and go on', async () => {
    await startDeployment({ v1: EACH, v2: EACH })
    breakEveryThirdRun()
    const streams = await startStreams(STREAMS * 2, { path })
    expect(streams.filter(isMixed)).toEqual([])
    expect(streams.filter(stream => isWhole(stream, STREAM_EVENTS)).length).toBeGreaterThan(streams.length / 2)
  })

  test('go on at the version that began them when a gateway is killed and clients resume them at others', async () => {
    await startDeployment({ v1: EACH, v2: EACH })
    const running = startStreams(STREAMS, { gateway: 0, path })
    await wait(HALF_WAY_MS)
    await deployment.kill(0)
    const streams = await running
    const resumed = streams.filter(isTakenUp)
    expect(resumed.length).toBeGreaterThan(12)
    expect(streams.filter(isMixed)).toEqual([])
    expect(resumed.filter(stream => isWhole(stream, STREAM_EVENTS)).length).toBeGreaterThan(resumed.length / 2)
  })

  test('hold events of one version only when all gateways are killed and started again', async () => {
    await startDeployment({ v1: EACH, v2: EACH })
    const running = startStreams(STREAMS, { path })
    await wait(HALF_WAY_MS)
    await deployment.killAndRestart([0, 1, 2])
    expect((await running).filter(isMixed)).toEqual([])
  })
})
