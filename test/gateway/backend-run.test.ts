import type { BackendCall, BackendClient, ClientResponse, RoutedRequest, RunInputs } from '@eidermast/gateway'
import { Buffer } from 'node:buffer'
import { ErrorKind, OutlierEjection, Ran } from '@eidermast/common'
import { BackendRegistry, BackendRunner, CallFailureKind, LeastLoadPolicy, NO_INPUTS, RetryBudget, RetryDecision } from '@eidermast/gateway'
import { Err, Ok } from 'ts-results-es'
import { describe, expect, test, vi } from 'vitest'
import { createLog, createRecord, createRoute, NO_CRASHES, NO_STREAMS, OPEN_INTAKE, UNLIMITED_COLD_STARTS } from './support/fakes.js'

const SERVICE = 'plain'

/** A client connection that discards everything. */
function createClientResponse(): ClientResponse {
  return { started: false, sendComplete: () => {}, begin: () => {}, send: async () => {}, end: () => {}, cutOff: () => {}, fail: () => {} }
}

function createRequest(): RoutedRequest {
  const route = createRoute({ services: [{ service: SERVICE, weight: 1 }] })
  const head = { requestId: 'id-1', host: route.host, key: undefined, deadlineMs: undefined, promptParts: [], stageItems: [1], stageKey: '', lastEventId: undefined, resumedRequestId: undefined, headers: [] }
  const now = performance.now()
  return { method: 'POST', path: '/a/', body: undefined, head, route, account: undefined, service: SERVICE, priority: 0, deadlineAt: now + 5000, firstEventBy: now + 5000, isRetry: false, fingerprints: [] } as unknown as RoutedRequest
}

/** Its first call fails because an input is lost; all others succeed. */
class InputGoneOnceClient implements BackendClient {
  readonly called: string[] = []

  async run(backend: { id: string }, call: BackendCall) {
    this.called.push(backend.id)
    if (this.called.length === 1)
      return Err({ kind: CallFailureKind.InputGone, message: call.requestId })
    const body = async function* () {
      yield Buffer.from('whole')
    }
    return Ok({ status: 200, headers: [], framed: true, body: body(), destroy: () => {} })
  }

  async probe(): Promise<boolean> {
    return true
  }
}

/** A request whose first attempt, at the server `first`, fails because its input is lost; `recreateHandles` recreates its stage results. */
function createRun({ budgetExtra = 10, engine, recreateHandles }: { budgetExtra?: number, engine?: string, recreateHandles: (registry: BackendRegistry) => readonly string[] | undefined }) {
  const { log } = createLog()
  const registry = new BackendRegistry(log)
  for (const id of ['first', 'second'])
    registry.upsert(createRecord({ id, service: SERVICE }))
  // The least loaded server is selected first.
  registry.find('second')!.outstanding = 5
  const client = new InputGoneOnceClient()
  const ejection = new OutlierEjection()
  const policy = new LeastLoadPolicy(ejection)
  const budget = new RetryBudget({ ratio: 0, extra: budgetExtra, windowMs: 10_000 }, () => 1)
  const runner = new BackendRunner({ failureDomain: 'zone-a', registry, client, ejection, plainPolicy: policy, enginePolicy: policy, budget, coldStartLimiter: UNLIMITED_COLD_STARTS, intake: OPEN_INTAKE, crashes: NO_CRASHES, log, isEngine: () => false, streams: NO_STREAMS })
  const recreate = vi.fn(async () => recreateHandles(registry))
  const inputs: RunInputs = { handles: ['lost'], failureDomain: undefined, bytes: 0, engine, recreate }
  const controller = new AbortController()
  const run = () => runner.run({ request: createRequest(), inputs, clientResponse: createClientResponse(), signal: controller.signal })
  return { run, client, budget, recreate, abort: () => controller.abort() }
}

describe('a request whose stage results are recreated', () => {
  test('runs at a backend server that accepts work once they are ready', async () => {
    const { run, client } = createRun({ recreateHandles: (registry) => {
      registry.upsert(createRecord({ id: 'first', service: SERVICE, draining: true }))
      return ['recreated']
    } })
    expect((await run()).error).toBeUndefined()
    expect(client.called).toEqual(['first', 'second'])
  })

  test('runs first at the backend server selected with them, then at another', async () => {
    const { run, client } = createRun({ engine: 'second', recreateHandles: () => ['recreated'] })
    await run()
    expect(client.called[0]).toBe('second')
  })

  test('runs at another backend server if the one selected with them accepts no work', async () => {
    const { run, client } = createRun({ engine: 'gone', recreateHandles: () => ['recreated'] })
    await run()
    expect(client.called[0]).toBe('first')
  })

  // Guards against requests that are sent after they were ended.
  test('is not sent again if it is ended meanwhile', async () => {
    const { run, client, abort } = createRun({ recreateHandles: () => {
      abort()
      return ['recreated']
    } })
    expect(await run()).toMatchObject({ retry: RetryDecision.Cancelled, error: { ran: Ran.None } })
    expect(client.called).toEqual(['first'])
  })

  test('does not recreate them if the retry budget is used up', async () => {
    const { run, client, recreate } = createRun({ budgetExtra: 0, recreateHandles: () => ['recreated'] })
    expect(await run()).toMatchObject({ retry: RetryDecision.BudgetUsed })
    expect(recreate).not.toHaveBeenCalled()
    expect(client.called).toEqual(['first'])
  })

  test('returns its retry to the budget if they cannot be recreated', async () => {
    const { run, budget } = createRun({ budgetExtra: 2, recreateHandles: () => undefined })
    expect(await run()).toMatchObject({ retry: RetryDecision.InputsGone })
    expect(budget.takeRetry(SERVICE)).toBe(true)
    expect(budget.takeRetry(SERVICE)).toBe(false)
  })
})

