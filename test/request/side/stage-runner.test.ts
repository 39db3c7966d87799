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

class SideBench {
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
        refusal: () => this.draining ? RefusalReason.Draining : undefined,
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

  /** Ends the call that has run longest. */
  endOldest(outcome: BackendOutcome): void {
    this.backend.held.shift()?.end({ outcome })
  }
}

async function settle(): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
}

describe('a side\'s stage calls', () => {
  test('run once when they come twice, and both get the one reply', async () => {
    const bench = new SideBench()
    const call = createStageCall()
    const replies = [bench.run(call), bench.run(call)]
    bench.endOldest(BackendOutcome.Done)
    const [first, second] = await Promise.all(replies)
    expect(first).toBe(second)
    expect(bench.backend.started).toHaveLength(1)
  })

  test('are replayed when they come again after their end', async () => {
    const bench = new SideBench()
    const call = createStageCall()
    const reply = bench.run(call)
    bench.endOldest(BackendOutcome.Done)
    expect(await bench.run(call)).toBe(await reply)
    expect(bench.backend.started).toHaveLength(1)
  })

  test('never run again after their result was acknowledged', async () => {
    const bench = new SideBench()
    const call = createStageCall()
    const reply = bench.run(call)
    bench.endOldest(BackendOutcome.Done)
    await reply
    bench.table.acknowledge(stageKey(call.identity))
    expect(await bench.run(call)).toMatchObject({ kind: StageReplyKind.Failed, reason: FailureReason.Cancelled })
    expect(bench.backend.started).toHaveLength(1)
  })

  test('are found by their request and its own input, and not by another input under the same id', async () => {
    const bench = new SideBench()
    const call = createStageCall({ input: formatStageInput('body', undefined) })
    const answered = bench.run(call)
    bench.endOldest(BackendOutcome.Done)
    const reply = await answered
    const { account, requestId, stage } = call.identity
    expect(bench.table.findFinished({ account, requestId, stage, body: 'body' })).toBe(reply)
    expect(bench.table.findFinished({ account, requestId, stage, body: 'other' })).toBeUndefined()
    expect(bench.table.findFinished({ account: 'other', requestId, stage, body: 'body' })).toBeUndefined()
  })

  test('are refused when they were meant for another process life', async () => {
    const bench = new SideBench()
    const call = createStageCall()
    call.identity.sideIncarnation = uuidv7()
    expect(await bench.run(call)).toMatchObject({ kind: StageReplyKind.Refused, reason: RefusalReason.OtherIncarnation })
  })

  test('are refused when their cancel comes before them', async () => {
    const bench = new SideBench()
    const call = createStageCall()
    expect(bench.runner.cancel(stageKey(call.identity))).toEqual({ started: false })
    expect(await bench.run(call)).toMatchObject({ kind: StageReplyKind.Refused, reason: RefusalReason.Cancelled })
    expect(bench.backend.started).toHaveLength(0)
  })

  test('stay refused when a late copy comes after a refusal', async () => {
    const bench = new SideBench()
    const call = createStageCall()
    bench.draining = true
    expect(await bench.run(call)).toMatchObject({ kind: StageReplyKind.Refused, reason: RefusalReason.Draining })
    bench.draining = false
    expect(await bench.run(call)).toMatchObject({ kind: StageReplyKind.Refused })
    expect(bench.backend.started).toHaveLength(0)
  })

  test.each([
    ['at once', (bench: SideBench) => bench.runner.refuseQueuedIfLeaving()],
    ['at their turn at the latest', (bench: SideBench) => bench.endOldest(BackendOutcome.Done)],
  ])('that wait are refused %s when the backend server begins to leave, and the running one ends', async (_name, next) => {
    const bench = new SideBench()
    const running = bench.run(createStageCall())
    const waiting = bench.run(createStageCall())
    bench.backendLeaving = true
    next(bench)
    expect(await waiting).toMatchObject({ kind: StageReplyKind.Refused, reason: RefusalReason.Draining })
    bench.endOldest(BackendOutcome.Done)
    expect(await running).toMatchObject({ kind: StageReplyKind.Done })
    expect(bench.backend.started).toHaveLength(1)
  })

  test('stop at the backend server when they are cancelled while they run', async () => {
    const bench = new SideBench()
    const call = createStageCall()
    const reply = bench.run(call)
    expect(bench.runner.cancel(stageKey(call.identity))).toEqual({ started: true })
    expect(await reply).toMatchObject({ kind: StageReplyKind.Failed, reason: FailureReason.Cancelled })
  })

  test.each([
    [BackendOutcome.Refused, StageReplyKind.Refused, RefusalReason.BackendRefused],
    [BackendOutcome.Failed, StageReplyKind.Failed, FailureReason.BackendFailed],
    [BackendOutcome.Lost, StageReplyKind.Failed, FailureReason.BackendLost],
    [BackendOutcome.Truncated, StageReplyKind.Failed, FailureReason.Truncated],
  ])('report a backend server\'s end %s as %s (%s)', async (outcome, kind, reason) => {
    const bench = new SideBench()
    const reply = bench.run(createStageCall())
    bench.endOldest(outcome)
    expect(await reply).toMatchObject({ kind, reason })
  })

  test('are refused as full beyond the queue\'s limit, and the queue\'s memory stays bounded', async () => {
    const bench = new SideBench(1, new DeadlineQueue({ limit: 2, bytes: 10_000 }))
    const calls = Array.from({ length: 4 }, () => createStageCall())
    const replies = calls.map(call => bench.run(call))
    expect(await replies[3]).toMatchObject({ kind: StageReplyKind.Refused, reason: RefusalReason.Full })
    expect(bench.backend.started).toHaveLength(1)
  })

  test('are never refused by the baseline queue', async () => {
    const bench = new SideBench(1, new FifoQueue())
    const calls = Array.from({ length: 20 }, () => createStageCall({ budgetMs: 1 }))
    calls.forEach(call => void bench.run(call))
    await settle()
    expect(bench.runner.load().queued.normal).toBe(19)
  })
})

