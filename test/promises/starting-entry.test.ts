/**
 * What users saw: during a planned replacement of every process, one request
 * was answered 503 "no backend server takes work for one of the stages", while
 * all of them served.
 * Order of events: an entry is replaced; it reads the configuration and says
 * that it is ready; the balancer sends it a request; only then do its links to
 * the sides stand.
 * Cause: readiness asked for the configuration alone.
 * Evidence: of 12 requests sent to a restarted entry as soon as it was ready,
 * 10 got that answer.
 */
import { DeploymentName, ProcessKind, resolveDeployment, RunningSystem } from '@eidermast/stand-ins'
import { request } from 'undici'
import { afterAll, beforeAll, describe, expect, test } from 'vitest'
import { CallerRecord } from '../support/oracle.js'

const RESTARTS = 6
const DEADLINE = { 'eidermast-deadline-ms': '20000' }
/** Milliseconds, far above a start beside busy processes, below any wait without an end. */
const READY_WITHIN_MS = 10_000

let system: RunningSystem
const record = new CallerRecord()

beforeAll(async () => {
  system = await RunningSystem.launch({ deployment: resolveDeployment(DeploymentName.Small) })
})

afterAll(() => system.stop())

async function isReady(url: string): Promise<boolean> {
  const response = await request(`${url}/readyz`, { reset: true })
  await response.body.dump()
  return response.statusCode === 200
}

/** Restarts an entry and returns its URL as soon as it says that it is ready. */
async function restartUntilReady(name: string): Promise<string> {
  await system.end(name, 'SIGKILL')
  await system.restart(name)
  const url = system.find(name).url!
  const latest = Date.now() + READY_WITHIN_MS
  while (!await isReady(url)) {
    if (Date.now() > latest)
      throw new Error(`${name} is not ready after ${READY_WITHIN_MS} ms`)
  }
  return url
}

describe('an entry that starts', () => {
  test('serves the first request that comes after it is ready', async () => {
    const { name } = system.list(ProcessKind.Entry)[0]
    const statuses: (number | undefined)[] = []
    for (let restart = 0; restart < RESTARTS; restart++) {
      const url = await restartUntilReady(name)
      const sent = record.begin('rider-answer', `first after restart ${restart}`, false)
      const answer = await record.send(sent, url, DEADLINE)
      statuses.push(answer?.status)
    }
    expect(statuses).toEqual(Array.from({ length: RESTARTS }, () => 200))
    expect(record.violations(system)).toEqual([])
  }, 90_000)

  test('becomes ready and serves although one side is frozen', async () => {
    const { name } = system.list(ProcessKind.Entry)[0]
    const frozen = system.list(ProcessKind.Side)[0].name
    system.signal(frozen, 'SIGSTOP')
    const url = await restartUntilReady(name)
    const sent = record.begin('rider-answer', 'beside a frozen side', false)
    const answer = await record.send(sent, url, DEADLINE)
    system.signal(frozen, 'SIGCONT')
    expect(answer?.status).toBe(200)
  }, 60_000)
})
