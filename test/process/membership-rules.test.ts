import type { HeartbeatInputs, MemberSigns } from '@eidermast/daemon'
import { BackendOrder, classifySide, decideMemberState, FIRST_CONTACT_MS, isFirstContactOver, isHeartbeatDue, MemberState, selectWatched, SideHealth, VirtualMachineState } from '@eidermast/daemon'
import { describe, expect, test } from 'vitest'
import { createBackend } from '../support/fixtures.js'

describe('a backend server', () => {
  const inForce: MemberSigns = { order: BackendOrder.In, virtualMachine: VirtualMachineState.Live, answering: true, draining: false }

  test.each<[Partial<MemberSigns>, MemberState]>([
    [{}, MemberState.InForce],
    [{ order: BackendOrder.Out }, MemberState.OrderedOut],
    [{ virtualMachine: VirtualMachineState.Leaving }, MemberState.MachineLeaving],
    [{ answering: false }, MemberState.Silent],
    [{ draining: true }, MemberState.Draining],
    [{ order: BackendOrder.Out, answering: false }, MemberState.OrderedOut],
  ])('with the signs %j is %s', (signs, state) => {
    expect(decideMemberState({ ...inForce, ...signs })).toBe(state)
  })
})

describe('the first contact of an entry with its backend servers', () => {
  test.each<[string, boolean[], number, boolean]>([
    ['has no backend server to meet', [], 0, true],
    ['waits for a side that has shown nothing', [true, false], FIRST_CONTACT_MS - 1, false],
    ['is over when every side answered or failed to', [true, true], 1, true],
    ['does not wait for a frozen side for ever', [true, false], FIRST_CONTACT_MS, true],
  ])('%s', (_name, tried, sinceOpenedMs, over) => {
    expect(isFirstContactOver({ tried, sinceOpenedMs })).toBe(over)
  })
})

describe('the backend servers that an entry watches', () => {
  const pool = Array.from({ length: 10 }, (_, index) => ({ name: `encoder-${index}`, offset: index, value: createBackend() }))
  const other = { name: 'retriever-1', offset: 10, value: createBackend({ service: 'retriever' }) }
  const watchedBy = (entry: string, limit: number): string[] => selectWatched([...pool, other], entry, limit).map(({ name }) => name)

  test('are all of each service up to the limit', () => {
    expect(watchedBy('entry-1', 10)).toHaveLength(11)
    expect(watchedBy('entry-1', 4)).toHaveLength(5)
  })

  test('stay the same ones for an entry, and differ between entries', () => {
    expect(watchedBy('entry-1', 4)).toEqual(watchedBy('entry-1', 4))
    expect(watchedBy('entry-1', 4)).not.toEqual(watchedBy('entry-2', 4))
  })
})

describe('a heartbeat', () => {
  const busy: HeartbeatInputs = { sinceReplyMs: 0, sinceHeartbeatMs: 500, intervalMs: 500, acknowledgements: 0, offset: 1, sideOffset: 1 }

  test.each<[string, Partial<HeartbeatInputs>, boolean]>([
    ['is not due on a link that has just carried a reply', {}, false],
    ['is due on a link that was quiet for an interval', { sinceReplyMs: 500 }, true],
    ['is due after six intervals, however busy the link is', { sinceHeartbeatMs: 3000 }, true],
    ['is due when many results wait for their acknowledgement', { acknowledgements: 500 }, true],
    ['is due when the side holds an older configuration', { sideOffset: 0 }, true],
  ])('%s', (_name, signs, expected) => {
    expect(isHeartbeatDue({ ...busy, ...signs })).toBe(expected)
  })

  test('that is missed once says nothing, twice that the side is silent, three times that it is lost', () => {
    expect([0, 1, 2, 3].map(classifySide)).toEqual([SideHealth.Answering, SideHealth.Unclear, SideHealth.Silent, SideHealth.Lost])
  })
})