describe('any order of calls, copies, cancels and ends', () => {
  enum Step { Call = 'call', Copy = 'copy', Cancel = 'cancel', End = 'end', Acknowledge = 'acknowledge', Drain = 'drain' }
  const stepArbitrary = fc.record({
    step: fc.constantFrom(...Object.values(Step), Step.Call, Step.Copy, Step.End),
    pick: fc.nat(100),
    outcome: fc.constantFrom(BackendOutcome.Done, BackendOutcome.Failed, BackendOutcome.Lost, BackendOutcome.Refused),
  })

  test('runs each call at most once, and none that was refused', async () => {
    await fc.assert(fc.asyncProperty(fc.array(stepArbitrary, { maxLength: 40 }), async (steps) => {
      const bench = new SideBench(2)
      const calls: StageCall[] = []
      const repliedKinds = new Map<string, Set<string>>()
      const refusedByBackend = new Set<string>()
      const send = (call: StageCall): void => {
        void bench.run(call).then((reply) => {
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
          bench.draining = !bench.draining
        }
        else if (step === Step.End) {
          if (outcome === BackendOutcome.Refused && bench.backend.held.length > 0)
            refusedByBackend.add(bench.backend.held[0].call.identity.requestId)
          bench.endOldest(outcome)
        }
        else if (picked && step === Step.Copy) {
          send(picked)
        }
        else if (picked && step === Step.Cancel) {
          bench.runner.cancel(stageKey(picked.identity))
        }
        else if (picked && step === Step.Acknowledge) {
          bench.table.acknowledge(stageKey(picked.identity))
        }
        await settle()
      }
      while (bench.backend.held.length > 0) {
        bench.endOldest(BackendOutcome.Done)
        await settle()
      }
      expect(new Set(bench.backend.started).size).toBe(bench.backend.started.length)
      expect(repliedKinds.size, 'every call is answered').toBe(calls.length)
      for (const [requestId, kinds] of repliedKinds) {
        const ran = bench.backend.started.includes(`${requestId}/1`) && !refusedByBackend.has(requestId)
        if (kinds.has(StageReplyKind.Refused))
          expect(ran, 'a refused call did not run').toBe(false)
        if (kinds.has(StageReplyKind.Done))
          expect(ran).toBe(true)
      }
    }), { seed: 20261202, numRuns: 150 })
  })
})
