import type { CrashReports } from '@eidermast/gateway'
import { CrashExchange } from '@eidermast/gateway'
import * as fc from 'fast-check'
import { describe, expect, test } from 'vitest'

/** A gateway that forwards new reports, as the crash tracker does. */
class Gateway {
  readonly known = new Set<string>()
  exchange: CrashExchange

  constructor(readonly address: string, initialSequence = 1) {
    this.exchange = this.createExchange(initialSequence)
  }

  merge({ crashes }: CrashReports): void {
    const added = crashes.filter(({ backend }) => !this.known.has(backend))
    added.forEach(({ backend }) => this.known.add(backend))
    if (added.length > 0)
      this.exchange.note({ crashes: added, answers: [] })
  }

  observe(backend: string): void {
    this.merge({ crashes: [{ fingerprint: 'f', backend, at: 1, gateway: this.address }], answers: [] })
  }

  restart(initialSequence: number): void {
    this.known.clear()
    this.exchange = this.createExchange(initialSequence)
  }

  private createExchange(initialSequence: number): CrashExchange {
    return new CrashExchange(reports => this.merge(reports), initialSequence)
  }
}

/** Exchanges one heartbeat and its reply, either of which may be lost. Returns the size of both. */
function exchangeHeartbeat(from: Gateway, to: Gateway, lost?: 'heartbeat' | 'answer'): number {
  const heartbeat = throughJson(from.exchange.messageFor(to.address))
  if (lost === 'heartbeat')
    return 0
  if (heartbeat !== undefined)
    to.exchange.receive(from.address, heartbeat)
  const answer = throughJson(to.exchange.messageFor(from.address))
  if (lost !== 'answer' && answer !== undefined)
    from.exchange.receive(to.address, answer)
  return JSON.stringify([heartbeat, answer]).length
}

function throughJson(message: unknown): unknown {
  return message === undefined ? undefined : JSON.parse(JSON.stringify(message))
}

describe('gateways that exchange heartbeats', () => {
  test('do not mention crashes while there are none', () => {
    expect(new Gateway('a').exchange.messageFor('b')).toBeUndefined()
  })

  test('send each report once', () => {
    const [one, other] = [new Gateway('a'), new Gateway('b')]
    one.observe('plain-a')
    exchangeHeartbeat(one, other)
    exchangeHeartbeat(one, other)
    expect(one.exchange.messageFor('b')?.reports).toBeUndefined()
    expect(other.exchange.messageFor('a')?.reports).toBeUndefined()
  })

  test('forward reports from others', () => {
    const [one, coordinator, third] = [new Gateway('a'), new Gateway('b'), new Gateway('c')]
    one.observe('plain-a')
    exchangeHeartbeat(one, coordinator)
    exchangeHeartbeat(third, coordinator)
    expect([...third.known]).toEqual(['plain-a'])
  })

  test('send all reports again to a restarted peer', () => {
    const [one, other] = [new Gateway('a'), new Gateway('b')]
    one.observe('plain-a')
    exchangeHeartbeat(one, other)
    other.restart(1000)
    exchangeHeartbeat(one, other)
    exchangeHeartbeat(one, other)
    expect([...other.known]).toEqual(['plain-a'])
  })

  test('send reports made after a restart, even if the peer has received more before', () => {
    const [one, other] = [new Gateway('a'), new Gateway('b')]
    for (const backend of ['plain-a', 'plain-b', 'plain-c'])
      one.observe(backend)
    exchangeHeartbeat(one, other)
    one.restart(1000)
    one.observe('plain-d')
    exchangeHeartbeat(other, one)
    expect(other.known.has('plain-d')).toBe(true)
  })

  test('ignore an unknown format', () => {
    const one = new Gateway('a')
    one.exchange.receive('b', { later: 'form' })
    one.exchange.receive('b', { sequence: 'two', seen: 0 })
    expect(one.exchange.messageFor('b')).toBeUndefined()
  })

  test('converge after some rounds, regardless of earlier losses', () => {
    const steps = fc.array(fc.record({
      observer: fc.option(fc.integer({ min: 0, max: 2 })),
      from: fc.integer({ min: 0, max: 2 }),
      to: fc.integer({ min: 0, max: 2 }),
      lost: fc.constantFrom(undefined, 'heartbeat' as const, 'answer' as const),
    }), { maxLength: 40 })
    fc.assert(fc.property(steps, (play) => {
      const gateways = ['a', 'b', 'c'].map(address => new Gateway(address))
      play.forEach(({ observer, from, to, lost }, number) => {
        if (observer !== null)
          gateways[observer].observe(`plain-${number}`)
        if (from !== to)
          exchangeHeartbeat(gateways[from], gateways[to], lost)
      })
      for (let round = 0; round < 3; round++)
        [1, 2].forEach(index => exchangeHeartbeat(gateways[index], gateways[0]))
      expect(gateways[1].known).toEqual(gateways[0].known)
      expect(gateways[2].known).toEqual(gateways[0].known)
    }))
  })
})
