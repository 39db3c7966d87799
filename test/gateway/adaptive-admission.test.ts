import type { AccountShares, BackendEstimate, LoadEstimator, RequestTarget, RoutedRequest } from '@eidermast/gateway'
import { ErrorKind } from '@eidermast/common'
import { AdaptiveAdmission, ArrivalKind, ReportedLoadEstimator } from '@eidermast/gateway'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { createBackend, createLog, createRoute } from './support/fakes.js'

const SERVICE = 'plain'
const SERVICE_MS = 100
const TARGET_MS = 600
const DEADLINE_MS = 3000
/** Interval at which waiting requests are decided on again. */
const RECHECK_MS = 20

/** One backend server with one slot, which is as busy as its calls say. */
class OneSlotEstimator extends ReportedLoadEstimator implements LoadEstimator {
  override estimate({ outstanding }: { outstanding: number }): BackendEstimate {
    return { requests: outstanding, slots: 1, serviceMs: SERVICE_MS, waitMs: outstanding * SERVICE_MS, slowness: undefined }
  }
}

function createDeployment(admittedShare: AccountShares['admittedShare'] = () => 1) {
  const backend = createBackend({ service: SERVICE })
  const backends = { candidates: vi.fn((_target: RequestTarget) => [backend]), shortestWaitMs: vi.fn(() => Number.POSITIVE_INFINITY) }
  const metrics = { countWaiting: vi.fn(), countWait: vi.fn(), countRefusal: vi.fn() }
  const { log, lines } = createLog()
  const admission = new AdaptiveAdmission({ backends, estimator: new OneSlotEstimator(), shares: { admittedShare }, gateways: () => 10, metrics, log })
  /** Admits a request and calls the backend server with it; resolves when it was sent or refused. */
  const admit = async ({ account = 'a', signal = new AbortController().signal, targetLatencyMs = TARGET_MS, deadlineMs = DEADLINE_MS, isRetry = false, arrivalKind = ArrivalKind.New, origin = undefined as RoutedRequest['origin'] } = {}) => {
    const arrivedAt = performance.now()
    const head = { requestId: 'id' }
    const route = createRoute({ targetLatencyMs })
    const request = { head, route, service: SERVICE, account: { name: account, keys: [] }, priority: 0, arrivedAt, deadlineAt: arrivedAt + deadlineMs, firstEventBy: arrivedAt + deadlineMs, isRetry, arrivalKind, origin } as unknown as RoutedRequest
    const admitted = await admission.admit(request, signal)
    if (admitted.isOk())
      backend.outstanding++
    return admitted
  }
  const countWaiting = () => metrics.countWaiting.mock.calls.reduce((sum, [, difference]) => sum + difference, 0)
  return { backend, backends, metrics, lines, admit, countWaiting }
}

beforeEach(() => void vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] }))
afterEach(() => void vi.restoreAllMocks().useRealTimers())

/** Lets a turn of the event loop pass, after which the call of a request that was sent shows in the estimates. */
const nextTurn = (): Promise<void> => new Promise(resolve => setImmediate(resolve))

describe('a request that resumes a stream', () => {
  test('is refused if no backend server of its version is left, while other requests are sent', async () => {
    const { admit, backend, backends } = createDeployment()
    backends.candidates.mockImplementation(({ origin }) => origin ? [] : [backend])
    expect((await admit({ origin: { version: 'v1' } })).isErr()).toBe(true)
    expect((await admit()).isOk()).toBe(true)
  })

  test('is sent to a free backend server of its version, while other requests wait', async () => {
    const { admit, backend, backends, countWaiting } = createDeployment()
    const free = createBackend({ service: SERVICE, softwareVersion: 'v1' })
    backend.outstanding = 1
    backends.candidates.mockImplementation(({ origin }) => origin ? [free] : [backend])
    expect((await admit({ origin: { version: 'v1' } })).isOk()).toBe(true)
    await nextTurn()
    void admit({ targetLatencyMs: TARGET_MS })
    expect(countWaiting()).toBe(1)
  })
})

