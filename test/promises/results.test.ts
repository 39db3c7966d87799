import type { CallerAnswer } from '../support/caller.js'
import { ErrorKind, Ran } from '@eidermast/common'
import { matchesCall, MemberState } from '@eidermast/daemon'
import { DeploymentName, ProcessKind, resolveDeployment, RunningSystem } from '@eidermast/stand-ins'
import { request } from 'undici'
import { v7 as uuidv7 } from 'uuid'
import { afterAll, afterEach, beforeAll, describe, expect, test } from 'vitest'
import { DEFAULT_ACCOUNT, runsOf, streamPipeline } from '../support/caller.js'
import { createStageCall } from '../support/fixtures.js'
import { CallerRecord } from '../support/oracle.js'

const PIPELINE = 'rider-answer'
const LONG_DEADLINE = { 'eidermast-deadline-ms': '20000' }

/** Maximum number of requests in flight at an entry. */
const IN_FLIGHT_LIMIT = 100

let system: RunningSystem

beforeAll(async () => {
  system = await RunningSystem.launch({
    deployment: resolveDeployment(DeploymentName.Small),
    entrySettings: { 'max-requests': String(IN_FLIGHT_LIMIT) },
  })
})

afterEach(() => system.recover(), 30_000)

afterAll(() => system.stop())

/** Sends requests concurrently, alternating between both entries. */
async function sendMany(count: number, headers: Record<string, string>, pipeline = PIPELINE): Promise<CallerRecord> {
  const record = new CallerRecord()
  const unrepeatable = pipeline === 'departure-alert'
  await Promise.all(Array.from({ length: count }, (_, index) => {
    const sent = record.begin(pipeline, `question ${index}`, unrepeatable)
    return record.send(sent, system.entryUrls[index % 2], headers)
  }))
  return record
}

/**
 * Sends requests until one runs, and returns a function that waits for its answer.
 * On a busy machine the only remaining backend server may be unresponsive for a
 * while. Requests that are answered in that time have not run and must say so.
 */
async function sendUntilRunning(record: CallerRecord): Promise<() => ReturnType<CallerRecord['send']>> {
  for (;;) {
    const sent = record.begin(PIPELINE, 'question', false)
    const answered = record.send(sent, system.entryUrls[0], LONG_DEADLINE)
    let isAnswered = false
    void answered.then(() => {
      isAnswered = true
    })
    const isRunning = (): boolean => runsOf(system, sent.requestId).length === 1
    await expect.poll(() => isRunning() || isAnswered, { timeout: 10_000 }).toBe(true)
    if (isRunning())
      return () => answered
    expect((await answered)?.ran).toBe(Ran.None)
  }
}

/** Sends a streamed request and returns all the text received. */
async function stream(input: string, onText: (text: string) => void = () => {}): Promise<string> {
  const response = await streamPipeline({ entryUrl: system.entryUrls[0], pipeline: PIPELINE, input, headers: LONG_DEADLINE })
  let text = ''
  try {
    for await (const chunk of response.body) {
      text += String(chunk)
      onText(text)
    }
  }
  catch {
    // A broken connection tells the caller that the answer is incomplete.
  }
  return text
}

/** Sends a streamed request, kills processes at its first token and returns all the text received. */
async function streamAndKill(names: string[]): Promise<string> {
  let ends: Promise<unknown>[] | undefined
  const text = await stream('killed', (received) => {
    if (received.includes('event: token'))
      ends ??= names.map(name => system.end(name, 'SIGKILL'))
  })
  await Promise.all(ends ?? [])
  return text
}

describe('a truncated stream is never reported as complete', () => {
  test('if the engine truncates it', async () => {
    await system.setServiceFaults('language-model', { cutStreams: 1 })
    const text = await stream('cut')
    expect(text).toContain('event: token')
    expect(text).toContain('event: error')
    expect(text).toContain('"whole":false')
    expect(text).not.toContain('"whole":true')
  })

  test.each([ProcessKind.Side, ProcessKind.Backend])('if its %s is killed while streaming', async (kind) => {
    await system.setServiceFaults('language-model', { slowFactor: 20 })
    const names = system.list(kind).map(({ name }) => name).filter(name => name.startsWith('language-model'))
    const text = await streamAndKill(names)
    expect(text).toContain('"whole":false')
    expect(text).not.toContain('"whole":true')
  })

  test('if its entry is killed while streaming', async () => {
    await system.setServiceFaults('language-model', { slowFactor: 20 })
    const text = await streamAndKill(['entry-1'])
    expect(text).not.toContain('"whole":true')
  })

  test('and a running repeatable request is stopped if its caller disconnects', async () => {
    await system.setServiceFaults('language-model', { slowFactor: 200 })
    const controller = new AbortController()
    const answered = request(`${system.entryUrls[0]}/v1/pipelines/${PIPELINE}/requests`, {
      method: 'POST',
      headers: { 'eidermast-account': DEFAULT_ACCOUNT, ...LONG_DEADLINE },
      body: JSON.stringify({ input: 'left' }),
      signal: controller.signal,
    })
    const countRunning = async (): Promise<number> => {
      const statuses = await Promise.all(['language-model-1', 'language-model-2'].map(name => system.sideStatus(name)))
      return statuses.reduce((sum, status) => sum + Number(status?.detail.find(line => line.subject === 'running')?.text ?? 0), 0)
    }
    await expect.poll(countRunning, { timeout: 10_000 }).toBe(1)
    controller.abort()
    await expect(answered).rejects.toThrow()
    await expect.poll(countRunning, { timeout: 3000 }).toBe(0)
  })
})

