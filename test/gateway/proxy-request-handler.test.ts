import type { RequestError } from '@eidermast/common'
import type { ClientRequest, ClientResponse, PreparationRequest, ProxyRequestHandlerDependencies, RecreationProgress, RequestProgress, RunSubject } from '@eidermast/gateway'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { ErrorKind, NEVER_ABORTED, Ran, wait } from '@eidermast/common'
import { ConfigurationHolder, DeadlineReturnDetector, DemandEnd, GatewayStoppingError, PreparationFailureKind, ProxyRequestHandler } from '@eidermast/gateway'
import { Err, Ok } from 'ts-results-es'
import { describe, expect, test, vi } from 'vitest'
import { createConfiguration, createLog, createRoute, NO_CRASHES } from './support/fakes.js'

const TIMEOUT_MS = 300
/** For requests that end with the gateway, long before their deadline. */
const LONG_TIMEOUT_MS = 5000
const STOP_AFTER_MS = 100
/** The platform's bound on an answer after the time-out of its route. */
const MAX_OVERDUE_MS = 500
const CLIENT_RESPONSE: ClientResponse = { started: false, sendComplete: () => {}, begin: () => {}, send: async () => {}, end: () => {}, cutOff: () => {}, fail: () => {} }

function createProgress(): RequestProgress {
  return { deadlineAt: Number.POSITIVE_INFINITY, hasWorkBegun: false }
}

test('a request without stages gives back its room, and counts as ended, also if its answer cannot be sent', async () => {
  const { log } = createLog()
  const configuration = new ConfigurationHolder(() => createConfiguration({ routes: [createRoute()] }), log)
  configuration.offer('', 'test')
  const release = vi.fn()
  const shares = { recordArrival: vi.fn(), recordEnd: vi.fn(), admittedShare: () => 1 }
  const handler = new ProxyRequestHandler({
    configuration,
    startGate: { isOpen: true, wait: async () => {} },
    admission: { admit: async () => Ok({ release }) },
    shares,
    returns: new DeadlineReturnDetector(),
    runner: { run: () => Promise.reject(new Error('invalid character in a header of the response')) },
    crashes: NO_CRASHES,
    streams: { findOrigin: async () => Ok(undefined) },
    metrics: { countRequest: () => {}, countOverdue: () => {} },
    log,
  } as unknown as ProxyRequestHandlerDependencies)
  const head = { requestId: 'id', host: 'host.example', key: undefined, deadlineMs: undefined, promptParts: [], stageItems: [], stageKey: '', lastEventId: undefined, resumedRequestId: undefined, headers: [] }
  const request: ClientRequest = { method: 'GET', path: '/a/', head, body: undefined, arrivedAt: performance.now() }
  await expect(handler.serve(request, CLIENT_RESPONSE, new AbortController().signal, createProgress())).rejects.toThrow('invalid character')
  expect(release).toHaveBeenCalledTimes(1)
  expect(shares.recordEnd).toHaveBeenCalledWith(expect.anything(), DemandEnd.Other)
})

describe('a request whose stage work does not end', () => {
  test('is answered by its time-out, also after a garbage collection', async () => {
    setFlagsFromString('--expose-gc')
    const collectGarbage = runInNewContext('gc') as () => void
    const { log } = createLog()
    const configuration = new ConfigurationHolder(() => createConfiguration({ routes: [createRoute({ timeoutMs: TIMEOUT_MS, stages: [{ service: 'encode', dependsOn: [], resultBytes: 1 }] })] }), log)
    configuration.offer('', 'test')
    const cancelled = Err({ kind: PreparationFailureKind.Cancelled, message: 'the time to the first event passed', retryAfterMs: 1000 })
    const handler = new ProxyRequestHandler({
      configuration,
      startGate: { isOpen: true, wait: async () => {} },
      preparer: { prepare: (_work: PreparationRequest, signal: AbortSignal) => new Promise(resolve => signal.addEventListener('abort', () => resolve(cancelled))), release: () => {} },
      runner: { shortestWaitMs: () => Number.POSITIVE_INFINITY, preferredFailureDomain: () => 'zone-a' },
      crashes: NO_CRASHES,
      streams: { findOrigin: async () => Ok(undefined) },
      metrics: { countRequest: () => {}, countOverdue: () => {} },
      log,
    } as unknown as ProxyRequestHandlerDependencies)
    const fail = vi.fn()
    const head = { requestId: 'id', host: 'host.example', key: undefined, deadlineMs: 20_000, promptParts: [], stageItems: [1], stageKey: '', lastEventId: undefined, resumedRequestId: undefined, headers: [] }
    void handler.serve({ method: 'GET', path: '/a/', head, body: undefined, arrivedAt: performance.now() }, { ...CLIENT_RESPONSE, fail }, new AbortController().signal, createProgress())
    for (let passed = 0; passed < TIMEOUT_MS + MAX_OVERDUE_MS; passed += 50) {
      collectGarbage()
      await wait(50)
    }
    expect(fail).toHaveBeenCalledWith(expect.objectContaining({ kind: ErrorKind.DeadlineUnreachable }))
  })
})

