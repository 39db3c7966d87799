import { ConfigurationHolder } from '@eidermast/gateway'
import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { createConfiguration, createLog } from './support/fakes.js'

const SEED = 20261202

describe('the age of the configuration in force', () => {
  test.each([
    { title: 'counts from the newest time at which it was known', own: [100, 60], peer: undefined, ageMs: 900 },
    { title: 'counts from what a peer with the same version knows', own: [100], peer: { version: 3, ageMs: 200 }, ageMs: 200 },
    { title: 'does not count what a peer with an older version knows', own: [100], peer: { version: 2, ageMs: 200 }, ageMs: 900 },
    { title: 'does not count a peer that says nothing of it', own: [100], peer: { version: 3, ageMs: undefined }, ageMs: 900 },
    { title: 'is unlimited before it is known', own: [], peer: undefined, ageMs: Number.POSITIVE_INFINITY },
  ])('$title', ({ own, peer, ageMs }) => {
    const holder = new ConfigurationHolder(() => createConfiguration({ version: 3 }), createLog().log)
    holder.offer('', 'store')
    own.forEach(asOf => holder.noteUpToDate(asOf))
    if (peer)
      holder.notePeerAge(peer.version, peer.ageMs, 1000)
    expect(holder.ageMs(1000)).toBe(ageMs)
  })
})

describe('the configuration version in force', () => {
  test('only increases, regardless of order and source', () => {
    const decode = (text: string) => createConfiguration({ version: Number(text) })
    fc.assert(fc.property(fc.array(fc.nat(30), { minLength: 1 }), (versions) => {
      const holder = new ConfigurationHolder(decode, createLog().log)
      let highest = 0
      for (const version of versions) {
        holder.offer(String(version), 'any')
        highest = Math.max(highest, version)
        expect(holder.version).toBe(highest)
      }
    }), { seed: SEED })
  })

  test('stays in force when an invalid configuration is received, which is logged', () => {
    const { log, lines } = createLog()
    const holder = new ConfigurationHolder((text) => {
      if (text === 'bad')
        throw new Error('no version')
      return createConfiguration({ version: 1 })
    }, log)
    holder.offer('good', 'store')
    expect(holder.offer('bad', 'store')).toBe(false)
    expect(holder.version).toBe(1)
    expect(lines.at(-1)).toMatchObject({ event: 'configuration-rejected', error: 'no version' })
  })
})
