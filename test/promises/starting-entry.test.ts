/**
 * Guards against an entry that reports ready before its links to the sides are
 * established. During a planned replacement of all processes, a request was
 * answered with 503 "no backend server takes work for one of the stages" although
 * all backend servers were up: the entry had read the configuration and reported
 * ready, and the load balancer sent it a request before its links were
 * established. Readiness depended on the configuration alone. Of 12 requests
 * that were each sent to a restarted entry as soon as it was ready, 10 failed
 * this way.
 */
import { DeploymentName, ProcessKind, resolveDeployment, RunningSystem } from '@eidermast/stand-ins'
import { request } from 'undici'
import { afterAll, beforeAll, describe, expect, test } from 'vitest'
import { CallerRecord } from '../support/oracle.js'

const RESTARTS = 6
const DEADLINE = { 'eidermast-deadline-ms': '20000' }
/** Well above the startup time on a busy machine, so that only an entry that never becomes ready exceeds it. */
const READY_TIMEOUT_MS = 10_000

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

/** Restarts an entry and returns its URL as soon as it reports ready. */
async function restartUntilReady(name: string): Promise<string> {
  await system.end(name, 'SIGKILL')
  await system.restart(name)
  const url = system.find(name).url!
  const readyDeadline = Date.now() + READY_TIMEOUT_MS
  while (!await isReady(url)) {
    if (Date.now() > readyDeadline)
      throw new Error(`${name} did not become ready within ${READY_TIMEOUT_MS} ms`)
  }
  return url
}

describe('a starting entry', () => {
  test('serves the first request after it reports ready', async () => {
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

  test('becomes ready and serves requests while one side is frozen', async () => {
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
