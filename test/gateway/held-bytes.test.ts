import type { AnswerRoom, HeldState, RoomClaim, RoomRequest, TransferProgress, WaitingClaims } from '@eidermast/gateway'
import { Readable } from 'node:stream'
import { getHeapStatistics } from 'node:v8'
import { ErrorKind } from '@eidermast/common'
import { BodyRoom, bufferResponse, decideBodyWaitMs, decideCutOff, decideHeldLimit, decideReturnMs, decideRoom, HeldBytes, HeldKind, MAX_BUFFERED_RESPONSE_BYTES, MAX_STALL_MS, NOT_STALLED, refuseWait, ReserveState, RoomReason, SMALL_BYTES } from '@eidermast/gateway'
import fc from 'fast-check'
import { describe, expect, test, vi } from 'vitest'
import { createLog } from './support/fakes.js'

const MB = 1_000_000
const LIMIT = 32 * MB
const NO_METRICS = { countHeldWait: () => {}, countHeldRefusal: () => {} }

const BODY: RoomClaim = { kind: HeldKind.RequestBody, bytes: MB, heldBytes: 0, isLarge: false, connectionBytes: 0, reserve: ReserveState.Free }
const ANSWER: RoomClaim = { ...BODY, kind: HeldKind.Answer }
const SMALL: RoomClaim = { ...BODY, bytes: 1000 }
const EMPTY: HeldState = { limitBytes: LIMIT, small: 0, largeBodies: 0, largeAnswers: 0, streams: 0 }
const NONE: WaitingClaims = { large: 0, withinShare: 0 }
/** All that large claims may take. */
const FULL: HeldState = { ...EMPTY, largeBodies: 12 * MB, largeAnswers: 16 * MB }

describe('room in memory', () => {
  test.each<[string, RoomClaim, HeldState, Partial<WaitingClaims>, RoomReason]>([
    ['is there for a body below the limit', BODY, EMPTY, {}, RoomReason.BelowLimit],
    ['is not there for a large body beyond half of the limit', BODY, { ...EMPTY, largeBodies: 15.5 * MB }, {}, RoomReason.Full],
    ['is not there for a large body while an answer waits', BODY, EMPTY, { large: 1 }, RoomReason.Full],
    ['is kept for small bodies beside large ones', SMALL, FULL, { large: 3 }, RoomReason.SmallReserve],
    ['is taken by small bodies beyond their reserve if no large claim waits', SMALL, { ...EMPTY, small: 10 * MB }, {}, RoomReason.BelowLimit],
    ['is left by small bodies beyond their reserve to a large claim that waits', SMALL, { ...EMPTY, small: 10 * MB }, { large: 1 }, RoomReason.Full],
    ['is given to one answer beyond the limit', ANSWER, FULL, {}, RoomReason.AnswerReserve],
    ['is not given to a second answer beyond the limit', { ...ANSWER, reserve: ReserveState.Taken }, FULL, {}, RoomReason.Full],
    ['is not there for an answer beyond the reserve', ANSWER, { ...FULL, largeAnswers: 16 * MB + MAX_BUFFERED_RESPONSE_BYTES }, {}, RoomReason.Full],
    ['is not there for an answer behind an older one', ANSWER, EMPTY, { large: 1 }, RoomReason.Full],
    ['is not there for more than a connection\'s share while others wait', { ...BODY, connectionBytes: 8 * MB }, EMPTY, { withinShare: 1 }, RoomReason.ConnectionShare],
    ['is there for more than a connection\'s share if nobody else waits', { ...BODY, connectionBytes: 8 * MB }, EMPTY, {}, RoomReason.BelowLimit],
    ['is there for what was begun within a connection\'s share', { ...ANSWER, heldBytes: MB, isLarge: true, connectionBytes: 8 * MB }, EMPTY, { withinShare: 1 }, RoomReason.BelowLimit],
    ['is less where clients do not take their streams', ANSWER, { ...EMPTY, streams: 27.5 * MB }, {}, RoomReason.AnswerReserve],
  ])('%s', (_name, claim, state, waiting, reason) => {
    expect(decideRoom(claim, state, { ...NONE, ...waiting }).reason).toBe(reason)
  })

  test.each([
    ['a body that can never be held', 17 * MB, 0, RoomReason.TooLarge],
    ['a body with too many others', MB, 62, RoomReason.TooManyWait],
    ['no other body', MB, 61, undefined],
  ])('is refused at once to %s', (_name, bytes, waiting, reason) => {
    expect(refuseWait(bytes, LIMIT, waiting)).toBe(reason)
  })

  test.each([
    ['without a deadline', undefined, 500],
    ['with a long deadline', 6000, 500],
    ['with a short deadline', 400, 100],
  ])('is waited for by a body %s and refused while its client can return', (_name, deadlineMs, waitMs) => {
    expect(decideBodyWaitMs(deadlineMs)).toBe(waitMs)
    for (const random of [0, 0.5, 1])
      expect(decideReturnMs(deadlineMs, () => random)).toBeLessThanOrEqual((deadlineMs ?? 10_000) / 2)
  })

  test.each([
    ['as configured', 5 * MB, 400 * MB, 5 * MB],
    ['a part of the memory', undefined, 400 * MB, 50 * MB],
    ['a part of the heap where the memory is not known', undefined, undefined, getHeapStatistics().heap_size_limit / 8],
    ['unlimited where the settings say so', 0, 400 * MB, Infinity],
  ])('is %s', (_name, configuredBytes, memoryBytes, limit) => {
    expect(decideHeldLimit({ configuredBytes, memoryBytes })).toBe(limit)
  })
})