describe('every caller gets its own answer', () => {
  test('over shared connections, with backend servers of different speeds and lost replies', async () => {
    const backends = system.list(ProcessKind.Backend)
    const injectFaults = (url: string, index: number) => system.setFaults(url, { slowFactor: 1 + index % 4, dropReplies: index % 3 })
    await Promise.all(backends.map(({ url }, index) => injectFaults(url!, index)))
    const record = await sendMany(150, LONG_DEADLINE)
    expect(record.violations(system)).toEqual([])
    expect(record.summarize().whole).toBeGreaterThan(140)
  })

  const call = createStageCall().identity
  test.each([
    ['another request', { requestId: uuidv7() }],
    ['another account', { account: 'other' }],
    ['another stage', { stage: 'other' }],
    ['another attempt', { attempt: 2 }],
    ['another process incarnation of the entry', { entryIncarnation: uuidv7() }],
    ['another process incarnation of the side', { sideIncarnation: uuidv7() }],
  ])('and a reply to %s is rejected', (_name, change) => {
    expect(matchesCall(call, call)).toBe(true)
    expect(matchesCall(call, { ...call, ...change })).toBe(false)
  })
})

describe('an answer that says "not run" is correct', () => {
  async function countSilentMembers(entry: string): Promise<number | undefined> {
    const status = await system.entryStatus(entry)
    return status?.detail.filter(line => line.text === MemberState.Silent).length
  }

  function answersOf(record: CallerRecord): CallerAnswer[] {
    return record.requests.flatMap(sent => sent.answers)
  }

  test.each([PIPELINE, 'departure-alert'])('for requests that are shed under overload (%s)', async (pipeline) => {
    // The first requests occupy the encoders, so that the others exceed the limit of the entry.
    await system.setServiceFaults('encoder', { slowFactor: 500 })
    const record = await sendMany(IN_FLIGHT_LIMIT * 5, { 'eidermast-deadline-ms': '4000' }, pipeline)
    expect(answersOf(record).some(answer => answer.ran === Ran.None)).toBe(true)
    expect(record.violations(system)).toEqual([])
  })

  test('for calls in flight to suspended sides when the deadline passes, and after the sides resume', async () => {
    const encoders = ['encoder-1', 'encoder-2']
    encoders.forEach(name => system.signal(name, 'SIGSTOP'))
    const record = await sendMany(20, { 'eidermast-deadline-ms': '400' })
    encoders.forEach(name => system.signal(name, 'SIGCONT'))
    await system.recover()
    expect(record.violations(system)).toEqual([])
    expect(answersOf(record).every(answer => answer.ran !== undefined)).toBe(true)
  })

  // Guards against a call that was never written to a closed connection but made the answer say `unknown`.
  test('and is not given to a repeatable request whose last backend server is killed while it runs', async () => {
    await system.setServiceFaults('encoder', { slowFactor: 500 })
    await system.end('encoder-2', 'SIGKILL')
    const record = new CallerRecord()
    const answer = await sendUntilRunning(record)
    await system.end('encoder-1', 'SIGKILL')
    expect((await answer())?.ran).toBe(Ran.Unknown)
    expect(record.violations(system)).toEqual([])
  })

  test('for requests that arrive while no backend server is available, which are answered immediately with a retry delay', async () => {
    const encoders = ['encoder-1', 'encoder-2']
    await Promise.all(encoders.map(name => system.end(name, 'SIGKILL')))
    for (const entry of ['entry-1', 'entry-2'])
      await expect.poll(() => countSilentMembers(entry), { timeout: 10_000 }).toBe(encoders.length)
    const startedAt = performance.now()
    const record = await sendMany(20, LONG_DEADLINE)
    expect(performance.now() - startedAt, 'answered long before the deadline').toBeLessThan(10_000)
    for (const answer of answersOf(record)) {
      expect(answer).toMatchObject({ kind: ErrorKind.NoBackend, ran: Ran.None })
      expect(answer.retryAfterMs).toBeGreaterThan(0)
    }
    expect(record.violations(system)).toEqual([])
  })
})
