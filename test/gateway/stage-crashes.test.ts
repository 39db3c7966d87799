/**
 * What callers would see: an item of one request ends the stage backend server
 * that runs it. Calls are made for items of several requests: the items of all
 * are sent again, meet in the next call, and the next backend server ends. Once
 * the item has failed three times its request's stages begin again.
 *
 * Cause: a broken call was the backend server's fault alone; which items were in
 * it was not looked at.
 *
 * Evidence: without the mend the first test below ends all six backend servers.
 */
import type { FakeStageCall } from './support/fakes.js'
import { CrashBoard, CrashWitness, GatewayLog, Presence, StageCallEnd } from '@eidermast/gateway'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { createLog } from './support/fakes.js'
import { createCoordinator, createStageRequest, NEVER } from './support/stage-coordinator.js'

const CAUSE = 'cause'
/** Milliseconds in which all work is done or has failed. */
const PLAY_MS = 4000

function createBoard(): CrashBoard {
  const { log } = createLog()
  const witness = new CrashWitness({ checkPresence: async () => Presence.Gone, log: new GatewayLog(log), onCrash: crash => board.noteCrash(crash) })
  const board = new CrashBoard({ name: 'gateway-a', ledger: { publish: async () => {} }, log, witness, restoresOthers: () => true })
  return board
}

function isFatal({ items }: FakeStageCall): boolean {
  return items.some(({ requestId }) => requestId === CAUSE)
}

/** Requests of one item each, of which one ends every backend server that runs it. */
function play() {
  const board = createBoard()
  const backends = ['a', 'b', 'c', 'd', 'e', 'f'].map(name => ({ id: `encode-${name}` }))
  const coordinator = createCoordinator(backends, board)
  const { service, registry, stageCoordinator } = coordinator
  const ended: FakeStageCall[] = []
  service.behaviour = (call) => {
    if (!isFatal(call))
      return StageCallEnd.Done
    ended.push(call)
    registry.remove(call.backendId, 'it ended')
    return StageCallEnd.Broken
  }
  const outcomes = new Map<string, boolean>()
  const send = async (requestId: string): Promise<void> => {
    const stages = [{ service: 'encode', dependsOn: [], resultBytes: 10, items: 1 }]
    const result = await stageCoordinator.prepare(createStageRequest({ requestId, fingerprint: `f-${requestId}`, stages }), NEVER)
    outcomes.set(requestId, result.isOk())
  }
  return { board, ended, outcomes, send, service }
}

/** All of one call, and what waits behind it. */
const TOGETHER = ['beside-1', CAUSE, 'beside-2', 'beside-3']

beforeEach(() => void vi.useFakeTimers())
afterEach(() => void vi.useRealTimers())

describe('an item that ends the stage backend server that runs it', () => {
  test('ends three at most, and has no other request fail', async () => {
    const { ended, outcomes, send } = play()
    for (const requestId of TOGETHER)
      void send(requestId)
    await vi.advanceTimersByTimeAsync(PLAY_MS)
    expect(ended.length).toBeLessThanOrEqual(3)
    expect(Object.fromEntries(outcomes)).toEqual({ 'beside-1': true, [CAUSE]: false, 'beside-2': true, 'beside-3': true })
  })

  test('travels alone after two ends', async () => {
    const { board, ended, send, service } = play()
    for (const backend of ['earlier-1', 'earlier-2'])
      board.applyReports('gateway-b', { crashes: [{ fingerprint: `f-${CAUSE}`, backend, at: Date.now(), gateway: 'gateway-b' }], answers: [] })
    for (const requestId of TOGETHER)
      void send(requestId)
    await vi.advanceTimersByTimeAsync(PLAY_MS)
    expect(ended.map(({ items }) => items.map(({ requestId }) => requestId))).toEqual([[CAUSE]])
    expect(service.calls.length).toBeGreaterThan(1)
  })

  test('is not sent any more after three, wherever they were seen', async () => {
    const { board, ended, outcomes, send } = play()
    for (const backend of ['earlier-1', 'earlier-2', 'earlier-3'])
      board.applyReports('gateway-b', { crashes: [{ fingerprint: `f-${CAUSE}`, backend, at: Date.now(), gateway: 'gateway-b' }], answers: [] })
    await send(CAUSE)
    expect(ended).toEqual([])
    expect(outcomes.get(CAUSE)).toBe(false)
  })

  test('is not spoken for by results of its stages', async () => {
    const { board, send } = play()
    board.applyReports('gateway-b', { crashes: ['1', '2'].map(backend => ({ fingerprint: 'f-fine', backend, at: Date.now(), gateway: 'gateway-b' })), answers: [] })
    void send('fine')
    await vi.advanceTimersByTimeAsync(PLAY_MS)
    expect(board.crashCount('f-fine')).toBe(2)
  })
})
