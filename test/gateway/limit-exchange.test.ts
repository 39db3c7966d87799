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

  /** An answer to work names a limit, or none. */
  answer(limitPerSecond: number | undefined, calledAt: number, now: number): void {
    if (this.intake.takeLimit({ limitPerSecond }, { isWork: true, calledAt }, now))
      this.exchange.note(this.registry.find('engine-a')!)
  }
}

/** One tells the other what changed, some milliseconds later. */
function tell(from: Gateway, to: Gateway, now: number, transitMs = 0): void {
  const messages = JSON.parse(JSON.stringify(from.exchange.messages(now) ?? []))
  to.exchange.take(messages, 'gateway-a', now + transitMs)
}

describe('gateways that tell each other the limits of backend servers', () => {
  test('know a limit, its change and its end from one that was answered, over a third one', () => {
    const [first, middle, last] = [new Gateway(), new Gateway(), new Gateway()]
    for (const [limit, calledAt] of [[2, 1000], [3, 1100], [undefined, 2000]] as const) {
      first.answer(limit, calledAt, calledAt + 50)
      tell(first, middle, calledAt + 100, 20)
      tell(middle, last, calledAt + 200, 20)
      expect([middle.intake.limitPerSecond, last.intake.limitPerSecond]).toEqual([limit, limit])
    }
  })

  test('say nothing where no limit changed lately', () => {
    const gateway = new Gateway()
    gateway.answer(undefined, 0, 10)
    expect(gateway.exchange.messages(20)).toBeUndefined()
    gateway.answer(2, 1000, 1010)
    expect(gateway.exchange.messages(1020)).toHaveLength(1)
    expect(gateway.exchange.messages(9000)).toBeUndefined()
  })

  test.each([
    { what: 'an end that is older than the newest naming', limit: undefined, ageMs: 400 },
    { what: 'an end that may be older, since it was under way', limit: undefined, ageMs: 0 },
    { what: 'a naming that is older than the newest one', limit: 9, ageMs: 400 },
  ])('do not take $what', ({ limit, ageMs }) => {
    const gateway = new Gateway()
    gateway.answer(2, 1000, 1050)
    gateway.exchange.take([{ backend: 'engine-a', life: 'engine-a/1', limitPerSecond: limit, ageMs }], 'gateway-b', 1200)
    expect(gateway.intake.limitPerSecond).toBe(2)
  })

  test('do not take a naming that is older than the end that they heard', () => {
    const gateway = new Gateway()
    gateway.answer(2, 1000, 1050)
    gateway.answer(undefined, 1100, 1150)
    gateway.exchange.take([{ backend: 'engine-a', life: 'engine-a/1', limitPerSecond: 2, ageMs: 200 }], 'gateway-b', 1200)
    expect(gateway.intake.limitPerSecond).toBeUndefined()
  })

  test('do not take the limit of an earlier process for that of a later one with its id', () => {
    const [first, other] = [new Gateway(), new Gateway({ ...RECORD, born: 2 })]
    first.answer(2, 1000, 1050)
    tell(first, other, 1100)
    expect(other.intake.limitPerSecond).toBeUndefined()
  })
})
