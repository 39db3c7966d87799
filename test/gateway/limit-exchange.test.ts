import type { IntakeState } from '@eidermast/gateway'
import { BackendRegistry, LimitExchange } from '@eidermast/gateway'
import { describe, expect, test } from 'vitest'
import { createLog, createRecord } from './support/fakes.js'

const RECORD = createRecord({ id: 'engine-a', service: 'engine', born: 1 })

/** A gateway that knows one backend server. */
class Gateway {
  readonly registry = new BackendRegistry(createLog().log)
  readonly exchange = new LimitExchange(this.registry, () => {})

  constructor(record = RECORD) {
    this.registry.upsert(record)
  }

  get intake(): IntakeState {
    return this.registry.find('engine-a')!.intake
  }

  /** Handles a response to a work call that sets a limit, or none. */
  answer(limitPerSecond: number | undefined, calledAt: number, now: number): void {
    if (this.intake.updateLimit({ limitPerSecond }, { isWork: true, calledAt }, now))
      this.exchange.note(this.registry.find('engine-a')!)
  }
}

/** Sends the changes of one gateway to the other, with a transit time in milliseconds. */
function shareChanges(from: Gateway, to: Gateway, now: number, transitMs = 0): void {
  const messages = JSON.parse(JSON.stringify(from.exchange.messages(now) ?? []))
  to.exchange.receive(messages, 'gateway-a', now + transitMs)
}

describe('gateways that exchange limits of backend servers', () => {
  test('learn of a limit, its change and its end from another gateway, via a third one', () => {
    const [first, middle, last] = [new Gateway(), new Gateway(), new Gateway()]
    for (const [limit, calledAt] of [[2, 1000], [3, 1100], [undefined, 2000]] as const) {
      first.answer(limit, calledAt, calledAt + 50)
      shareChanges(first, middle, calledAt + 100, 20)
      shareChanges(middle, last, calledAt + 200, 20)
      expect([middle.intake.limitPerSecond, last.intake.limitPerSecond]).toEqual([limit, limit])
    }
  })

  test('send nothing if no limit changed recently', () => {
    const gateway = new Gateway()
    gateway.answer(undefined, 0, 10)
    expect(gateway.exchange.messages(20)).toBeUndefined()
    gateway.answer(2, 1000, 1010)
    expect(gateway.exchange.messages(1020)).toHaveLength(1)
    expect(gateway.exchange.messages(9000)).toBeUndefined()
  })

  test.each([
    { what: 'an end that is older than the current limit', limit: undefined, ageMs: 400 },
    { what: 'an end that may be older, considering the transit time', limit: undefined, ageMs: 0 },
    { what: 'a limit that is older than the current one', limit: 9, ageMs: 400 },
  ])('ignore $what', ({ limit, ageMs }) => {
    const gateway = new Gateway()
    gateway.answer(2, 1000, 1050)
    gateway.exchange.receive([{ backend: 'engine-a', life: 'engine-a/1', limitPerSecond: limit, ageMs }], 'gateway-b', 1200)
    expect(gateway.intake.limitPerSecond).toBe(2)
  })

  test('ignore a limit that is older than a known end', () => {
    const gateway = new Gateway()
    gateway.answer(2, 1000, 1050)
    gateway.answer(undefined, 1100, 1150)
    gateway.exchange.receive([{ backend: 'engine-a', life: 'engine-a/1', limitPerSecond: 2, ageMs: 200 }], 'gateway-b', 1200)
    expect(gateway.intake.limitPerSecond).toBeUndefined()
  })

  test('do not apply the limit of an earlier process to a later one with the same id', () => {
    const [first, other] = [new Gateway(), new Gateway({ ...RECORD, born: 2 })]
    first.answer(2, 1000, 1050)
    shareChanges(first, other, 1100)
    expect(other.intake.limitPerSecond).toBeUndefined()
  })
})