describe('a request whose work does not end, whatever it waits for', () => {
  const STAGES = [{ service: 'encode', dependsOn: [], resultBytes: 1 }]
  const never = (): Promise<never> => new Promise(() => {})

  /** Serves a request with some dependencies replaced; resolves with its answer and when it came after the arrival, in milliseconds. */
  async function serve(dependencies: object, stages = STAGES, started = false, { signal = NEVER_ABORTED, timeoutMs = TIMEOUT_MS } = {}): Promise<{ error: RequestError | undefined, tookMs: number, steps: string[], isAborted: boolean }> {
    const { log } = createLog()
    const configuration = new ConfigurationHolder(() => createConfiguration({ routes: [createRoute({ timeoutMs, stages })] }), log)
    configuration.offer('', 'test')
    const steps: string[] = []
    let isAborted = false
    const handler = new ProxyRequestHandler({
      configuration,
      startGate: { isOpen: true, wait: async () => {} },
      preparer: { prepare: async () => Ok({ handles: [], failureDomain: 'zone-a', bytes: 0 }), release: () => {} },
      admission: { admit: async () => Ok({ release: () => {} }) },
      shares: { recordArrival: () => {}, recordEnd: () => {}, admittedShare: () => 1 },
      returns: new DeadlineReturnDetector(),
      runner: {
        shortestWaitMs: () => Number.POSITIVE_INFINITY,
        preferredFailureDomain: () => 'zone-a',
        run: ({ signal }: RunSubject) => {
          signal.addEventListener('abort', () => (isAborted = true))
          return never()
        },
      },
      crashes: NO_CRASHES,
      streams: { findOrigin: async () => Ok(undefined) },
      metrics: { countRequest: () => {}, countOverdue: (step: string) => steps.push(step) },
      log,
      ...dependencies,
    } as unknown as ProxyRequestHandlerDependencies)
    const head = { requestId: 'id', host: 'host.example', key: undefined, deadlineMs: 20_000, promptParts: [], stageItems: [1], stageKey: '', lastEventId: undefined, resumedRequestId: undefined, headers: [] }
    const arrivedAt = performance.now()
    let error: RequestError | undefined
    const response = { ...CLIENT_RESPONSE, started, fail: (sent: RequestError) => (error = sent) }
    await handler.serve({ method: 'GET', path: '/a/', head, body: undefined, arrivedAt }, response, signal, createProgress())
    return { error, tookMs: performance.now() - arrivedAt, steps, isAborted }
  }

  test.each([
    ['accept', ErrorKind.DeadlineUnreachable, Ran.None, { streams: { findOrigin: never } }, STAGES],
    ['admission', ErrorKind.DeadlineUnreachable, Ran.None, { admission: { admit: never } }, []],
    ['stages', ErrorKind.DeadlineUnreachable, Ran.None, { preparer: { prepare: never, release: () => {} } }, STAGES],
    ['attempts', ErrorKind.DeadlineExceeded, Ran.Unknown, {}, STAGES],
  ])('is answered by its time-out in step %s', async (step, kind, ran, dependencies, stages) => {
    const { error, tookMs, steps } = await serve(dependencies, stages)
    expect(error).toMatchObject({ kind, ran })
    expect(steps).toEqual([step])
    expect(tookMs).toBeLessThan(TIMEOUT_MS + MAX_OVERDUE_MS)
  })

  // Guards against requests that are cut off by the end of the process without an answer.
  test.each([
    ['is found out where it may run', ErrorKind.Stopping, Ran.None, { streams: { findOrigin: never } }, STAGES],
    ['it waits for room', ErrorKind.Stopping, Ran.None, { admission: { admit: never } }, []],
    ['its stages run', ErrorKind.Stopping, Ran.None, { preparer: { prepare: never, release: () => {} } }, STAGES],
    ['it is sent', ErrorKind.OutcomeUnknown, Ran.Unknown, {}, STAGES],
  ])('is answered when the gateway stops while %s', async (_name, kind, ran, dependencies, stages) => {
    const controller = new AbortController()
    setTimeout(() => controller.abort(new GatewayStoppingError()), STOP_AFTER_MS)
    const { error, tookMs, steps } = await serve(dependencies, stages, false, { signal: controller.signal, timeoutMs: LONG_TIMEOUT_MS })
    expect(error).toMatchObject({ kind, ran })
    // None was ended by its deadline.
    expect(steps).toEqual([])
    expect(tookMs).toBeLessThan(LONG_TIMEOUT_MS)
  })

  test('is cut off and its work aborted if its answer has begun', async () => {
    const { error, tookMs, isAborted } = await serve({}, [], true)
    expect({ error, isAborted }).toEqual({ error: undefined, isAborted: true })
    expect(tookMs).toBeLessThan(TIMEOUT_MS + MAX_OVERDUE_MS)
  })
})