describe('the account of held bytes', () => {
  /** Claims like a request handler: a body with its time, or an answer in parts. */
  function claim(held: HeldBytes, connection: object, request: Partial<RoomRequest>) {
    const holding = held.open(connection)
    return { holding, claimed: Promise.resolve(holding.claim({ kind: HeldKind.RequestBody, bytes: 1, signal: new AbortController().signal, ...request })) }
  }

  test('lets answers that are partly read and fill the limit end one after the other', async () => {
    const held = new HeldBytes(LIMIT, NO_METRICS)
    let highest = 0
    const read = async (): Promise<void> => {
      const holding = held.open({})
      for (let part = 0; part < 100; part++) {
        await holding.claim({ kind: HeldKind.Answer, bytes: MAX_BUFFERED_RESPONSE_BYTES / 100, signal: new AbortController().signal })
        highest = Math.max(highest, held.totalBytes)
      }
      holding.endCall()
      holding.closeAnswer()
    }
    await Promise.all(Array.from({ length: 40 }, read))
    expect(highest).toBeLessThanOrEqual(LIMIT + MAX_BUFFERED_RESPONSE_BYTES)
    expect(held.totalBytes).toBe(0)
  })

  test('refuses a body that gets no room in time, and serves the one behind it', async () => {
    vi.useFakeTimers()
    const held = new HeldBytes(LIMIT, NO_METRICS)
    const first = claim(held, {}, { bytes: 12 * MB })
    const late = claim(held, {}, { bytes: 10 * MB, maxWaitMs: 500 })
    const behind = claim(held, {}, { bytes: 2 * MB, maxWaitMs: 2000 })
    await vi.advanceTimersByTimeAsync(600)
    vi.useRealTimers()
    expect((await first.claimed).granted).toBe(true)
    expect(await late.claimed).toEqual({ granted: false, reason: RoomReason.TooLate })
    expect((await behind.claimed).granted).toBe(true)
  })

  test('gives room to a small body while as many large ones wait as may, and refuses a further large one at once', async () => {
    const held = new HeldBytes(LIMIT, NO_METRICS)
    claim(held, {}, { bytes: 16 * MB })
    const waiting = Array.from({ length: 62 }, () => claim(held, {}, { bytes: MB }).claimed)
    expect(await waiting.at(-1)).toEqual({ granted: false, reason: RoomReason.TooManyWait })
    expect(await claim(held, {}, { bytes: 1000 }).claimed).toEqual({ granted: true, reason: RoomReason.SmallReserve })
  })

  test('lets a body without bytes pass while nothing else fits', async () => {
    const held = new HeldBytes(LIMIT, NO_METRICS)
    for (let index = 0; index < LIMIT / SMALL_BYTES; index++)
      claim(held, {}, { bytes: SMALL_BYTES })
    const waiting = claim(held, {}, { kind: HeldKind.Answer, bytes: 7 * MB })
    const second = claim(held, {}, { kind: HeldKind.Answer, bytes: 7 * MB, maxWaitMs: 50 })
    expect(await claim(held, {}, { bytes: 0, maxWaitMs: 10 }).claimed).toMatchObject({ granted: true })
    expect((await waiting.claimed).granted).toBe(true)
    await second.claimed
  })

  test.each([
    ['is read if it fits, though the largest allowed one would not', 100_000, 100_000, undefined],
    ['is refused for good if it can never be held', 1.5 * MB, MB, ErrorKind.BodyTooLarge],
  ])('a body without a length %s', async (_name, bytes, expectedBytes, refusal) => {
    const room = new BodyRoom(new HeldBytes(2 * MB, NO_METRICS).open({}), new AbortController().signal, createLog().log)
    const head = { requestId: 'id-1', deadlineMs: 1000 }
    await room.claim(SMALL_BYTES, head)
    let read = 0
    for await (const chunk of room.claimWhileReading(Readable.from([Buffer.alloc(50_000), Buffer.alloc(bytes - 50_000)]), 4 * MB, head))
      read += chunk.length
    expect(room.refusal?.kind).toBe(refusal)
    expect(read).toBeLessThanOrEqual(expectedBytes)
    expect(refusal === undefined).toBe(read === bytes)
  })

  test('gives back what a client held that left, also of answers that wait for their turn', async () => {
    const held = new HeldBytes(LIMIT, NO_METRICS)
    const connection = {}
    const [first, second] = [1, 2].map(() => claim(held, connection, { kind: HeldKind.Answer, bytes: MB }).holding)
    first.endCall()
    second.endCall()
    second.setStreamBytes(1000)
    held.closeConnection(connection)
    expect(held.totalBytes).toBe(0)
  })

  test('gives room to connections within their share first', async () => {
    const held = new HeldBytes(LIMIT, NO_METRICS)
    const greedy = {}
    const order: string[] = []
    const others = Array.from({ length: 2 }, () => claim(held, {}, { bytes: 4 * MB }).holding)
    claim(held, greedy, { bytes: 8 * MB })
    void claim(held, greedy, { bytes: MB }).claimed.then(() => order.push('greedy'))
    const fair = claim(held, {}, { bytes: MB }).claimed.then(() => order.push('fair'))
    others[0].endCall()
    await fair
    others[1].endCall()
    await vi.waitFor(() => expect(order).toEqual(['fair', 'greedy']))
  })

  test.each([
    ['breaks off', 0, async function* () {
      yield Buffer.alloc(MB)
      throw new Error('reset')
    }, 'reset'],
    ['gets no room before its deadline', 8 * MB, async function* () {
      yield Buffer.alloc(MB)
    }, 'no room for the response in time'],
    ['is too large', 0, async function* () {
      yield Buffer.alloc(MB)
      yield Buffer.alloc(8 * MB)
    }, 'response body exceeds the limit of 8000000 bytes'],
  ])('gives back an answer that %s', async (_name, otherBytes, read, message) => {
    const held = new HeldBytes(8 * MB, NO_METRICS)
    claim(held, {}, { kind: HeldKind.Answer, bytes: otherBytes })
    const holding = held.open({})
    const destroy = vi.fn()
    const response = { status: 200, headers: [], framed: true, body: read(), destroy }
    const room: AnswerRoom = {
      claim: async (bytes, signal) => (await holding.claim({ kind: HeldKind.Answer, bytes, signal })).granted,
      release: bytes => holding.release(HeldKind.Answer, bytes),
    }
    const buffered = await bufferResponse(response, { controller: new AbortController(), remainingMs: 30, room })
    expect(buffered.isErr() && buffered.error.message).toContain(message)
    expect(destroy).toHaveBeenCalled()
    expect(held.totalBytes).toBe(otherBytes)
  })

  test('never exceeds the limit by more than one answer, and lets no claim wait for ever', async () => {
    const size = fc.oneof(fc.integer({ min: 1, max: SMALL_BYTES }), fc.integer({ min: SMALL_BYTES, max: MAX_BUFFERED_RESPONSE_BYTES }))
    const request = fc.record({ body: size, answer: size, parts: fc.integer({ min: 1, max: 8 }), connection: fc.integer({ min: 0, max: 3 }), leaves: fc.boolean() })
    await fc.assert(fc.asyncProperty(fc.array(request, { minLength: 1, maxLength: 40 }), fc.integer({ min: 16, max: 64 }), async (requests, limitMegabytes) => {
      const limit = limitMegabytes * MB
      const held = new HeldBytes(limit, NO_METRICS)
      const connections = [{}, {}, {}, {}]
      const ends = requests.map(async ({ body, answer, parts, connection, leaves }) => {
        const holding = held.open(connections[connection])
        const kinds = [{ kind: HeldKind.RequestBody as const, sizes: [body] }, { kind: HeldKind.Answer as const, sizes: Array.from({ length: parts }, () => answer / parts) }]
        const leaving = new AbortController()
        for (const { kind, sizes } of kinds) {
          for (const bytes of sizes) {
            const { granted, reason } = await holding.claim({ kind, bytes, signal: leaving.signal })
            expect(held.totalBytes).toBeLessThanOrEqual(limit + MAX_BUFFERED_RESPONSE_BYTES)
            if (!granted)
              expect([RoomReason.TooManyWait, RoomReason.Cancelled]).toContain(reason)
          }
          if (leaves)
            leaving.abort()
        }
        holding.endCall()
        await Promise.resolve()
        holding.closeAnswer()
      })
      await Promise.all(ends)
      expect(held.totalBytes).toBeCloseTo(0, 3)
    }), { seed: 13, numRuns: 200 })
  })
})

