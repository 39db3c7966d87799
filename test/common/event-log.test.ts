import { closeSync, openSync } from 'node:fs'
import { DescriptorWriter, EventLog } from '@eidermast/common'
import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { LogPipe } from '../support/log-pipe.js'

describe('event log', () => {
  test('limits the rate of each event and logs how many lines were dropped', () => {
    const lines: string[] = []
    let now = 0
    const log = new EventLog({ write: line => lines.push(line) }, { process: 'p' }, 'eidermast:*', () => now)
    for (let index = 0; index < 1000; index++)
      log.write('route', { index })
    log.write('stop')
    expect(lines).toHaveLength(201)
    now = 1500
    log.write('route')
    expect(JSON.parse(lines.at(-2)!)).toMatchObject({ event: 'log-rate-limited', limited: 'route', count: 800 })
  })

  test('writes only events whose namespace is enabled', () => {
    const lines: string[] = []
    const log = new EventLog({ write: line => lines.push(line) }, {}, 'eidermast:*,-eidermast:route')
    log.write('route')
    log.write('stop')
    expect(lines).toHaveLength(1)
  })
})

// Guards against lines that were lost without being counted because a write to a full pipe failed.
describe('a writer to a pipe that is full', () => {
  let pipe: LogPipe

  beforeEach(() => {
    pipe = new LogPipe()
    pipe.fill()
  })

  afterEach(() => pipe.close())

  function readLines(): string[] {
    return pipe.read().split('\n').filter(line => line !== '')
  }

  test('writes all lines in order once the pipe is read', async () => {
    const writer = new DescriptorWriter(pipe.writeEnd)
    const lines = Array.from({ length: 100 }, (_, index) => `line ${index}`)
    lines.forEach(line => writer.write(line))
    expect(readLines()).toEqual([])
    await expect.poll(readLines).toEqual(lines)
  })

  test('flushes within the timeout if the pipe is read', async () => {
    const writer = new DescriptorWriter(pipe.writeEnd)
    writer.write('line')
    const flushed = writer.flush(10_000)
    pipe.read()
    await flushed
    expect(readLines()).toEqual(['line'])
  })

  test('stops waiting after the timeout, but still writes the line once the pipe is read', async () => {
    const writer = new DescriptorWriter(pipe.writeEnd)
    writer.write('line')
    await writer.flush(50)
    expect(readLines()).toEqual([])
    await expect.poll(readLines).toEqual(['line'])
  })

  test('counts the lines that exceed its buffer, also in the last flush', async () => {
    const writer = new DescriptorWriter(pipe.writeEnd, 10)
    for (let index = 0; index < 5; index++)
      writer.write('ten chars')
    pipe.read()
    await writer.flush(10_000)
    expect(readLines()).toEqual(['ten chars', 'ten chars', '{"event":"log-lines-dropped","count":3}'])
  })

  test('does not wait for a write that fails', async () => {
    const readOnly = openSync('/dev/null', 'r')
    const writer = new DescriptorWriter(readOnly)
    writer.write('line')
    const startedAt = performance.now()
    await writer.flush(10_000)
    closeSync(readOnly)
    expect(performance.now() - startedAt).toBeLessThan(5000)
  })
})