describe('stage results that are recreated', () => {
  /** Runs a request with stages that arrived `afterMs` ago, and recreates its stage results; returns what was requested then. */
  async function recreateAfter(afterMs: number, progress: RecreationProgress): Promise<{ work: PreparationRequest, isAborted: boolean }> {
    const { log } = createLog()
    const stages = [{ service: 'encode', dependsOn: [], resultBytes: 1 }]
    const configuration = new ConfigurationHolder(() => createConfiguration({ routes: [createRoute({ streaming: true, resumable: true, timeoutMs: 20_000, stages })] }), log)
    configuration.offer('', 'test')
    let isAborted = false
    const prepare = vi.fn(async (_work: PreparationRequest, signal: AbortSignal) => {
      await wait(20)
      isAborted = signal.aborted
      return Ok({ handles: ['a/1'], failureDomain: 'zone-a', bytes: 1 })
    })
    const handler = new ProxyRequestHandler({
      configuration,
      startGate: { isOpen: true, wait: async () => {} },
      preparer: { prepare, release: () => {} },
      runner: {
        shortestWaitMs: () => Number.POSITIVE_INFINITY,
        preferredFailureDomain: () => 'zone-a',
        run: async ({ inputs }: RunSubject) => {
          await inputs.recreate!(progress)
          return {}
        },
      },
      crashes: NO_CRASHES,
      streams: { findOrigin: async () => Ok(undefined) },
      metrics: { countRequest: () => {}, countOverdue: () => {} },
      log,
    } as unknown as ProxyRequestHandlerDependencies)
    const head = { requestId: 'id', host: 'host.example', key: undefined, deadlineMs: 20_000, promptParts: [], stageItems: [1], stageKey: '', lastEventId: undefined, resumedRequestId: undefined, headers: [] }
    await handler.serve({ method: 'GET', path: '/a/', head, body: undefined, arrivedAt: performance.now() - afterMs }, CLIENT_RESPONSE, new AbortController().signal, createProgress())
    return { work: prepare.mock.calls[1][0], isAborted }
  }

  test('have until the client gives up waiting for the next event of a stream that broke long after its first one', async () => {
    const { work, isAborted } = await recreateAfter(10_000, { origin: { version: 'v1' }, lastEventAt: performance.now() - 100 })
    expect(isAborted).toBe(false)
    expect(work).toMatchObject({ softwareVersion: 'v1' })
    expect(work.deadlineMs).toBeGreaterThan(1000)
    expect(work.deadlineMs).toBeLessThanOrEqual(3200)
    expect(work.targetMs).toBeGreaterThan(0)
  })

  test('have until the client gives up waiting for the first event if there was none', async () => {
    const { work, isAborted } = await recreateAfter(10_000, { origin: undefined, lastEventAt: undefined })
    expect(isAborted).toBe(true)
    expect(work.deadlineMs).toBeLessThan(0)
  })
})
