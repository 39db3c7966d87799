/**
 * The demo: starts a small deployment, sends it requests of both users' pipelines
 * and checks that none is lost or executed twice. Exits with 1 if one is, or if an
 * answer is incomplete.
 */
import type { Deployment } from './deployment.js'
import { request } from 'undici'
import { v7 as uuidv7 } from 'uuid'
import { DeploymentName, resolveDeployment } from './deployment.js'
import { expectedAnswer } from './outputs.js'
import { RunningSystem } from './running-system.js'

/** A request that the demo sends `count` times. */
interface DemoRequest {
  title: string
  account: string
  pipeline: string
  input: string
  count: number
}

/** Result of a request. */
interface DemoResult {
  requestId: string
  account: string
  unrepeatable: boolean
  whole: boolean
  late: boolean
  kind?: string
  text: string
}

/** Number of characters of an answer that are printed. */
const EXCERPT_LENGTH = 60

const REQUESTS: DemoRequest[] = [
  {
    title: 'rider answer',
    account: 'rider-app',
    pipeline: 'rider-answer',
    input: 'Does the 12X wait for the 08:14 train at Canley?',
    count: 10,
  },
  {
    title: 'digest',
    account: 'depot-control',
    pipeline: 'disruption-digest',
    input: 'Tram works at Pool Meadow, buses 8 and 9 diverted.',
    count: 5,
  },
  {
    title: 'tag',
    account: 'feed-desk',
    pipeline: 'feed-tag',
    input: 'NaPTAN 43000286 renamed Spon Street.',
    count: 5,
  },
  {
    title: 'departure alert',
    account: 'rider-app',
    pipeline: 'departure-alert',
    input: 'The 15:05 school coach leaves from stand C.',
    count: 5,
  },
  {
    title: 'attestation',
    account: 'medidores-sur',
    pipeline: 'attestation',
    input: 'Build 8812, meter firmware 4.1.0, key 7.',
    count: 5,
  },
  {
    title: 'manifest explanation',
    account: 'taller-rio',
    pipeline: 'manifest-explanation',
    input: 'Manifest rejected: hash of partition 3 differs.',
    count: 5,
  },
]
/** Number of calls to the plain service. */
const STOP_LOOKUP_COUNT = 10

const deployment = resolveDeployment(DeploymentName.Small)
const system = await RunningSystem.launch({ deployment })
console.log(`${system.processes.size} processes are running, each with its own process id`)
try {
  process.exitCode = await demonstrate(system)
}
finally {
  await system.stop()
}

async function demonstrate(running: RunningSystem): Promise<number> {
  const results: DemoResult[] = []
  for (const demoRequest of REQUESTS)
    results.push(...await sendAll(running, demoRequest))
  results.push(...await lookUpStops(running))
  const summary = await summarize(running, results)
  console.log(JSON.stringify(summary))
  return summary.doubled === 0 && summary.lost === 0 && summary.answeredWhole === summary.sent ? 0 : 1
}

async function sendAll(running: RunningSystem, demoRequest: DemoRequest): Promise<DemoResult[]> {
  const sends = Array.from({ length: demoRequest.count }, (_, index) => send(running, demoRequest, index))
  const results = await Promise.all(sends)
  const [first] = results
  console.log(`${demoRequest.title}: ${first.text.slice(0, EXCERPT_LENGTH)}`)
  return results
}

async function send(running: RunningSystem, { account, pipeline, input }: DemoRequest, index: number): Promise<DemoResult> {
  const template = deployment.templates.find(candidate => candidate.name === pipeline)!.value
  const text = `${input} (${index})`
  const requestId = uuidv7()
  const startedAt = performance.now()
  const response = await request(`${pickEntry(running, index)}/v1/pipelines/${pipeline}/requests`, {
    method: 'POST',
    headers: { 'eidermast-account': account, 'eidermast-request-id': requestId },
    body: JSON.stringify({ input: text }),
  })
  const answer = await response.body.json() as { output?: string, kind?: string, message?: string }
  const expected = expectedAnswer(expectedStages(deployment, pipeline), text)
  return {
    requestId,
    account,
    unrepeatable: template.unrepeatable,
    whole: answer.output === expected,
    late: performance.now() - startedAt > template.deadlineMs,
    kind: answer.kind,
    text: answer.output ?? answer.message ?? '',
  }
}

async function lookUpStops(running: RunningSystem): Promise<DemoResult[]> {
  const results: DemoResult[] = []
  for (let index = 0; index < STOP_LOOKUP_COUNT; index++) {
    const requestId = uuidv7()
    const path = `/stops/4300028${index}`
    const response = await request(`${pickEntry(running, index)}/v1/services/rider-app-backend${path}`, {
      headers: { 'eidermast-account': 'rider-app', 'eidermast-request-id': requestId },
    })
    const answer = await response.body.json() as { path?: string, requestId?: string, kind?: string }
    const whole = answer.path === path && answer.requestId === requestId
    const text = JSON.stringify(answer)
    results.push({ requestId, account: '', unrepeatable: false, whole, late: false, kind: answer.kind, text })
  }
  console.log(`stop lookup: ${results[0].text.slice(0, EXCERPT_LENGTH)}`)
  return results
}

function pickEntry(running: RunningSystem, index: number): string {
  return running.entryUrls[index % running.entryUrls.length]
}

/** Returns the stages of a pipeline in the form that `expectedAnswer` takes. */
function expectedStages({ templates }: Deployment, pipeline: string) {
  const { stages } = templates.find(candidate => candidate.name === pipeline)!.value
  return stages.map(stage => ({ name: stage.name, tokens: stage.model ? stage.maxTokens : 0 }))
}

async function summarize(running: RunningSystem, results: DemoResult[]) {
  const runs = running.countRuns()
  const refused: Record<string, number> = {}
  for (const { kind } of results) {
    if (kind)
      refused[kind] = (refused[kind] ?? 0) + 1
  }
  const unrepeatable = new Set(results.filter(result => result.unrepeatable).map(result => result.requestId))
  const doubled = [...runs].filter(([key, count]) => count > 1 && unrepeatable.has(key.split('/')[1])).length
  return {
    sent: results.length,
    answeredWhole: results.filter(result => result.whole).length,
    late: results.filter(result => result.late).length,
    refused,
    lost: results.filter(result => !result.whole && result.kind === undefined).length,
    doubled,
  }
}
