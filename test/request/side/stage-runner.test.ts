import type { StageCall, StageQueue, StageReply } from '@eidermast/daemon'
import {
  BackendOutcome,
  DeadlineQueue,
  DecisionLog,
  FailureReason,
  FifoQueue,
  formatStageInput,
  RefusalReason,
  SideMetrics,
  stageKey,
  StageReplyKind,
  StageRunner,
  StageTable,
} from '@eidermast/daemon'
import fc from 'fast-check'
import { v7 as uuidv7 } from 'uuid'
import { describe, expect, test } from 'vitest'
import { createStageCall, FakeBackend, SIDE_INCARNATION } from '../../support/fixtures.js'

class SideHarness {
  readonly backend = new FakeBackend()
  readonly table = new StageTable({ entries: 1000, bytes: 1_000_000, lifetimeMs: 600_000 })
  readonly runner: StageRunner
  draining = false
  backendLeaving = false

  constructor(slots = 1, queue: StageQueue = new DeadlineQueue({ limit: 4, bytes: 10_000 })) {
    const isLeaving = (): boolean => this.backendLeaving
    this.runner = new StageRunner({
      side: {
        incarnation: SIDE_INCARNATION,
        offset: 0,
        draining: false,
        get backendLeaving() {
          return isLeaving()
        },
        findRefusal: () => this.draining ? RefusalReason.Draining : undefined,
      },
      backend: this.backend,
      table: this.table,
      queue,
      slots,
      decisions: new DecisionLog('test'),
      metrics: new SideMetrics(),
    })
  }

  run(call: StageCall): Promise<StageReply> {
    return this.runner.run(call)
  }

  /** Finishes the call that started first. */
  finishOldest(outcome: BackendOutcome): void {
    this.backend.held.shift()?.end({ outcome })
  }
}

async function flushTasks(): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
}

describe('stage calls at a side', () => {
  test('run once if they are sent twice, and both copies get the same reply', async () => {
    const harness = new SideHarness()
    const call = createStageCall()
    const replies = [harness.run(call), harness.run(call)]
    harness.finishOldest(BackendOutcome.Done)
    const [first, second] = await Promise.all(replies)
    expect(first).toBe(second)
    expect(harness.backend.started).toHaveLength(1)
  })

  test('get the same reply if they are sent again after they finished', async () => {
    const harness = new SideHarness()
    const call = createStageCall()
    const reply = harness.run(call)
    harness.finishOldest(BackendOutcome.Done)
    expect(await harness.run(call)).toBe(await reply)
    expect(harness.backend.started).toHaveLength(1)
  })

  test('do not run again after their result was acknowledged', async () => {
    const harness = new SideHarness()
    const call = createStageCall()
    const reply = harness.run(call)
    harness.finishOldest(BackendOutcome.Done)
    await reply
    harness.table.acknowledge(stageKey(call.identity))
    expect(await harness.run(call)).toMatchObject({ kind: StageReplyKind.Failed, reason: FailureReason.Cancelled })
    expect(harness.backend.started).toHaveLength(1)
  })

  test('are found by their request and its input, but not by another input with the same request id', async () => {
    const harness = new SideHarness()
    const call = createStageCall({ input: formatStageInput('body', undefined) })
    const answered = harness.run(call)
    harness.finishOldest(BackendOutcome.Done)
    const reply = await answered
    const { account, requestId, stage } = call.identity
    expect(harness.table.findFinished({ account, requestId, stage, body: 'body' })).toBe(reply)
    expect(harness.table.findFinished({ account, requestId, stage, body: 'other' })).toBeUndefined()
    expect(harness.table.findFinished({ account: 'other', requestId, stage, body: 'body' })).toBeUndefined()
  })

  test('are refused if they are addressed to another process incarnation', async () => {
    const harness = new SideHarness()
    const call = createStageCall()
    call.identity.sideIncarnation = uuidv7()
    expect(await harness.run(call)).toMatchObject({ kind: StageReplyKind.Refused, reason: RefusalReason.OtherIncarnation })
  })

  test('are refused if their cancellation arrives first', async () => {
    const harness = new SideHarness()
    const call = createStageCall()
    expect(harness.runner.cancel(stageKey(call.identity))).toEqual({ started: false })
    expect(await harness.run(call)).toMatchObject({ kind: StageReplyKind.Refused, reason: RefusalReason.Cancelled })
    expect(harness.backend.started).toHaveLength(0)
  })

  test('are refused again if a delayed copy arrives after a refusal', async () => {
    const harness = new SideHarness()
    const call = createStageCall()
    harness.draining = true
    expect(await harness.run(call)).toMatchObject({ kind: StageReplyKind.Refused, reason: RefusalReason.Draining })
    harness.draining = false
    expect(await harness.run(call)).toMatchObject({ kind: StageReplyKind.Refused })
    expect(harness.backend.started).toHaveLength(0)
  })

  test.each([
    ['immediately', (harness: SideHarness) => harness.runner.refuseQueuedIfLeaving()],
    ['when a slot becomes free', (harness: SideHarness) => harness.finishOldest(BackendOutcome.Done)],
  ])('that are queued are refused %s if the backend server is leaving, and running ones finish', async (_name, next) => {
    const harness = new SideHarness()
    const running = harness.run(createStageCall())
    const queued = harness.run(createStageCall())
    harness.backendLeaving = true
    next(harness)
    expect(await queued).toMatchObject({ kind: StageReplyKind.Refused, reason: RefusalReason.Draining })
    harness.finishOldest(BackendOutcome.Done)
    expect(await running).toMatchObject({ kind: StageReplyKind.Done })
    expect(harness.backend.started).toHaveLength(1)
  })

  test('are aborted at the backend server if they are cancelled while they run', async () => {
    const harness = new SideHarness()
    const call = createStageCall()
    const reply = harness.run(call)
    expect(harness.runner.cancel(stageKey(call.identity))).toEqual({ started: true })
    expect(await reply).toMatchObject({ kind: StageReplyKind.Failed, reason: FailureReason.Cancelled })
  })

  test.each([
    [BackendOutcome.Refused, StageReplyKind.Refused, RefusalReason.BackendRefused],
    [BackendOutcome.Failed, StageReplyKind.Failed, FailureReason.BackendFailed],
    [BackendOutcome.Lost, StageReplyKind.Failed, FailureReason.BackendLost],
    [BackendOutcome.Truncated, StageReplyKind.Failed, FailureReason.Truncated],
  ])('report the backend outcome %s as %s (%s)', async (outcome, kind, reason) => {
    const harness = new SideHarness()
    const reply = harness.run(createStageCall())
    harness.finishOldest(outcome)
    expect(await reply).toMatchObject({ kind, reason })
  })

  test('are refused as full over the limit of the queue', async () => {
    const harness = new SideHarness(1, new DeadlineQueue({ limit: 2, bytes: 10_000 }))
    const calls = Array.from({ length: 4 }, () => createStageCall())
    const replies = calls.map(call => harness.run(call))
    expect(await replies[3]).toMatchObject({ kind: StageReplyKind.Refused, reason: RefusalReason.Full })
    expect(harness.backend.started).toHaveLength(1)
  })

  test('are never refused by the FIFO queue', async () => {
    const harness = new SideHarness(1, new FifoQueue())
    const calls = Array.from({ length: 20 }, () => createStageCall({ budgetMs: 1 }))
    calls.forEach(call => void harness.run(call))
    await flushTasks()
    expect(harness.runner.load().queued.normal).toBe(19)
  })
})

