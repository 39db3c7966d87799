import { Buffer } from 'node:buffer'
import { Readable } from 'node:stream'
import { readLimitedLines } from '@eidermast/common'
import { describe, expect, test } from 'vitest'

async function readAll(parts: readonly string[], maxBytes = 100): Promise<string[]> {
  const lines: string[] = []
  for await (const line of readLimitedLines(Readable.from(parts.map(part => Buffer.from(part))), maxBytes))
    lines.push(line)
  return lines
}

describe('the lines of a body', () => {
  test.each([
    { title: 'come whole from one part', parts: ['one\ntwo\n'], lines: ['one', 'two'] },
    { title: 'come whole from several parts', parts: ['o', 'ne\nt', 'wo', '\n'], lines: ['one', 'two'] },
    { title: 'keep characters that are split between parts', parts: ['é\n'], lines: ['é'] },
    { title: 'may be empty', parts: ['\n\none\n'], lines: ['', '', 'one'] },
    { title: 'end with the body', parts: ['one\ntw', 'o'], lines: ['one', 'two'] },
    { title: 'are none without bytes', parts: [], lines: [] },
  ])('$title', async ({ parts, lines }) => {
    expect(await readAll(parts)).toEqual(lines)
  })

  test('keep characters of which each part holds a byte', async () => {
    const bytes = [...Buffer.from('é\n')].map(byte => Buffer.from([byte]))
    const lines: string[] = []
    for await (const line of readLimitedLines(Readable.from(bytes), 100))
      lines.push(line)
    expect(lines).toEqual(['é'])
  })

  test('are not passed on beyond the limit', async () => {
    await expect(readAll(['one\n', 'x'.repeat(60), 'x'.repeat(60)])).rejects.toThrow('exceeds the limit of 100 bytes')
  })
})
