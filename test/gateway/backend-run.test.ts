import type { BackendCall, BackendClient, ClientAnswer, RoutedRequest, RunInputs } from '@eidermast/gateway'
import { Buffer } from 'node:buffer'
import { OutlierEjection } from '@eidermast/common'
import { BackendRegistry, BackendRunner, CallFailureKind, LeastLoadChoice, RetryBudget } from '@eidermast/gateway'
import { Err, Ok } from 'ts-results-es'
import { expect, test } from 'vitest'
import { createLog, createRecord, createRoute } from './support/fakes.js'

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

test('a request whose stage results are made again goes to a backend server that takes work when they are ready', async () => {
  const { log } = createLog()
  const registry = new BackendRegistry(log)
  const records = ['first', 'second'].map(id => createRecord({ id, service: SERVICE }))
  records.forEach(record => registry.upsert(record))
  const client = new InputGoneOnce()
  const ejection = new OutlierEjection()
  const choice = new LeastLoadChoice(ejection)
  const budget = new RetryBudget({ ratio: 1, extra: 10, windowMs: 10_000 }, () => 1)
  const runner = new BackendRunner({ failureDomain: 'zone-a', registry, client, ejection, plainChoice: choice, engineChoice: choice, budget, log, isEngine: () => false })
  const inputs: RunInputs = {
    handles: ['lost'],
    failureDomain: undefined,
    bytes: 0,
    renew: async () => {
      registry.upsert({ ...records[0], draining: true })
      return ['made-again']
    },
  }
  // The choice is by load, so that the other one is called first.
  registry.find('second')!.outstanding = 5
  const end = await runner.run({ request: createRequest(), inputs, answer: createAnswer(), signal: new AbortController().signal })
  expect(end.error).toBeUndefined()
  expect(client.called).toEqual(['first', 'second'])
})