describe('adaptive admission', () => {
  test('sends requests while their wait is short, and the next ones as room is returned', async () => {
    const { admit, backend, countWaiting, lines } = createDeployment()
    const first = await admit()
    await nextTurn()
    const second = await admit()
    await nextTurn()
    const third = admit()
    expect([first.isOk(), second.isOk(), countWaiting()]).toEqual([true, true, 1])
    vi.advanceTimersByTime(SERVICE_MS)
    backend.outstanding--
    first.unwrap().release()
    expect((await third).isOk()).toBe(true)
    expect(lines.map(({ action, waitedMs }) => [action, waitedMs])).toEqual([['wait', 0], ['send', SERVICE_MS]])
  })

  test('sends one request in each turn of the event loop, since estimates do not show the others yet', async () => {
    const { admit, countWaiting } = createDeployment()
    const admitted = Array.from({ length: 5 }, () => admit())
    await nextTurn()
    await nextTurn()
    expect(countWaiting()).toBe(3)
    expect((await Promise.all(admitted.slice(0, 2))).every(result => result.isOk())).toBe(true)
  })

  test('refuses at once what cannot be in time, with a delay that leaves time to return', async () => {
    const { admit, metrics, countWaiting } = createDeployment()
    const admitted = Array.from({ length: 30 }, () => admit({ deadlineMs: 900 }))
    await nextTurn()
    await nextTurn()
    await nextTurn()
    expect(countWaiting()).toBeLessThan(TARGET_MS / SERVICE_MS)
    const refused = (await Promise.all(admitted.slice(-20))).map(result => result.unwrapErr())
    expect(new Set(refused.map(({ kind }) => kind))).toEqual(new Set([ErrorKind.Overloaded]))
    expect(refused.filter(({ retryAfterMs }) => !(retryAfterMs! > 0 && retryAfterMs! <= 300))).toEqual([])
    expect(metrics.countRefusal).toHaveBeenCalledWith(SERVICE, 'too-late')
  })

  test('refuses new requests of an account beyond its share while there is no free slot', async () => {
    const { admit } = createDeployment(() => 0)
    expect((await admit()).isOk()).toBe(true)
    await nextTurn()
    expect((await admit()).unwrapErr()).toMatchObject({ kind: ErrorKind.AccountOverShare, ran: 'none' })
  })

  test.each([
    { title: 'is refused as a new one, whatever its deadline says', arrivalKind: ArrivalKind.New, shares: { new: 0, returned: 1 }, refusal: ErrorKind.AccountOverShare },
    { title: 'is refused as a new one if it came sooner than told', arrivalKind: ArrivalKind.Repeated, shares: { new: 0, returned: 1 }, refusal: ErrorKind.AccountOverShare },
    { title: 'is refused if returned ones alone exceed the share', arrivalKind: ArrivalKind.Returned, shares: { new: 0, returned: 0 }, refusal: ErrorKind.AccountOverShare },
    { title: 'is sent if it returned as told', arrivalKind: ArrivalKind.Returned, shares: { new: 0, returned: 1 }, refusal: undefined },
  ])('a request of an account beyond its share $title', async ({ arrivalKind, shares, refusal }) => {
    const { admit } = createDeployment((_service, _account, kind) => kind === ArrivalKind.Returned ? shares.returned : shares.new)
    await admit()
    await nextTurn()
    const admitted = await admit({ arrivalKind, isRetry: true })
    expect(admitted.isErr() ? admitted.error.kind : undefined).toBe(refusal)
  })

  test('sends new requests before those that returned as told, and these before those that came sooner', async () => {
    const { admit, backend } = createDeployment()
    await admit()
    await nextTurn()
    backend.outstanding = 2
    const sent: ArrivalKind[] = []
    const kinds = [ArrivalKind.Repeated, ArrivalKind.Returned, ArrivalKind.New]
    const waiting = kinds.map(arrivalKind => admit({ arrivalKind, isRetry: true }).then(() => sent.push(arrivalKind)))
    for (const _kind of kinds) {
      backend.outstanding = 0
      vi.advanceTimersByTime(RECHECK_MS)
      await nextTurn()
    }
    await Promise.all(waiting)
    expect(sent).toEqual(kinds.toReversed())
  })

  test('holds a request that a full backend server refused until there is room, before those that arrived later', async () => {
    const { admit, backend } = createDeployment()
    const ticket = (await admit()).unwrap()
    await nextTurn()
    // Another gateway fills the backend server.
    backend.outstanding = 3
    vi.advanceTimersByTime(1)
    const sent: string[] = []
    const readmitted = ticket.readmit!().then(() => sent.push('refused by the backend server'))
    const later = admit().then(() => sent.push('later'))
    backend.outstanding = 1
    vi.advanceTimersByTime(RECHECK_MS)
    await Promise.all([readmitted, later])
    expect(sent).toEqual(['refused by the backend server', 'later'])
  })
})

describe('a request that waits', () => {
  async function createWaiting() {
    const deployment = createDeployment()
    const client = new AbortController()
    const admitted = [await deployment.admit()]
    await nextTurn()
    admitted.push(await deployment.admit())
    await nextTurn()
    const waiting = deployment.admit({ signal: client.signal })
    expect(deployment.countWaiting()).toBe(1)
    return { ...deployment, client, admitted, waiting }
  }

  test('gives up its place at once when its client leaves', async () => {
    const { client, waiting, countWaiting } = await createWaiting()
    client.abort()
    expect(countWaiting()).toBe(0)
    expect((await waiting).unwrapErr()).toMatchObject({ kind: ErrorKind.Cancelled, ran: 'none' })
  })

  test('is refused when all backend servers are gone, as not run', async () => {
    const { backends, waiting, countWaiting } = await createWaiting()
    backends.candidates.mockReturnValue([])
    vi.advanceTimersByTime(RECHECK_MS)
    expect((await waiting).unwrapErr()).toMatchObject({ kind: ErrorKind.NoBackend, ran: 'none' })
    expect(countWaiting()).toBe(0)
  })

  test('is sent when a backoff ends, without an event of this process', async () => {
    const { backend, backends, waiting } = await createWaiting()
    backends.candidates.mockReturnValue([])
    backends.shortestWaitMs.mockReturnValue(100)
    vi.advanceTimersByTime(100)
    backend.outstanding = 0
    backends.candidates.mockReturnValue([backend])
    vi.advanceTimersByTime(RECHECK_MS)
    expect((await waiting).isOk()).toBe(true)
  })

  test('is refused as not run, and shows no lack of room, if its gateway was paused past its deadline', async () => {
    const { backend, admitted, waiting } = await createWaiting()
    const pausedUntil = performance.now() + 2 * DEADLINE_MS
    vi.spyOn(performance, 'now').mockReturnValue(pausedUntil)
    backend.outstanding = 0
    admitted[0].unwrap().release()
    vi.advanceTimersByTime(RECHECK_MS)
    expect((await waiting).unwrapErr()).toMatchObject({ kind: ErrorKind.DeadlineUnreachable, ran: 'none' })
  })

  test('is refused before its deadline if nothing is sent any more', async () => {
    const { waiting } = await createWaiting()
    vi.advanceTimersByTime(DEADLINE_MS - SERVICE_MS)
    expect((await waiting).unwrapErr()).toMatchObject({ kind: ErrorKind.Overloaded, ran: 'none' })
  })
})
