import { EventSplitter } from '@eidermast/gateway'
import fc from 'fast-check'
import { describe, expect, test } from 'vitest'

const SEED = 20261202

describe('the event splitter', () => {
  test('finds the same events however the bytes are chunked', () => {
    const event = fc.record({ id: fc.nat(99), data: fc.stringMatching(/^[a-z ]{0,20}$/), ending: fc.constantFrom('\n\n', '\r\n\r\n') })
    const cuts = fc.array(fc.integer({ min: 1, max: 30 }), { minLength: 1 })
    fc.assert(fc.property(fc.array(event, { maxLength: 8 }), cuts, (events, sizes) => {
      const texts = events.map(({ id, data, ending }) => `id: ${id}${ending.slice(0, ending.length / 2)}data: ${data}${ending}`)
      const bytes = Buffer.from(texts.join(''))
      const splitter = new EventSplitter()
      const found: string[] = []
      const ids: (string | undefined)[] = []
      for (let start = 0, step = 0; start < bytes.length; start += sizes[step % sizes.length], step++) {
        for (const { bytes: whole, id } of splitter.push(bytes.subarray(start, start + sizes[step % sizes.length]))) {
          found.push(whole.toString())
          ids.push(id)
        }
      }
      expect(found).toEqual(texts)
      expect(ids).toEqual(events.map(({ id }) => String(id)))
      expect(splitter.hasPartial).toBe(false)
    }), { seed: SEED, numRuns: 300 })
  })

  test('buffers an incomplete event', () => {
    const splitter = new EventSplitter()
    expect(splitter.push(Buffer.from('id: 1\ndata: x\n\nid: 2\nda'))).toHaveLength(1)
    expect(splitter.partial.toString()).toBe('id: 2\nda')
  })
})
