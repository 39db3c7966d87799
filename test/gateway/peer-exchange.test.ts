import type { CrashReports } from '@eidermast/gateway'
import { PeerExchange } from '@eidermast/gateway'
import * as fc from 'fast-check'
import { describe, expect, test } from 'vitest'

/** A gateway that tells what it learns, as the board does. */
class Gateway {
  readonly known = new Set<string>()
  exchange: PeerExchange

  constructor(readonly address: string, firstNumber = 1) {
    this.exchange = this.createExchange(firstNumber)
  }

  learn({ crashes }: CrashReports): void {
    const news = crashes.filter(({ backend }) => !this.known.has(backend))
    news.forEach(({ backend }) => this.known.add(backend))
    if (news.length > 0)
      this.exchange.note({ crashes: news, answers: [] })
  }

  see(backend: string): void {
    this.learn({ crashes: [{ fingerprint: 'f', backend, at: 1, gateway: this.address }], answers: [] })
  }

  restart(firstNumber: number): void {
    this.known.clear()
    this.exchange = this.createExchange(firstNumber)
  }

  private createExchange(firstNumber: number): PeerExchange {
    return new PeerExchange(reports => this.learn(reports), firstNumber)
  }
}

/** One heartbeat and its answer; either may be lost. */
function beat(from: Gateway, to: Gateway, lost?: 'heartbeat' | 'answer'): number {
  const heartbeat = overTheWire(from.exchange.messageFor(to.address))
  if (lost === 'heartbeat')
    return 0
  if (heartbeat !== undefined)
    to.exchange.take(from.address, heartbeat)
  const answer = overTheWire(to.exchange.messageFor(from.address))
  if (lost !== 'answer' && answer !== undefined)
    from.exchange.take(to.address, answer)
  return JSON.stringify([heartbeat, answer]).length
}

function overTheWire(message: unknown): unknown {
  return message === undefined ? undefined : JSON.parse(JSON.stringify(message))
}

describe('gateways that exchange heartbeats', () => {
  test('say nothing of crashes while there are none', () => {
    expect(new Gateway('a').exchange.messageFor('b')).toBeUndefined()
  })

  test('tell each report once', () => {
    const [one, other] = [new Gateway('a'), new Gateway('b')]
    one.see('plain-a')
    beat(one, other)
    beat(one, other)
    expect(one.exchange.messageFor('b')?.reports).toBeUndefined()
    expect(other.exchange.messageFor('a')?.reports).toBeUndefined()
  })

  test('pass on what they hear from others', () => {
    const [one, coordinator, third] = [new Gateway('a'), new Gateway('b'), new Gateway('c')]
    one.see('plain-a')
    beat(one, coordinator)
    beat(third, coordinator)
    expect([...third.known]).toEqual(['plain-a'])
  })

  test('tell a peer that restarted all again', () => {
    const [one, other] = [new Gateway('a'), new Gateway('b')]
    one.see('plain-a')
    beat(one, other)
    other.restart(1000)
    beat(one, other)
    beat(one, other)
    expect([...other.known]).toEqual(['plain-a'])
  })

  test('tell what a gateway learns after its restart, though its peer has seen more before', () => {
    const [one, other] = [new Gateway('a'), new Gateway('b')]
    for (const backend of ['plain-a', 'plain-b', 'plain-c'])
      one.see(backend)
    beat(one, other)
    one.restart(1000)
    one.see('plain-d')
    beat(other, one)
    expect(other.known.has('plain-d')).toBe(true)
  })

  test('ignore a form that they do not know', () => {
    const one = new Gateway('a')
    one.exchange.take('b', { later: 'form' })
    one.exchange.take('b', { sequence: 'two', seen: 0 })
    expect(one.exchange.messageFor('b')).toBeUndefined()
  })

  test('all know everything after some rounds, whatever was lost before', () => {
    const steps = fc.array(fc.record({
      sees: fc.option(fc.integer({ min: 0, max: 2 })),
      from: fc.integer({ min: 0, max: 2 }),
      to: fc.integer({ min: 0, max: 2 }),
      lost: fc.constantFrom(undefined, 'heartbeat' as const, 'answer' as const),
    }), { maxLength: 40 })
    fc.assert(fc.property(steps, (play) => {
      const gateways = ['a', 'b', 'c'].map(address => new Gateway(address))
      play.forEach(({ sees, from, to, lost }, number) => {
        if (sees !== null)
          gateways[sees].see(`plain-${number}`)
        if (from !== to)
          beat(gateways[from], gateways[to], lost)
      })
      for (let round = 0; round < 3; round++)
        [1, 2].forEach(index => beat(gateways[index], gateways[0]))
      expect(gateways[1].known).toEqual(gateways[0].known)
      expect(gateways[2].known).toEqual(gateways[0].known)
    }))
  })
})
