import type { DrainInputs, OrderDueInputs, OrderSendInputs, RefusalContext, StageCall } from '@eidermast/daemon'
import { BackendOrder, BackendRole, DrainReason, findDrainReason, findNotDueReason, findRefusal, findSendRefusal, NO_OFFSET, OrderResult, RefusalReason } from '@eidermast/daemon'
import { describe, expect, test } from 'vitest'
import { createStageCall } from '../support/fixtures.js'

describe('a side', () => {
  const accepting: DrainInputs = {
    stopping: false,
    configurationKnown: true,
    orderedIn: true,
    backendDraining: false,
    backendDown: false,
    requiresModel: true,
    placementApplied: true,
  }

  test('accepts new calls if there is no reason to drain', () => {
    expect(findDrainReason(accepting)).toBeUndefined()
  })

  test.each<[Partial<DrainInputs>, DrainReason]>([
    [{ stopping: true }, DrainReason.Stopping],
    [{ configurationKnown: false, orderedIn: false }, DrainReason.ConfigurationUnknown],
    [{ orderedIn: false }, DrainReason.OrderedOut],
    [{ backendDraining: true }, DrainReason.BackendDraining],
    [{ backendDown: true }, DrainReason.BackendDown],
    [{ placementApplied: false }, DrainReason.NoModel],
  ])('drains for any single reason: %j', (inputs, reason) => {
    expect(findDrainReason({ ...accepting, ...inputs })).toBe(reason)
  })

  test('accepts calls before any order is applied if its placement names no model', () => {
    expect(findDrainReason({ ...accepting, requiresModel: false, placementApplied: false })).toBeUndefined()
  })
})

describe('a stage call', () => {
  const placement = { fence: 5, order: BackendOrder.In, model: 'm', version: 'v2', adapters: [], checksOrders: false }
  const baseContext: RefusalContext = { draining: false, backendName: 'encoder-1', role: BackendRole.Stage, placement, appliedPlacement: placement }
  const matching = { model: 'm', version: 'v2', offset: 5 }

  test('is accepted if the required model and version are loaded', () => {
    expect(findRefusal(createStageCall(matching), baseContext)).toBeUndefined()
  })

  test.each<[string, Partial<StageCall>, Partial<RefusalContext>, RefusalReason]>([
    ['while its side is draining', {}, { draining: true }, RefusalReason.Draining],
    ['for another backend server', { backend: 'encoder-2' }, {}, RefusalReason.OtherIncarnation],
    ['for a plain service at a backend server for stages', { serviceRequest: { method: 'GET', path: '/' } }, {}, RefusalReason.WrongRole],
    ['for another model, if created before the placement', { model: 'old', offset: 4 }, {}, RefusalReason.Stale],
    ['for another model, if created after the placement', { model: 'old' }, {}, RefusalReason.WrongModel],
    ['for another version', { version: 'v1' }, {}, RefusalReason.WrongModel],
    ['before any order is applied', {}, { appliedPlacement: undefined }, RefusalReason.WrongModel],
  ])('is refused %s', (_name, call, changed, reason) => {
    expect(findRefusal(createStageCall({ ...matching, ...call }), { ...baseContext, ...changed })).toBe(reason)
  })
})

describe('an order', () => {
  const baseInputs: OrderDueInputs = { configurationKnown: true, fence: 5, appliedFence: NO_OFFSET, orderInProgress: false }

  test.each<[string, Partial<OrderDueInputs>, OrderResult | undefined]>([
    ['is due if its fence is above that of the latest applied order', {}, undefined],
    ['is not due before the configuration is known', { configurationKnown: false }, OrderResult.NotYet],
    ['is not due while another one is in progress', { orderInProgress: true }, OrderResult.NotYet],
    ['is not due if it has already been applied', { appliedFence: 5 }, OrderResult.Current],
    ['is not due if the backend server is not configured', { fence: undefined }, OrderResult.Current],
  ])('%s', (_name, inputs, result) => {
    expect(findNotDueReason({ ...baseInputs, ...inputs })).toBe(result)
  })

  const confirmed: OrderSendInputs = { checksOrders: false, confirmed: true, confirmationAgeMs: 0, fence: 5, latestFence: 5 }

  test.each<[string, Partial<OrderSendInputs>, OrderResult | undefined]>([
    ['is sent if the log has confirmed it', {}, undefined],
    ['is not sent without confirmation', { confirmed: false }, OrderResult.NotConfirmed],
    ['is sent without confirmation if the backend server checks fences', { confirmed: false, checksOrders: true }, undefined],
    ['is not sent if the process was paused since the confirmation was requested', { confirmationAgeMs: 1001 }, OrderResult.NotConfirmed],
    ['is not sent once a newer one exists', { latestFence: 6 }, OrderResult.NotYet],
  ])('%s', (_name, inputs, result) => {
    expect(findSendRefusal({ ...confirmed, ...inputs })).toBe(result)
  })
})
