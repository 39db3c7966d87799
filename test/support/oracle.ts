/**
 * The oracle of the promises: what callers were told, held against what the
 * backend servers counted.
 */
import type { RunningSystem } from '@eidermast/stand-ins'
import type { Told } from './caller.js'
import { Ran } from '@eidermast/common'
import { v7 as uuidv7 } from 'uuid'
import { callPipeline, smallAnswer } from './caller.js'

/** One request, sent once or more under its id. */
export interface RecordedRequest {
  requestId: string
  pipeline: string
  input: string
  unrepeatable: boolean
  told: Told[]
  /** Sends whose connection broke before anything was told. */
  broken: number
}

/** Keeps what callers were told. */
export class CallerRecord {
  readonly requests: RecordedRequest[] = []

  /** Begins a request with a new id. */
  begin(pipeline: string, input: string, unrepeatable: boolean): RecordedRequest {
    const request: RecordedRequest = { requestId: uuidv7(), pipeline, input, unrepeatable, told: [], broken: 0 }
    this.requests.push(request)
    return request
  }

  /** Sends a request, again under the same id if it was sent before. */
  async send(request: RecordedRequest, entryUrl: string, headers: Record<string, string> = {}): Promise<Told | undefined> {
    const { requestId, pipeline, input } = request
    try {
      const told = await callPipeline({ entryUrl, pipeline, input, requestId, headers })
      request.told.push(told)
      return told
    }
    catch {
      request.broken++
      return undefined
    }
  }

  /** Every broken promise, as a sentence. */
  violations(system: RunningSystem): string[] {
    const runs = countByRequest(system)
    return this.requests.flatMap(request => findViolations(request, runs.get(request.requestId) ?? []))
  }

  /** How often each kind of answer was told. */
  summarize(): Record<string, number> {
    const counts: Record<string, number> = {}
    for (const { told, broken } of this.requests) {
      for (const answer of [...told.map(({ kind, ran }) => kind ? `${kind}/${ran}` : 'whole'), ...Array.from({ length: broken }, () => 'broken')])
        counts[answer] = (counts[answer] ?? 0) + 1
    }
    return counts
  }
}

function countByRequest(system: RunningSystem): Map<string, number[]> {
  const byRequest = new Map<string, number[]>()
  for (const [key, count] of system.countRuns()) {
    const [, requestId] = key.split('/')
    byRequest.set(requestId, [...byRequest.get(requestId) ?? [], count])
  }
  return byRequest
}

function findViolations(request: RecordedRequest, runs: number[]): string[] {
  const { requestId, pipeline, input, unrepeatable, told, broken } = request
  const violations: string[] = []
  const wrong = told.filter(answer => answer.status === 200 && answer.output !== smallAnswer(pipeline, input))
  if (wrong.length > 0)
    violations.push(`${requestId} got an answer that is not its own or not whole`)
  if (unrepeatable && runs.some(count => count > 1))
    violations.push(`${requestId} is unrepeatable and its stages ran ${runs.join(', ')} times`)
  const onlyNone = told.length > 0 && broken === 0 && told.every(answer => answer.ran === Ran.None)
  if (onlyNone && runs.length > 0)
    violations.push(`${requestId} was told that nothing ran (${told.map(answer => answer.kind).join(', ')}) and ${runs.length} stages ran`)
  const noneAfterRun = unrepeatable && runs.length > 0 && told.some(answer => answer.ran === Ran.None) && told.findIndex(answer => answer.ran === Ran.None) > told.findIndex(answer => answer.status === 200) && told.some(answer => answer.status === 200)
  if (noneAfterRun)
    violations.push(`${requestId} was answered whole and then told that nothing ran`)
  return violations
}