describe('any sequence of calls, copies, cancellations and results', () => {
  enum Step { Call = 'call', Copy = 'copy', Cancel = 'cancel', End = 'end', Acknowledge = 'acknowledge', Drain = 'drain' }
  const stepArbitrary = fc.record({
    step: fc.constantFrom(...Object.values(Step), Step.Call, Step.Copy, Step.End),
    pick: fc.nat(100),
    outcome: fc.constantFrom(BackendOutcome.Done, BackendOutcome.Failed, BackendOutcome.Lost, BackendOutcome.Refused),
  })

  test('runs each call at most once and never runs a refused call', async () => {
    await fc.assert(fc.asyncProperty(fc.array(stepArbitrary, { maxLength: 40 }), async (steps) => {
      const harness = new SideHarness(2)
      const calls: StageCall[] = []
      const repliedKinds = new Map<string, Set<string>>()
      const refusedByBackend = new Set<string>()
      const send = (call: StageCall): void => {
        void harness.run(call).then((reply) => {
          const kinds = repliedKinds.get(call.identity.requestId) ?? new Set()
          repliedKinds.set(call.identity.requestId, kinds.add(reply.kind))
        })
      }
      for (const { step, pick, outcome } of steps) {
        const picked = calls[pick % Math.max(1, calls.length)]
        if (step === Step.Call) {
          send(calls[calls.push(createStageCall()) - 1])
        }
        else if (step === Step.Drain) {
          harness.draining = !harness.draining
        }
        else if (step === Step.End) {
          if (outcome === BackendOutcome.Refused && harness.backend.held.length > 0)
            refusedByBackend.add(harness.backend.held[0].call.identity.requestId)
          harness.finishOldest(outcome)
        }
        else if (picked && step === Step.Copy) {
          send(picked)
        }
        else if (picked && step === Step.Cancel) {
          harness.runner.cancel(stageKey(picked.identity))
        }
        else if (picked && step === Step.Acknowledge) {
          harness.table.acknowledge(stageKey(picked.identity))
        }
        await flushTasks()
      }
      while (harness.backend.held.length > 0) {
        harness.finishOldest(BackendOutcome.Done)
        await flushTasks()
      }
      expect(new Set(harness.backend.started).size).toBe(harness.backend.started.length)
      expect(repliedKinds.size, 'every call gets a reply').toBe(calls.length)
      for (const [requestId, kinds] of repliedKinds) {
        const ran = harness.backend.started.includes(`${requestId}/1`) && !refusedByBackend.has(requestId)
        if (kinds.has(StageReplyKind.Refused))
          expect(ran, 'a refused call did not run').toBe(false)
        if (kinds.has(StageReplyKind.Done))
          expect(ran).toBe(true)
      }
    }), { seed: 20261202, numRuns: 150 })
  })
})
