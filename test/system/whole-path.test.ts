import { DeploymentName, ProcessKind, resolveDeployment, RunningSystem } from '@eidermast/stand-ins'
import { request } from 'undici'
import { afterAll, beforeAll, describe, expect, test } from 'vitest'
import { callPipeline, DEFAULT_ACCOUNT, runsOf, smallAnswer, streamPipeline } from '../support/caller.js'

let system: RunningSystem

beforeAll(async () => {
  system = await RunningSystem.launch({ deployment: resolveDeployment(DeploymentName.Small) })
})

afterAll(() => system.stop())

describe('the request path', () => {
  test('runs every component as a separate process', () => {
    const processIds = [...system.processes.values()].map(launched => launched.pid)
    expect(new Set(processIds).size).toBe(system.processes.size)
  })

  test('serves a request through four stages and answers it whole', async () => {
    const answer = await callPipeline({
      entryUrl: system.entryUrls[0],
      pipeline: 'rider-answer',
      input: 'When is the next 12X?',
      headers: { 'eidermast-deadline-ms': '20000' },
    })
    expect(answer).toMatchObject({ status: 200, output: smallAnswer('rider-answer', 'When is the next 12X?') })
    expect(answer.stages?.map(stage => stage.stage)).toEqual(['encode', 'retrieve', 'rerank', 'generate'])
    expect(runsOf(system, answer.requestId!)).toEqual([1, 1, 1, 1])
  })

  test('answers concurrent requests, each with its own answer', async () => {
    const inputs = Array.from({ length: 60 }, (_, index) => `question ${index}`)
    const headers = { 'eidermast-deadline-ms': '20000' }
    const answers = await Promise.all(inputs.map((input, index) => {
      return callPipeline({ entryUrl: system.entryUrls[index % 2], pipeline: 'rider-answer', input, headers })
    }))
    expect(answers.map(answer => answer.output)).toEqual(inputs.map(input => smallAnswer('rider-answer', input)))
  })

  test('streams the last stage as server-sent events and ends with the whole answer', async () => {
    const response = await streamPipeline({ entryUrl: system.entryUrls[0], pipeline: 'rider-answer', input: 'streamed' })
    const events = parseEvents(await response.body.text())
    const tokens = events.filter(event => event.name === 'token').map(event => event.data.text)
    expect(tokens.join('')).toBe(smallAnswer('rider-answer', 'streamed'))
    expect(events.at(-1)).toMatchObject({ name: 'done', data: { whole: true, output: smallAnswer('rider-answer', 'streamed') } })
  })

  test('routes a plain service by its path', async () => {
    const url = `${system.entryUrls[1]}/v1/services/rider-app-backend/stops/7?fields=name`
    const response = await request(url, { headers: { 'eidermast-account': DEFAULT_ACCOUNT } })
    expect(response.statusCode).toBe(200)
    expect(await response.body.json()).toMatchObject({ method: 'GET', path: '/stops/7?fields=name' })
  })

  test('returns the outcome of a request at any entry, but only to its own account', async () => {
    const answer = await callPipeline({ entryUrl: system.entryUrls[0], pipeline: 'departure-alert', input: 'stand C' })
    const ask = (account: string) => request(`${system.entryUrls[1]}/v1/requests/${answer.requestId}`, { headers: { 'eidermast-account': account } })
    expect(await (await ask(DEFAULT_ACCOUNT)).body.json()).toMatchObject({ output: answer.output })
    expect((await ask('depot-control')).statusCode).toBe(404)
  })

  test('answers health and metrics on entries and sides', async () => {
    const side = system.list(ProcessKind.Side)[0]
    for (const url of [system.entryUrls[0], `http://${side.peer}`]) {
      expect((await request(`${url}/healthz`)).statusCode).toBe(200)
      expect((await request(`${url}/readyz`)).statusCode).toBe(200)
      expect(await (await request(`${url}/metrics`)).body.text()).toContain('eidermast_configuration_offset')
    }
  })
})

interface StreamEvent {
  name: string
  data: { text?: string, whole?: boolean, output?: string }
}

function parseEvents(text: string): StreamEvent[] {
  return text.trim().split('\n\n').map((block) => {
    const [eventLine, dataLine] = block.split('\n')
    return { name: eventLine.slice('event: '.length), data: JSON.parse(dataLine.slice('data: '.length)) }
  })
}
