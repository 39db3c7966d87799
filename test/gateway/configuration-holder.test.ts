import { ConfigurationHolder } from '@eidermast/gateway'
import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { createConfiguration, createLog } from './support/fakes.js'

const SEED = 20261202

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
