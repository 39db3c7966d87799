import type { CallerAnswer } from '../support/caller.js'
import { setTimeout as delay } from 'node:timers/promises'
import { Ran } from '@eidermast/common'
import { MemberState } from '@eidermast/daemon'
import { DeploymentName, resolveDeployment, RunningSystem } from '@eidermast/stand-ins'
import { afterAll, afterEach, beforeAll, describe, expect, test } from 'vitest'
import { CallerRecord } from '../support/oracle.js'

const PIPELINE = 'rider-answer'
const LONG_DEADLINE = { 'eidermast-deadline-ms': '20000' }

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

/** Sends a request to the first entry. */
function send(record: CallerRecord): Promise<CallerAnswer | undefined> {
  return record.send(record.begin(PIPELINE, 'question', false), system.entryUrls[0], LONG_DEADLINE)
}

describe('a request that arrives just after its only backend server has been killed', () => {
  // Guards against calls that were never written to a closed connection but made the answer say that the request may have run.
  test.each([1, 2])('is answered that nothing ran (play %i)', async () => {
    await freeze('encoder-1')
    const record = new CallerRecord()
    // The entry reads the end of the connection and the request together when it goes on.
    system.signal('entry-1', 'SIGSTOP')
    await system.end('encoder-2', 'SIGKILL')
    const answer = send(record)
    await delay(50)
    system.signal('entry-1', 'SIGCONT')
    expect((await answer)?.ran).toBe(Ran.None)
    expect(record.violations(system)).toEqual([])
  })
})
