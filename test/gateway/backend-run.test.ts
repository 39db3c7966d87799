import type { BackendCall, BackendClient, ClientAnswer, RoutedRequest, RunInputs } from '@eidermast/gateway'
import { Buffer } from 'node:buffer'
import { ErrorKind, OutlierEjection } from '@eidermast/common'
import { BackendRegistry, BackendRunner, CallFailureKind, LeastLoadChoice, NO_INPUTS, RetryBudget, RetryDecision } from '@eidermast/gateway'
import { Err, Ok } from 'ts-results-es'
import { describe, expect, test, vi } from 'vitest'
import { createLog, createRecord, createRoute, NO_CRASHES, OPEN_INTAKE, UNLIMITED_COLD_PACE } from './support/fakes.js'

const SERVICE = 'plain'

/** An answer that is taken and forgotten. */
function createAnswer(): ClientAnswer {
  return { started: false, sendWhole: () => {}, begin: () => {}, beginUnframed: () => {}, send: async () => {}, end: () => {}, breakOff: () => {}, fail: () => {} }
}

function createRequest(): RoutedRequest {
  const route = createRoute({ services: [{ service: SERVICE, weight: 1 }] })
  const head = { requestId: 'id-1', host: route.host, key: undefined, deadlineMs: undefined, promptParts: [], stageItems: [1], stageKey: '', lastEventId: undefined, headers: [] }
  const now = performance.now()
  return { method: 'POST', path: '/a/', body: undefined, head, route, account: undefined, service: SERVICE, priority: 0, deadlineAt: now + 5000, firstEventBy: now + 5000, isRetry: false } as unknown as RoutedRequest
}

/** A client whose first call finds an input gone; all others are answered. */
class InputGoneOnce implements BackendClient {
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

/** A request whose first attempt, at the server `first`, finds its input gone; `renew` makes its stage results again. */
function createRun({ budgetExtra = 10, engine, renew }: { budgetExtra?: number, engine?: string, renew: (registry: BackendRegistry) => readonly string[] | undefined }) {
  const { log } = createLog()
  const registry = new BackendRegistry(log)
  for (const id of ['first', 'second'])
    registry.upsert(createRecord({ id, service: SERVICE }))
  // The choice is by load.
  registry.find('second')!.outstanding = 5
  const client = new InputGoneOnce()
  const ejection = new OutlierEjection()
  const choice = new LeastLoadChoice(ejection)
  const budget = new RetryBudget({ ratio: 0, extra: budgetExtra, windowMs: 10_000 }, () => 1)
  const runner = new BackendRunner({ failureDomain: 'zone-a', registry, client, ejection, plainChoice: choice, engineChoice: choice, budget, coldPace: UNLIMITED_COLD_PACE, intake: OPEN_INTAKE, crashes: NO_CRASHES, log, isEngine: () => false })
  const renewals = vi.fn(async () => renew(registry))
  const inputs: RunInputs = { handles: ['lost'], failureDomain: undefined, bytes: 0, engine, renew: renewals }
  const run = () => runner.run({ request: createRequest(), inputs, answer: createAnswer(), signal: new AbortController().signal })
  return { run, client, budget, renewals }
}

describe('a request whose stage results are made again', () => {
  test('goes to a backend server that takes work when they are ready', async () => {
    const { run, client } = createRun({ renew: (registry) => {
      registry.upsert(createRecord({ id: 'first', service: SERVICE, draining: true }))
      return ['made-again']
    } })
    expect((await run()).error).toBeUndefined()
    expect(client.called).toEqual(['first', 'second'])
  })

  test('goes first to the backend server that was chosen with them, then to another', async () => {
    const { run, client } = createRun({ engine: 'second', renew: () => ['made-again'] })
    await run()
    expect(client.called[0]).toBe('second')
  })

  test('goes to another where the one that was chosen with them takes no work', async () => {
    const { run, client } = createRun({ engine: 'gone', renew: () => ['made-again'] })
    await run()
    expect(client.called[0]).toBe('first')
  })

  test('has none made where the retry budget is used up', async () => {
    const { run, client, renewals } = createRun({ budgetExtra: 0, renew: () => ['made-again'] })
    expect(await run()).toMatchObject({ retry: RetryDecision.BudgetUsed })
    expect(renewals).not.toHaveBeenCalled()
    expect(client.called).toEqual(['first'])
  })

  test('gives its retry back where they cannot be made', async () => {
    const { run, budget } = createRun({ budgetExtra: 2, renew: () => undefined })
    expect(await run()).toMatchObject({ retry: RetryDecision.InputsGone })
    expect(budget.takeRetry(SERVICE)).toBe(true)
    expect(budget.takeRetry(SERVICE)).toBe(false)
  })
})

describe('the answer to a request', () => {
  test.each([
    ['speaks for requests like it where it said where it ends', true, 1],
    ['does not where it ended with its connection, and has that backend server asked for', false, 0],
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
    const choice = new LeastLoadChoice(ejection)
    const budget = new RetryBudget({ ratio: 0, extra: 0, windowMs: 10_000 }, () => 1)
    const crashes = { ...NO_CRASHES, noteAnswered: vi.fn(), noteBroken: vi.fn(async () => {}) }
    const runner = new BackendRunner({ failureDomain: 'zone-a', registry, client, ejection, plainChoice: choice, engineChoice: choice, budget, coldPace: UNLIMITED_COLD_PACE, intake: OPEN_INTAKE, crashes, log, isEngine: () => false })
    await runner.run({ request: createRequest(), inputs: { handles: undefined, failureDomain: undefined, bytes: 0 }, answer: createAnswer(), signal: new AbortController().signal })
    expect(crashes.noteAnswered).toHaveBeenCalledTimes(times)
    expect(crashes.noteBroken).toHaveBeenCalledTimes(1 - times)
  })
})

describe('a request whose backend servers all name a limit', () => {
  /** Runs a request; takes what the looks at the gate find in turn, in milliseconds. */
  async function runBehindGate(waits: readonly number[]) {
    const { log } = createLog()
    const registry = new BackendRegistry(log)
    registry.upsert(createRecord({ id: 'first', service: SERVICE }))
    const left = [...waits]
    const intake = { waitMs: () => left.length > 1 ? left.shift()! : left[0] }
    const client = new InputGoneOnce()
    client.called.push('answers from now on')
    const ejection = new OutlierEjection()
    const choice = new LeastLoadChoice(ejection)
    const budget = new RetryBudget({ ratio: 0, extra: 10, windowMs: 10_000 }, () => 1)
    const runner = new BackendRunner({ failureDomain: 'zone-a', registry, client, ejection, plainChoice: choice, engineChoice: choice, budget, coldPace: UNLIMITED_COLD_PACE, intake, crashes: NO_CRASHES, log, isEngine: () => false })
    return runner.run({ request: createRequest(), inputs: NO_INPUTS, answer: createAnswer(), signal: new AbortController().signal })
  }

  test('is sent where a turn begins just after the choice found none', async () => {
    expect((await runBehindGate([20, 0])).error).toBeUndefined()
  })

  test('is refused with the time of the next turn where none begins', async () => {
    expect((await runBehindGate([20])).error).toMatchObject({ kind: ErrorKind.Overloaded, retryAfterMs: 20 })
  })
})
