import type { LogFields } from '@eidermast/common'
import type { Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { once } from 'node:events'
import { connect } from 'node:net'
import { text } from 'node:stream/consumers'
import { acceptsMore, ClientDuty, closeForMemory, closeOverdue, CloseReason, createGuardedServer, findSliceEnd, MemoryPool, takeUntilClosed, wait } from '@eidermast/common'
import { afterEach, describe, expect, test } from 'vitest'

/** A refused client is disconnected after some seconds. */
const CLOSED_WITHIN_MS = 10_000
const HEAD = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n'

describe('the decision about a connection', () => {
  test.each([
    ['the first request', 0, true, true],
    ['a further request while memory is left', 1, false, true],
    ['a further request without memory', 1, true, false],
    ['more requests than are handled at a time', 8, false, false],
  ])('accepts %s with %i unanswered (memory full: %s): %s', (_name, unanswered, isMemoryFull, accepted) => {
    expect(acceptsMore({ unanswered, isMemoryFull })).toBe(accepted)
  })

  test.each([
    ['while memory is left', { headBytes: 1, aheadBytes: 1, sharedBytes: 1, isMemoryFull: false }, undefined],
    ['that takes its own part only', { headBytes: 1, aheadBytes: 1, sharedBytes: 0, isMemoryFull: true }, undefined],
    ['whose head takes more', { headBytes: 1, aheadBytes: 0, sharedBytes: 1, isMemoryFull: true }, CloseReason.HeadTooCostly],
    ['whose client sent more ahead', { headBytes: 0, aheadBytes: 1, sharedBytes: 1, isMemoryFull: true }, CloseReason.SentTooMuchAhead],
    ['whose requests take more', { headBytes: 0, aheadBytes: 0, sharedBytes: 1, isMemoryFull: true }, undefined],
  ])('about a connection %s', (_name, memory, reason) => {
    expect(closeForMemory(memory)).toBe(reason)
  })

  test.each([
    [ClientDuty.None, 60_000, undefined],
    [ClientDuty.Read, 9999, undefined],
    [ClientDuty.Read, 10_000, CloseReason.AnswerUnread],
    [ClientDuty.EndBody, 4999, undefined],
    [ClientDuty.EndBody, 5000, CloseReason.BodyUnfinished],
    [ClientDuty.Close, 1999, undefined],
    [ClientDuty.Close, 2000, CloseReason.NotClosed],
  ])('about a client with duty %i for %i ms', (duty, overdueMs, reason) => {
    expect(closeOverdue(duty, overdueMs)).toBe(reason)
  })
})

test.each([
  ['the end of a body', 100, 1000],
  ['the end of a chunk that is part of a body', 5000, 2000],
])('a slice ends at %s, whatever it contains', (_name, remainingBytes, end) => {
  expect(findSliceEnd(Buffer.from('x\n\n\n'.repeat(500)), 900, remainingBytes)).toBe(end)
})

test.each([
  ['the end of a short chunk', 'x'.repeat(300), 0, 300],
  ['a blank line', `${'x'.repeat(300)}\r\n\r\n${'x'.repeat(300)}`, 0, 304],
  ['a blank line of line feeds', `${'x'.repeat(300)}\n\n${'x'.repeat(300)}`, 0, 302],
  ['the earlier of two blank lines', `${'x'.repeat(300)}\n\nxx\r\n\r\n`, 0, 302],
  ['the first blank line that is not too near', `${'x\n\n'.repeat(200)}`, 30, 288],
  ['the largest slice', 'x'.repeat(10_000), 100, 4196],
])('a slice ends at %s', (_name, text, start, end) => {
  expect(findSliceEnd(Buffer.from(text), start)).toBe(end)
})

describe('a guarded server', () => {
  const open: ServerResponse[] = []
  const sockets: Socket[] = []
  let logged: LogFields[] = []
  const counts = new Map<CloseReason, number>()
  let server: Server

  afterEach(() => {
    sockets.splice(0).forEach(socket => socket.destroy())
    open.splice(0)
    server.closeAllConnections()
    server.close()
  })

  /** Starts a server that answers nothing by itself. */
  async function start(maxConnections: number, pool = new MemoryPool(1_000_000)): Promise<MemoryPool> {
    logged = []
    counts.clear()
    const guarded = createGuardedServer({}, { maxConnections, pool, metrics: { countConnectionsClosed: (reason, count) => void (counts.set(reason, (counts.get(reason) ?? 0) + count)) } }, (event, fields) => void logged.push({ event, ...fields }))
    server = guarded.server
    server.on('request', (_message, response) => void open.push(response))
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    return pool
  }

  async function connectAndSend(text: string): Promise<Socket> {
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
    sockets.push(socket)
    socket.on('error', () => {})
    await once(socket, 'connect')
    socket.write(text)
    return socket
  }

  test('handles a few requests of a connection at a time, and all of them in the end', async () => {
    await start(10)
    await connectAndSend(HEAD.repeat(100))
    await expect.poll(() => open.length).toBeGreaterThanOrEqual(8)
    const highest = open.length
    expect(highest).toBeLessThan(30)
    for (let answered = 0; answered < 100; answered++) {
      await expect.poll(() => open.length).toBeGreaterThan(answered)
      open[answered].end()
      expect(open.length - answered).toBeLessThan(30)
    }
  })

  test('gives the place of the longest idle connection to a new one', async () => {
    await start(2)
    const [idle, busy] = [await connectAndSend(''), await connectAndSend(HEAD)]
    await expect.poll(() => open.length).toBe(1)
    const closed = once(idle, 'close')
    await connectAndSend(HEAD)
    await closed
    await expect.poll(() => open.length).toBe(2)
    expect(busy.destroyed).toBe(false)
    await expect.poll(() => logged).toContainEqual(expect.objectContaining({ event: 'connections-closed', reason: CloseReason.IdleAtLimit, count: 1 }))
    expect(counts).toEqual(new Map([[CloseReason.IdleAtLimit, 1]]))
  })

  test('does not accept a connection if all others have requests', async () => {
    await start(1)
    await connectAndSend(HEAD)
    await expect.poll(() => open.length).toBe(1)
    const refused = await connectAndSend(HEAD)
    await once(refused, 'close')
    expect(open).toHaveLength(1)
  })

  test('refuses a head that takes more memory than is left, and says that nothing of it ran', async () => {
    const pool = await start(10, new MemoryPool(100_000))
    const socket = await connectAndSend(`GET / HTTP/1.1\r\nHost: a\r\n${'a:b\r\n'.repeat(2000)}`)
    const [answer] = await once(socket, 'data')
    expect(String(answer)).toMatch(/^HTTP\/1.1 503 [\s\S]*Retry-After: 1/)
    expect(open).toHaveLength(0)
    await expect.poll(() => pool.takenBytes, { timeout: CLOSED_WITHIN_MS }).toBe(0)
  })

  test('gives back all memory once requests are answered or their connections closed', async () => {
    const pool = await start(10)
    const socket = await connectAndSend(`GET / HTTP/1.1\r\nHost: a\r\n${'a:b\r\n'.repeat(500)}\r\n`)
    await connectAndSend(`GET / HTTP/1.1\r\nHost: a\r\n${'a:b\r\n'.repeat(500)}\r\n`)
    await expect.poll(() => open.length).toBe(2)
    expect(pool.takenBytes).toBeGreaterThan(0)
    open[0].end()
    sockets[1].destroy()
    await expect.poll(() => pool.takenBytes).toBe(0)
    expect(socket.destroyed).toBe(false)
  })

  test.each([
    ['by length', 'Content-Length: 9', ['a body', ' of']],
    ['in chunks', 'Transfer-Encoding: chunked', ['6', '\r\na body', '\r\n3\r\n', ' of\r\n', '0\r\n\r\n']],
  ])('reads the body of a request %s to its end while no memory is left', async (_name, line, parts) => {
    const pool = await start(10, new MemoryPool(1000))
    pool.take(2000)
    const bodies: string[] = []
    server.on('request', async message => bodies.push(await text(message)))
    const socket = await connectAndSend(`POST / HTTP/1.1\r\nHost: a\r\n${line}\r\n\r\n`)
    for (const part of parts) {
      await wait(20)
      socket.write(part)
    }
    await expect.poll(() => bodies).toEqual(['a body of'])
  })

  test('ends answers that had no turn when their connection closes, with the memory of their bodies', async () => {
    await start(10)
    const bodies = new MemoryPool(1_000_000)
    server.on('request', (_message, response) => takeUntilClosed(bodies, response)(1000))
    const socket = await connectAndSend(HEAD.repeat(4))
    await expect.poll(() => open.length).toBe(4)
    expect(bodies.takenBytes).toBe(4000)
    socket.destroy()
    await expect.poll(() => bodies.takenBytes).toBe(0)
    expect(open.map(response => response.destroyed)).toEqual([true, true, true, true])
  })

  test('reports the end of a connection whose last request waits', async () => {
    await start(10)
    const socket = await connectAndSend(HEAD.repeat(12))
    socket.end()
    for (let answered = 0; answered < 12; answered++) {
      await expect.poll(() => open.length).toBeGreaterThan(answered)
      open[answered].end()
    }
    await once(socket.resume(), 'close')
  })
})
