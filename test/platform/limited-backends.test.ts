import { wait } from '@eidermast/common'
import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { SpokenDeployment } from './support/spoken-deployment.js'
import { mostWithin } from './support/spoken-pool.js'

/** Milliseconds after the first naming of a limit from which on the bound holds (settings, `contact-ms`). */
const CONTACT_MS = 3000
/** Milliseconds after its answer from which on a gateway counts as told. */
const TOLD_AFTER_MS = 500
/** Milliseconds over which requests are counted. */
const SPAN_MS = 4000
const PLAY_MS = 9000
const POOL_SIZE = 10
const REQUESTS_PER_SECOND = 60

/** Requests in a span that a limit allows, from all gateways that were told. */
function allowedIn(limitPerSecond: number): number {
  return 1.5 * limitPerSecond * SPAN_MS / 1000 + 5
}

let deployment: SpokenDeployment

beforeEach(() => {
  deployment = new SpokenDeployment()
  return deployment.start(POOL_SIZE)
})
afterEach(() => deployment.stop())

describe('a backend server that names a limit of requests a second', () => {
  test.each([
    { limited: 1, limit: 1 },
    { limited: 3, limit: 1.3 },
    { limited: POOL_SIZE, limit: 2 },
  ])('gets no more from all gateways together: $limited of ten name $limit', async ({ limited, limit }) => {
    const speakers = deployment.pool.slice(0, limited)
    const namedAt = performance.now()
    for (const backend of speakers)
      backend.speech = { headers: { 'Server-Limit': String(limit) } }
    await deployment.sendFor(PLAY_MS, REQUESTS_PER_SECOND)
    await wait(TOLD_AFTER_MS)
    const most = speakers.map(backend => mostWithin(backend.arrivalsOfTold(TOLD_AFTER_MS, namedAt + CONTACT_MS - SPAN_MS), SPAN_MS))
    expect(Math.max(...most)).toBeLessThanOrEqual(allowedIn(limit))
  })
})
