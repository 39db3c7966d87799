import type { RecordedRequest } from '../support/oracle.js'
import { ErrorKind, Ran, wait } from '@eidermast/common'
import { callPeer, CallState, connectEntry } from '@eidermast/daemon'
import { DeploymentName, LogOutage, resolveDeployment, RunningSystem } from '@eidermast/stand-ins'
import { request } from 'undici'
import { afterAll, afterEach, beforeAll, beforeEach, describe, expect, test } from 'vitest'
import { callPipeline, DEFAULT_ACCOUNT, runsOf, smallAnswer } from '../support/caller.js'
import { CallerRecord } from '../support/oracle.js'

const PIPELINE = 'departure-alert'
/** Long enough for every fault to be placed and seen. */
const LONG_DEADLINE = { 'eidermast-deadline-ms': '8000' }
const STAGE_SERVICES = { encode: 'encoder', retrieve: 'retriever', rerank: 'reranker', generate: 'language-model' }
/** On a machine that is overloaded the log takes more than the default of a second, and claims fail that these tests need. */
const PATIENT_WITH_LOG = { 'log-timeout-ms': '3000' }
const STAGES = Object.keys(STAGE_SERVICES) as (keyof typeof STAGE_SERVICES)[]

let system: RunningSystem
let record: CallerRecord

beforeAll(async () => {
  const small = resolveDeployment(DeploymentName.Small)
  system = await RunningSystem.launch({ deployment: { ...small, entries: 3 }, platformSettings: PATIENT_WITH_LOG })
})

beforeEach(() => {
  record = new CallerRecord()
})

afterEach(() => system.recover(), 20_000)

afterAll(() => system.stop())

function begin(): RecordedRequest {
  return record.begin(PIPELINE, `alert ${record.requests.length}`, true)
}

/** Waits until a stage of a request runs and returns the backend server's name. */
async function waitForRun(requestId: string, stage: string): Promise<void> {
  await expect.poll(() => [...system.countRuns().keys()].some(key => key.endsWith(`/${requestId}/${stage}`)), { timeout: 10_000, interval: 10 }).toBe(true)
}

/** Which side runs a request's stage, as the first entry decided. */
async function findSide(requestId: string, stage: string): Promise<string> {
  const opened = (await connectEntry({ address: system.find('entry-1').peer!, key: system.key })).unwrap()
  const explained = await callPeer(opened, client => client.explain.query({ requestId }))
  opened.close()
  const decisions = explained.state === CallState.Answered ? explained.value : []
  return String(decisions.findLast(decision => decision.event === 'choose' && decision.fields.stage === stage)?.fields.chosen)
}

async function issueTicket(entryUrl: string): Promise<{ requestId: string, ticket: string }> {
  const response = await request(`${entryUrl}/v1/tickets`, { method: 'POST', headers: { 'eidermast-account': DEFAULT_ACCOUNT } })
  return await response.body.json() as { requestId: string, ticket: string }
}

