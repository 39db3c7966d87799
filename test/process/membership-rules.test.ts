import type { HeartbeatInputs, MemberStateInputs } from '@eidermast/daemon'
import { BackendOrder, classifySide, decideMemberState, INITIAL_CONNECT_TIMEOUT_MS, isHeartbeatDue, isInitialConnectDone, MemberState, selectWatchedBackends, SideHealth, VirtualMachineState } from '@eidermast/daemon'
import { describe, expect, test } from 'vitest'
import { createBackend } from '../support/fixtures.js'

describe('a backend server', () => {
  const available: MemberStateInputs = { order: BackendOrder.In, virtualMachine: VirtualMachineState.Live, answering: true, draining: false }

  test.each<[Partial<MemberStateInputs>, MemberState]>([
    [{}, MemberState.Available],
    [{ order: BackendOrder.Out }, MemberState.OrderedOut],
    [{ virtualMachine: VirtualMachineState.Leaving }, MemberState.MachineLeaving],
    [{ answering: false }, MemberState.Silent],
    [{ draining: true }, MemberState.Draining],
    [{ order: BackendOrder.Out, answering: false }, MemberState.OrderedOut],
  ])('with the inputs %j is %s', (inputs, state) => {
    expect(decideMemberState({ ...available, ...inputs })).toBe(state)
  })
})

describe('the initial connection of an entry to its backend servers', () => {
  test.each<[string, boolean[], number, boolean]>([
    ['is done at once without backend servers', [], 0, true],
    ['waits for a side that has neither responded nor failed', [true, false], INITIAL_CONNECT_TIMEOUT_MS - 1, false],
    ['is done when every side has responded or failed', [true, true], 1, true],
    ['stops waiting for a frozen side after the timeout', [true, false], INITIAL_CONNECT_TIMEOUT_MS, true],
  ])('%s', (_name, tried, elapsedMs, done) => {
    expect(isInitialConnectDone({ tried, elapsedMs })).toBe(done)
  })
})

describe('the backend servers that an entry watches', () => {
  const pool = Array.from({ length: 10 }, (_, index) => ({ name: `encoder-${index}`, offset: index, value: createBackend() }))
  const other = { name: 'retriever-1', offset: 10, value: createBackend({ service: 'retriever' }) }
  const watchedBy = (entry: string, limit: number): string[] => selectWatchedBackends([...pool, other], entry, limit).map(({ name }) => name)

  test('are all backend servers of each service up to the limit', () => {
    expect(watchedBy('entry-1', 10)).toHaveLength(11)
    expect(watchedBy('entry-1', 4)).toHaveLength(5)
  })

  test('are stable for an entry and differ between entries', () => {
    expect(watchedBy('entry-1', 4)).toEqual(watchedBy('entry-1', 4))
    expect(watchedBy('entry-1', 4)).not.toEqual(watchedBy('entry-2', 4))
  })
})

describe('a heartbeat', () => {
  const busy: HeartbeatInputs = { sinceReplyMs: 0, sinceHeartbeatMs: 500, intervalMs: 500, acknowledgements: 0, offset: 1, sideOffset: 1 }

  test.each<[string, Partial<HeartbeatInputs>, boolean]>([
    ['is not due on a link that has just received a reply', {}, false],
    ['is due on a link that was idle for an interval', { sinceReplyMs: 500 }, true],
    ['is due after six intervals, even on a busy link', { sinceHeartbeatMs: 3000 }, true],
    ['is due when many results are waiting to be acknowledged', { acknowledgements: 500 }, true],
    ['is due when the side has an older configuration', { sideOffset: 0 }, true],
  ])('%s', (_name, inputs, expected) => {
    expect(isHeartbeatDue({ ...busy, ...inputs })).toBe(expected)
  })

  test('marks the side as unclear if missed once, silent if missed twice, and lost if missed three times', () => {
    expect([0, 1, 2, 3].map(classifySide)).toEqual([SideHealth.Answering, SideHealth.Unclear, SideHealth.Silent, SideHealth.Lost])
  })
})