describe('a client that does not read', () => {
  const UNREAD: TransferProgress = { waitingBytes: 1000, movedBytes: 0, hasTurn: true }

  /** Milliseconds after which a client is cut off whose answer looks like this at each look. */
  function cutOffAfterMs(answerAt: (now: number) => TransferProgress, stepMs = 250): number | undefined {
    let state = NOT_STALLED
    for (let now = 0; now < 60_000; now += stepMs) {
      const decision = decideCutOff(answerAt(now), state, stepMs)
      if (decision.cutOff)
        return now
      state = decision
    }
    return undefined
  }

  test.each<[string, (now: number) => TransferProgress, number | undefined]>([
    ['is cut off after the stated time', () => UNREAD, MAX_STALL_MS],
    ['is cut off that time after its last byte', now => ({ ...UNREAD, movedBytes: Math.min(now, 2000) }), 2000 + MAX_STALL_MS],
    ['is not cut off if it takes a byte now and then', now => ({ ...UNREAD, movedBytes: Math.floor(now / 4000) }), undefined],
    ['is not cut off if nothing waits for it', () => ({ ...UNREAD, waitingBytes: 0 }), undefined],
    ['is not cut off for an answer whose turn has not come', () => ({ ...UNREAD, hasTurn: false }), undefined],
    ['is not saved by bytes that are added to what waits', now => ({ ...UNREAD, waitingBytes: now + 1, movedBytes: -10 }), MAX_STALL_MS],
  ])('%s', (_name, answerAt, expected) => {
    expect(cutOffAfterMs(answerAt)).toBe(expected)
  })

  test('is not blamed for a pause of this process', () => {
    expect(decideCutOff(UNREAD, { movedBytes: 0, wasWaiting: true, stalledMs: 0 }, 30_000).cutOff).toBe(false)
  })
})
