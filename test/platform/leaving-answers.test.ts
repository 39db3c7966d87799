import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { SpokenDeployment } from './support/spoken-deployment.js'

/** Milliseconds after such an answer from which a gateway that passed it on sends no new request (settings, `drain-ms`). */
const DRAIN_MS = 2000
const PLAY_MS = 5000
const POOL_SIZE = 4
const REQUESTS_PER_SECOND = 40

let deployment: SpokenDeployment

beforeEach(() => {
  deployment = new SpokenDeployment()
  return deployment.start(POOL_SIZE)
})
afterEach(() => deployment.stop())

describe('a backend server that says in its answers that it leaves, while the list holds it ready', () => {
  test('gets no request that a client sent later than the drain bound after such an answer', async () => {
    const [backend] = deployment.pool
    backend.speech = { headers: { 'Server-Leaving': '1' } }
    await deployment.sendFor(PLAY_MS, REQUESTS_PER_SECOND)
    const late = backend.arrivals.filter(({ gateway, requestId }) => deployment.sentAt.get(requestId)! > backend.toldAt.get(gateway)! + DRAIN_MS)
    expect(backend.toldAt.size).toBeGreaterThan(0)
    expect(late).toEqual([])
  })
})