describe('an unrepeatable request under its caller\'s id', () => {
  test('runs once when two and three entries get it at once, and all give the one answer', async () => {
    const requests = Array.from({ length: 12 }, begin)
    await Promise.all(requests.flatMap((sent, index) => system.entryUrls.slice(0, 2 + index % 2).map(url => record.send(sent, url, LONG_DEADLINE))))
    expect(record.violations(system)).toEqual([])
    for (const { answers, input } of requests)
      expect(answers.map(answer => answer.output)).toEqual(answers.map(() => smallAnswer(PIPELINE, input)))
  })

  test('gets the same answer when it is sent again, to the same entry or another', async () => {
    const sent = begin()
    for (const url of [...system.entryUrls, ...system.entryUrls])
      await record.send(sent, url)
    expect(sent.answers.map(answer => answer.output)).toEqual(sent.answers.map(() => smallAnswer(PIPELINE, sent.input)))
    expect(record.violations(system)).toEqual([])
  })

  test('is not answered with another request\'s result when its id was used for that at another entry', async () => {
    const sent = begin()
    await record.send(sent, system.entryUrls[0], LONG_DEADLINE)
    const other = await callPipeline({
      entryUrl: system.entryUrls[1],
      pipeline: PIPELINE,
      input: 'another alert',
      requestId: sent.requestId,
      headers: LONG_DEADLINE,
    })
    expect(other).toMatchObject({ status: 409, kind: ErrorKind.RequestIdReused })
    expect(record.violations(system)).toEqual([])
  })

  test.each(STAGES)('runs at most once when its entry is killed while stage %s runs and it is sent again', async (stage) => {
    await system.setServiceFaults(STAGE_SERVICES[stage], { slowFactor: 60 })
    const sent = begin()
    const first = record.send(sent, system.entryUrls[0], LONG_DEADLINE)
    await waitForRun(sent.requestId, stage)
    await system.end('entry-1', 'SIGKILL')
    await first
    const again = await record.send(sent, system.entryUrls[1], LONG_DEADLINE)
    expect(again?.ran ?? Ran.Unknown).toBe(Ran.Unknown)
    expect(record.violations(system)).toEqual([])
  })

  test('is answered whole from the last stage\'s side when its entry is killed after it ran', async () => {
    await system.setServiceFaults('language-model', { slowFactor: 4 })
    const sent = begin()
    const first = record.send(sent, system.entryUrls[0], LONG_DEADLINE)
    await waitForRun(sent.requestId, 'generate')
    await system.end('entry-1', 'SIGKILL')
    await first
    const output = async () => (await record.send(sent, system.entryUrls[1], LONG_DEADLINE))?.output
    await expect.poll(output, { timeout: 10_000 }).toBe(smallAnswer(PIPELINE, sent.input))
    expect(record.violations(system)).toEqual([])
  })

  test('runs at most once when its entry is frozen, it is sent again, and the entry wakes', async () => {
    await system.setServiceFaults('reranker', { slowFactor: 60 })
    const sent = begin()
    const first = record.send(sent, system.entryUrls[0], LONG_DEADLINE)
    await waitForRun(sent.requestId, 'rerank')
    system.signal('entry-1', 'SIGSTOP')
    await record.send(sent, system.entryUrls[1], { 'eidermast-deadline-ms': '1500' })
    system.signal('entry-1', 'SIGCONT')
    await first
    await record.send(sent, system.entryUrls[2], LONG_DEADLINE)
    expect(record.violations(system)).toEqual([])
  })

  test('runs at most once when its claim waits on the log and its entry is frozen meanwhile', async () => {
    await system.setFaults(system.logServiceUrl, { delayMs: 400 })
    const sent = begin()
    const first = record.send(sent, system.entryUrls[0], LONG_DEADLINE)
    await wait(100)
    system.signal('entry-1', 'SIGSTOP')
    const second = record.send(sent, system.entryUrls[1], LONG_DEADLINE)
    await wait(1200)
    system.signal('entry-1', 'SIGCONT')
    await Promise.all([first, second])
    expect(record.violations(system)).toEqual([])
  })

  test('is not run again by an entry that was replaced', async () => {
    const sent = begin()
    await record.send(sent, system.entryUrls[0], LONG_DEADLINE)
    await system.end('entry-1', 'SIGKILL')
    await system.restart('entry-1')
    await system.waitUntilReady()
    const again = await record.send(sent, system.entryUrls[0], LONG_DEADLINE)
    expect(again?.ran ?? Ran.Unknown).toBe(Ran.Unknown)
    expect(record.violations(system)).toEqual([])
  })

  test('runs in spite of a lost acknowledgement of its claim', async () => {
    await system.setFaults(system.logServiceUrl, { dropAcknowledgements: 1 })
    const sent = begin()
    expect(await record.send(sent, system.entryUrls[0], LONG_DEADLINE)).toMatchObject({ status: 200 })
    expect(record.violations(system)).toEqual([])
  })

  test.each([
    ['refuses', { outage: LogOutage.Refuse }],
    ['hangs', { outage: LogOutage.Hang }],
    ['refuses for its rate', { refuseAppends: true }],
  ])('is answered at once that nothing ran, with a time to retry, while the log %s', async (_name, faults) => {
    await system.setFaults(system.logServiceUrl, faults)
    const sent = begin()
    const answer = await record.send(sent, system.entryUrls[0], LONG_DEADLINE)
    expect(answer).toMatchObject({ kind: ErrorKind.LogUnavailable, ran: Ran.None })
    expect(answer?.retryAfterMs).toBeGreaterThan(0)
    expect(record.violations(system)).toEqual([])
    await system.setFaults(system.logServiceUrl, {})
    const retry = async () => (await record.send(sent, system.entryUrls[1], LONG_DEADLINE))?.status
    await expect.poll(retry, { timeout: 15_000, interval: 300 }).toBe(200)
    expect(record.violations(system)).toEqual([])
  })

  test('is answered that nothing ran while the log refuses, also if another entry answers half a second late', async () => {
    await system.setFaults(system.logServiceUrl, { outage: LogOutage.Refuse })
    system.signal('entry-2', 'SIGSTOP')
    setTimeout(() => system.signal('entry-2', 'SIGCONT'), 500)
    const answer = await record.send(begin(), system.entryUrls[0], LONG_DEADLINE)
    expect(answer).toMatchObject({ kind: ErrorKind.LogUnavailable, ran: Ran.None })
  })

  test('is never answered that nothing ran while the log is out, when its entry ran it and was killed', async () => {
    const sent = begin()
    await record.send(sent, system.entryUrls[0], LONG_DEADLINE)
    await system.end('entry-1', 'SIGKILL')
    await system.setFaults(system.logServiceUrl, { outage: LogOutage.Refuse })
    const again = await record.send(sent, system.entryUrls[1], LONG_DEADLINE)
    expect(again?.ran ?? Ran.Unknown).toBe(Ran.Unknown)
    expect(record.violations(system)).toEqual([])
  })

  test('is never answered that nothing ran while the log is out and an entry cannot be asked', async () => {
    system.signal('entry-1', 'SIGSTOP')
    await system.setFaults(system.logServiceUrl, { outage: LogOutage.Refuse })
    const answer = await record.send(begin(), system.entryUrls[1], LONG_DEADLINE)
    expect(answer).toMatchObject({ kind: ErrorKind.LogUnavailable, ran: Ran.Unknown })
    system.signal('entry-1', 'SIGCONT')
  })
})

