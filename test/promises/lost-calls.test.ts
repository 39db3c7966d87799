import type { CallerAnswer } from '../support/caller.js'
import { setTimeout as delay } from 'node:timers/promises'
import { Ran } from '@eidermast/common'
import { MemberState } from '@eidermast/daemon'
import { DeploymentName, ProcessKind, resolveDeployment, RunningSystem } from '@eidermast/stand-ins'
import { afterAll, afterEach, beforeAll, describe, expect, test } from 'vitest'
import { runsOf, smallAnswer } from '../support/caller.js'
import { CallerRecord } from '../support/oracle.js'

const PIPELINE = 'rider-answer'
const LONG_DEADLINE = { 'eidermast-deadline-ms': '20000' }
/** Factor that makes a stage call run until its side is killed. */
const ENDLESS = { slowFactor: 1000 }

let system: RunningSystem

beforeAll(async () => {
  system = await RunningSystem.launch({ deployment: resolveDeployment(DeploymentName.Small) })
})

afterEach(() => system.recover(), 30_000)

afterAll(() => system.stop())

/** Freezes a side and waits until the first entry sends it no more calls. */
async function freeze(side: string): Promise<void> {
  system.signal(side, 'SIGSTOP')
  const stateOf = async (): Promise<string | undefined> =>
    (await system.entryStatus('entry-1'))?.detail.find(line => line.subject === side)?.text
  await expect.poll(stateOf, { timeout: 10_000 }).toBe(MemberState.Silent)
}

/** Slows the backend server behind a side. */
async function slowDown(side: string): Promise<void> {
  const backend = system.list(ProcessKind.Backend).find(({ name }) => name.startsWith(side))!
  await system.setFaults(backend.url!, ENDLESS)
}

/** Sends a request to the first entry; `isRunning` tells whether its first stage has started. */
function send(record: CallerRecord): { answer: Promise<CallerAnswer | undefined>, isRunning: () => boolean, input: string } {
  const sent = record.begin(PIPELINE, `question ${record.requests.length}`, false)
  const answer = record.send(sent, system.entryUrls[0], LONG_DEADLINE)
  return { answer, isRunning: () => runsOf(system, sent.requestId).length > 0, input: sent.input }
}

describe('a repeatable request whose stage call is lost while the only other backend server does not respond', () => {
  // Guards against requests that ended as unknown within milliseconds although a backend server returned shortly afterwards.
  test('is served by the other one if it returns within the time that a stage waits', async () => {
    await freeze('encoder-1')
    await slowDown('encoder-2')
    const record = new CallerRecord()
    const { answer, isRunning, input } = send(record)
    await expect.poll(isRunning, { timeout: 10_000 }).toBe(true)
    await system.end('encoder-2', 'SIGKILL')
    await delay(500)
    system.signal('encoder-1', 'SIGCONT')
    expect(await answer).toMatchObject({ status: 200, output: smallAnswer(PIPELINE, input) })
    expect(record.violations(system)).toEqual([])
  })

  test('is answered that its outcome is unknown, long before its deadline, if the other one does not return', async () => {
    await freeze('encoder-1')
    await slowDown('encoder-2')
    const record = new CallerRecord()
    const { answer, isRunning } = send(record)
    await expect.poll(isRunning, { timeout: 10_000 }).toBe(true)
    const lostAt = performance.now()
    await system.end('encoder-2', 'SIGKILL')
    expect((await answer)?.ran).toBe(Ran.Unknown)
    expect(performance.now() - lostAt).toBeLessThan(10_000)
    expect(record.violations(system)).toEqual([])
  })
})

describe('a request that arrives just after its only backend server has been killed', () => {
  // Guards against calls that were never written to a closed connection but made the answer say that the request may have run.
  test.each([1, 2])('is answered that nothing ran (play %i)', async () => {
    await freeze('encoder-1')
    const record = new CallerRecord()
    // The entry reads the end of the connection and the request together when it goes on.
    system.signal('entry-1', 'SIGSTOP')
    await system.end('encoder-2', 'SIGKILL')
    const { answer } = send(record)
    await delay(50)
    system.signal('entry-1', 'SIGCONT')
    expect((await answer)?.ran).toBe(Ran.None)
    expect(record.violations(system)).toEqual([])
  })
})
