import type { DrainSigns, DueSigns, RefusalContext, SendSigns, StageCall } from '@eidermast/daemon'
import { BackendOrder, BackendRole, DrainReason, findDrainReason, findNotDue, findRefusal, findSendHindrance, NO_OFFSET, OrderResult, RefusalReason } from '@eidermast/daemon'
import { describe, expect, test } from 'vitest'
import { createStageCall } from '../support/fixtures.js'

describe('a side', () => {
  const serving: DrainSigns = {
    stopping: false,
    configurationKnown: true,
    orderedIn: true,
    backendDraining: false,
    backendDown: false,
    wantsModel: true,
    holdsPlacement: true,
  }

  test('takes new calls while nothing speaks against it', () => {
    expect(findDrainReason(serving)).toBeUndefined()
  })

  test.each<[Partial<DrainSigns>, DrainReason]>([
    [{ stopping: true }, DrainReason.Stopping],
    [{ configurationKnown: false, orderedIn: false }, DrainReason.ConfigurationUnknown],
    [{ orderedIn: false }, DrainReason.OrderedOut],
    [{ backendDraining: true }, DrainReason.BackendDraining],
    [{ backendDown: true }, DrainReason.BackendDown],
    [{ holdsPlacement: false }, DrainReason.NoModel],
  ])('drains by any one sign: %j', (signs, reason) => {
    expect(findDrainReason({ ...serving, ...signs })).toBe(reason)
  })

  test('needs no order to have taken effect where its placement names no model', () => {
    expect(findDrainReason({ ...serving, wantsModel: false, holdsPlacement: false })).toBeUndefined()
  })
})

describe('a stage call', () => {
  const placement = { fence: 5, order: BackendOrder.In, model: 'm', version: 'v2', adapters: [], checksOrders: false }
  const context: RefusalContext = { draining: false, backendName: 'encoder-1', role: BackendRole.Stage, placement, held: placement }
  const fitting = { model: 'm', version: 'v2', offset: 5 }

  test('is taken where the model and version that it wants are held', () => {
    expect(findRefusal(createStageCall(fitting), context)).toBeUndefined()
  })

  test.each<[string, Partial<StageCall>, Partial<RefusalContext>, RefusalReason]>([
    ['while its side drains', {}, { draining: true }, RefusalReason.Draining],
    ['for another backend server', { backend: 'encoder-2' }, {}, RefusalReason.OtherIncarnation],
    ['for a plain service at a stage\'s backend server', { serviceRequest: { method: 'GET', path: '/' } }, {}, RefusalReason.WrongRole],
    ['for another model, made before the placement', { model: 'old', offset: 4 }, {}, RefusalReason.Stale],
    ['for another model, made since the placement', { model: 'old' }, {}, RefusalReason.WrongModel],
    ['for another version', { version: 'v1' }, {}, RefusalReason.WrongModel],
    ['while no order has taken effect', {}, { held: undefined }, RefusalReason.WrongModel],
  ])('is refused %s', (_name, call, changed, reason) => {
    expect(findRefusal(createStageCall({ ...fitting, ...call }), { ...context, ...changed })).toBe(reason)
  })
})

describe('an order', () => {
  const due: DueSigns = { configurationKnown: true, fence: 5, appliedFence: NO_OFFSET, ordering: false }

  test.each<[string, Partial<DueSigns>, OrderResult | undefined]>([
    ['is due when its fence is above the newest that took effect', {}, undefined],
    ['is not due before the configuration is known', { configurationKnown: false }, OrderResult.NotYet],
    ['is not due while another is under way', { ordering: true }, OrderResult.NotYet],
    ['is not due when it is in force', { appliedFence: 5 }, OrderResult.Current],
    ['is not due where the backend server is not configured', { fence: undefined }, OrderResult.Current],
  ])('%s', (_name, signs, result) => {
    expect(findNotDue({ ...due, ...signs })).toBe(result)
  })

  const confirmed: SendSigns = { checksOrders: false, confirmed: true, confirmationAgeMs: 0, fence: 5, newestFence: 5 }

  test.each<[string, Partial<SendSigns>, OrderResult | undefined]>([
    ['is sent when the log has confirmed it', {}, undefined],
    ['is not sent without confirmation', { confirmed: false }, OrderResult.NotConfirmed],
    ['is sent without confirmation where the backend server checks fences', { confirmed: false, checksOrders: true }, undefined],
    ['is not sent after a pause since the log confirmed it', { confirmationAgeMs: 1001 }, OrderResult.NotConfirmed],
    ['is not sent once a newer one exists', { newestFence: 6 }, OrderResult.NotYet],
  ])('%s', (_name, signs, result) => {
    expect(findSendHindrance({ ...confirmed, ...signs })).toBe(result)
  })
})