describe('an unrepeatable request at the sides', () => {
  test.each(STAGES)('runs at most once when the side of stage %s is killed while it runs', async (stage) => {
    await system.setServiceFaults(STAGE_SERVICES[stage], { slowFactor: 60 })
    const sent = begin()
    const first = record.send(sent, system.entryUrls[0], LONG_DEADLINE)
    await waitForRun(sent.requestId, stage)
    const side = await findSide(sent.requestId, stage)
    await system.end(side, 'SIGKILL')
    await system.restart(side)
    await system.publishNewAddresses()
    expect(await first).toMatchObject({ kind: ErrorKind.OutcomeUnknown, ran: Ran.Unknown })
    expect(record.violations(system)).toEqual([])
  })

  test.each(STAGES)('runs at most once when the backend server of stage %s drops its reply', async (stage) => {
    await system.setServiceFaults(STAGE_SERVICES[stage], { dropReplies: 1 })
    const sent = begin()
    expect((await record.send(sent, system.entryUrls[0], LONG_DEADLINE))?.ran).not.toBe(Ran.None)
    expect(runsOf(system, sent.requestId).length).toBe(STAGES.indexOf(stage) + 1)
    expect(record.violations(system)).toEqual([])
  })

  test.each(STAGES)('runs at most once when the backend server of stage %s dies in its run', async (stage) => {
    await system.setServiceFaults(STAGE_SERVICES[stage], { die: true })
    const sent = begin()
    expect((await record.send(sent, system.entryUrls[0], LONG_DEADLINE))?.ran).not.toBe(Ran.None)
    expect(record.violations(system)).toEqual([])
  })

  test.each(STAGES)('is answered whole when the side of stage %s is frozen for a while, and ran once', async (stage) => {
    await system.setServiceFaults(STAGE_SERVICES[stage], { slowFactor: 20 })
    const sent = begin()
    const first = record.send(sent, system.entryUrls[0], LONG_DEADLINE)
    await waitForRun(sent.requestId, stage)
    const side = await findSide(sent.requestId, stage)
    system.signal(side, 'SIGSTOP')
    await wait(2500)
    system.signal(side, 'SIGCONT')
    expect(await first).toMatchObject({ status: 200, output: smallAnswer(PIPELINE, sent.input) })
    expect(runsOf(system, sent.requestId)).toEqual([1, 1, 1, 1])
  })
})

describe('an unrepeatable request under a ticket', () => {
  async function sendTicket(entryUrl: string, ticket: string, input = 'ticketed') {
    return callPipeline({ entryUrl, pipeline: PIPELINE, input, headers: { ...LONG_DEADLINE, 'eidermast-ticket': ticket } })
  }

  test('runs once wherever and however often it is sent, with the log out', async () => {
    await system.setFaults(system.logServiceUrl, { outage: LogOutage.Hang })
    const { requestId, ticket } = await issueTicket(system.entryUrls[0])
    const answers = await Promise.all([...system.entryUrls, ...system.entryUrls].map(url => sendTicket(url, ticket)))
    expect(answers.map(answer => answer.output)).toEqual(answers.map(() => smallAnswer(PIPELINE, 'ticketed')))
    expect(runsOf(system, requestId)).toEqual([1, 1, 1, 1])
  })

  test.each(['SIGKILL', 'SIGSTOP'] as const)('is unknown, and never runs elsewhere, when the entry that made it is gone (%s)', async (signal) => {
    const { requestId, ticket } = await issueTicket(system.entryUrls[0])
    if (signal === 'SIGKILL')
      await system.end('entry-1', signal)
    else
      system.signal('entry-1', signal)
    const answer = await callPipeline({
      entryUrl: system.entryUrls[1],
      pipeline: PIPELINE,
      input: 'ticketed',
      headers: { 'eidermast-deadline-ms': '1500', 'eidermast-ticket': ticket },
    })
    expect(answer).toMatchObject({ kind: ErrorKind.OutcomeUnknown, ran: Ran.Unknown })
    if (signal === 'SIGSTOP')
      system.signal('entry-1', 'SIGCONT')
    expect(runsOf(system, requestId).every(count => count === 1)).toBe(true)
  })

  test('is refused for another account, and nothing runs', async () => {
    const { requestId, ticket } = await issueTicket(system.entryUrls[0])
    const answer = await callPipeline({
      entryUrl: system.entryUrls[1],
      pipeline: PIPELINE,
      input: 'x',
      account: 'depot-control',
      headers: { 'eidermast-ticket': ticket },
    })
    expect(answer).toMatchObject({ kind: ErrorKind.TicketInvalid, ran: Ran.None })
    expect(runsOf(system, requestId)).toEqual([])
  })
})
