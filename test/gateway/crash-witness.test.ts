import type { Backend } from '@eidermast/gateway'
import type { AddressInfo } from 'node:net'
import { createServer } from 'node:net'
import { wait } from '@eidermast/common'
import { checkByConnection, CrashWitness, GatewayLog, Presence } from '@eidermast/gateway'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { createBackend, createLog } from './support/fakes.js'

/** Milliseconds after which the witness has asked and has its answers. */
const ASKED_MS = 50

/** A witness whose questions get these answers, the last one for ever. */
function createWitness(...answers: Presence[]) {
  const { log, lines } = createLog()
  const checkPresence = vi.fn(async (_backend: Backend) => answers.length > 1 ? answers.shift()! : answers[0])
  const onCrash = vi.fn()
  const witness = new CrashWitness({ checkPresence, log: new GatewayLog(log), onCrash })
  return { witness, checkPresence, onCrash, lines }
}

describe('calls that broke', () => {
  beforeEach(() => void vi.useFakeTimers())
  afterEach(() => void vi.useRealTimers())

  test('lead to one question for each backend server, and one line with all their requests', async () => {
    const { witness, checkPresence, lines } = createWitness(Presence.Gone)
    const backend = createBackend({ id: 'plain-a' })
    for (const fingerprint of ['first', 'second', 'first'])
      void witness.noteBroken(backend, fingerprint)
    await vi.advanceTimersByTimeAsync(ASKED_MS)
    expect(checkPresence).toHaveBeenCalledTimes(1)
    expect(lines).toMatchObject([{ event: 'backend-checked', backend: 'plain-a', presence: 'gone', fingerprints: 'first,second' }])
  })

  test('lead to a new question later', async () => {
    const { witness, checkPresence } = createWitness(Presence.Present)
    const backend = createBackend({ id: 'plain-a' })
    void witness.noteBroken(backend, 'first')
    await vi.advanceTimersByTimeAsync(ASKED_MS)
    void witness.noteBroken(backend, 'first')
    await vi.advanceTimersByTimeAsync(ASKED_MS)
    expect(checkPresence).toHaveBeenCalledTimes(2)
  })

  test.each([
    ['until it says whether the process is there', [Presence.Unknown, Presence.Gone], 'gone'],
    ['three times at most', [Presence.Unknown], 'unknown'],
  ])('lead to further questions where the VM does not answer, %s', async (_until, answers, presence) => {
    const { witness, lines } = createWitness(...answers)
    void witness.noteBroken(createBackend({ id: 'plain-a' }), 'first')
    await vi.advanceTimersByTimeAsync(ASKED_MS)
    expect(lines).toMatchObject([{ presence }])
  })
})

describe('the question whether a process is there', () => {
  test('is answered by a connection that it accepts or refuses', async () => {
    const server = createServer(socket => socket.destroy())
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    const backend = createBackend({ address: `127.0.0.1:${(server.address() as AddressInfo).port}` })
    expect(await checkByConnection(backend)).toBe(Presence.Present)
    await new Promise(resolve => server.close(resolve))
    await wait(10)
    expect(await checkByConnection(backend)).toBe(Presence.Gone)
  })
})