describe('a retry', () => {
  test('counts from when it is sent, not from when its stage results began to be recreated', async () => {
    let now = 0
    const { log } = createLog()
    const registry = new BackendRegistry(log)
    for (const id of ['first', 'second'])
      registry.upsert(createRecord({ id, service: SERVICE }))
    const client = new InputGoneOnceClient()
    const ejection = new OutlierEjection()
    const policy = new LeastLoadPolicy(ejection)
    const budget = new RetryBudget({ ratio: 0, extra: 2, windowMs: 10_000 }, () => 1, () => now)
    const runner = new BackendRunner({ failureDomain: 'zone-a', registry, client, ejection, plainPolicy: policy, enginePolicy: policy, budget, coldStartLimiter: UNLIMITED_COLD_STARTS, intake: OPEN_INTAKE, crashes: NO_CRASHES, log, isEngine: () => false, streams: NO_STREAMS })
    const recreate = async () => {
      now = 9000
      return ['recreated']
    }
    await runner.run({ request: createRequest(), inputs: { handles: ['lost'], failureDomain: undefined, bytes: 0, recreate }, clientResponse: createClientResponse(), signal: new AbortController().signal })
    expect(client.called).toHaveLength(2)
    now = 18_000
    expect(budget.hasRetry(SERVICE)).toBe(false)
    now = 20_000
    expect(budget.hasRetry(SERVICE)).toBe(true)
  })
})

describe('the response to a request', () => {
  test.each([
    ['counts as answered if it is framed', true, 1],
    ['does not count as answered if it ends with its connection, and triggers a crash check of the backend server', false, 0],
  ])('%s', async (_name, framed, times) => {
    const { log } = createLog()
    const registry = new BackendRegistry(log)
    registry.upsert(createRecord({ id: 'first', service: SERVICE }))
    const body = async function* () {
      yield Buffer.from('whole')
    }
    const client: BackendClient = {
      run: async () => Ok({ status: 200, headers: [], framed, body: body(), destroy: () => {} }),
      probe: async () => true,
    }
    const ejection = new OutlierEjection()
    const policy = new LeastLoadPolicy(ejection)
    const budget = new RetryBudget({ ratio: 0, extra: 0, windowMs: 10_000 }, () => 1)
    const crashes = { ...NO_CRASHES, noteAnswered: vi.fn(), noteBroken: vi.fn(async () => {}) }
    const runner = new BackendRunner({ failureDomain: 'zone-a', registry, client, ejection, plainPolicy: policy, enginePolicy: policy, budget, coldStartLimiter: UNLIMITED_COLD_STARTS, intake: OPEN_INTAKE, crashes, log, isEngine: () => false, streams: NO_STREAMS })
    await runner.run({ request: createRequest(), inputs: { handles: undefined, failureDomain: undefined, bytes: 0 }, clientResponse: createClientResponse(), signal: new AbortController().signal })
    expect(crashes.noteAnswered).toHaveBeenCalledTimes(times)
    expect(crashes.noteBroken).toHaveBeenCalledTimes(1 - times)
  })
})

describe('a request whose backend servers all report a limit', () => {
  /** Runs a request; `waits` are the wait times in milliseconds that successive look-ups return. */
  async function runWithWaits(waits: readonly number[]) {
    const { log } = createLog()
    const registry = new BackendRegistry(log)
    registry.upsert(createRecord({ id: 'first', service: SERVICE }))
    const left = [...waits]
    const intake = { waitMs: () => left.length > 1 ? left.shift()! : left[0] }
    const client = new InputGoneOnceClient()
    client.called.push('first call done: all others succeed')
    const ejection = new OutlierEjection()
    const policy = new LeastLoadPolicy(ejection)
    const budget = new RetryBudget({ ratio: 0, extra: 10, windowMs: 10_000 }, () => 1)
    const runner = new BackendRunner({ failureDomain: 'zone-a', registry, client, ejection, plainPolicy: policy, enginePolicy: policy, budget, coldStartLimiter: UNLIMITED_COLD_STARTS, intake, crashes: NO_CRASHES, log, isEngine: () => false, streams: NO_STREAMS })
    return runner.run({ request: createRequest(), inputs: NO_INPUTS, clientResponse: createClientResponse(), signal: new AbortController().signal })
  }

  test('is sent if a time slot begins just after the selection found none', async () => {
    expect((await runWithWaits([20, 0])).error).toBeUndefined()
  })

  test('is rejected with the time until the next time slot if none begins', async () => {
    expect((await runWithWaits([20])).error).toMatchObject({ kind: ErrorKind.Overloaded, retryAfterMs: 20 })
  })
})
