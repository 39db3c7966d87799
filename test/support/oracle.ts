/**
 * Test oracle for the guarantees of docs/PROMISES.md: compares the answers that
 * callers received with the runs that the backend servers recorded.
 */
import type { RunningSystem } from '@eidermast/stand-ins'
import type { CallerAnswer } from './caller.js'
import { Ran } from '@eidermast/common'
import { v7 as uuidv7 } from 'uuid'
import { callPipeline, countRunsByRequest, smallAnswer } from './caller.js'

/** A request, sent one or more times under the same id. */
export interface RecordedRequest {
  requestId: string
  pipeline: string
  input: string
  unrepeatable: boolean
  answers: CallerAnswer[]
  /** Number of sends whose connection failed before an answer arrived. */
  broken: number
}

/** Records requests and the answers to them. */
export class CallerRecord {
  readonly requests: RecordedRequest[] = []

  /** Creates a request with a new id, without sending it. */
  begin(pipeline: string, input: string, unrepeatable: boolean): RecordedRequest {
    const request: RecordedRequest = { requestId: uuidv7(), pipeline, input, unrepeatable, answers: [], broken: 0 }
    this.requests.push(request)
    return request
  }

  /** Sends a request, under the same id each time; undefined if the connection failed. */
  async send(request: RecordedRequest, entryUrl: string, headers: Record<string, string> = {}): Promise<CallerAnswer | undefined> {
    const { requestId, pipeline, input } = request
    try {
      const answer = await callPipeline({ entryUrl, pipeline, input, requestId, headers })
      request.answers.push(answer)
      return answer
    }
    catch {
      // The connection failed because of a fault that the test injected.
      request.broken++
      return undefined
    }
  }

  /** Describes every violated guarantee. */
  violations(system: RunningSystem): string[] {
    const runs = countRunsByRequest(system)
    return this.requests.flatMap(request => findViolations(request, runs.get(request.requestId) ?? []))
  }

  /** Counts the answers by kind. */
  summarize(): Record<string, number> {
    const counts: Record<string, number> = {}
    for (const { answers, broken } of this.requests) {
      const ends = answers.map(({ kind, ran }) => kind ? `${kind}/${ran}` : 'whole')
      for (const end of [...ends, ...Array.from({ length: broken }, () => 'broken')])
        counts[end] = (counts[end] ?? 0) + 1
    }
    return counts
  }
}

function findViolations(request: RecordedRequest, runs: number[]): string[] {
  const { requestId, pipeline, input, unrepeatable, answers, broken } = request
  const violations: string[] = []
  const wrong = answers.filter(answer => answer.status === 200 && answer.output !== smallAnswer(pipeline, input))
  if (wrong.length > 0)
    violations.push(`${requestId} received an answer that is incomplete or belongs to another request`)
  if (unrepeatable && runs.some(count => count > 1))
    violations.push(`${requestId} is unrepeatable and its stages ran ${runs.join(', ')} times`)
  const onlyNone = answers.length > 0 && broken === 0 && answers.every(answer => answer.ran === Ran.None)
  if (onlyNone && runs.length > 0)
    violations.push(`${requestId} was answered that nothing had run (${answers.map(answer => answer.kind).join(', ')}) and ${runs.length} stages ran`)
  const firstNone = answers.findIndex(answer => answer.ran === Ran.None)
  const firstWhole = answers.findIndex(answer => answer.status === 200)
  const noneAfterWhole = firstWhole >= 0 && firstNone > firstWhole
  if (unrepeatable && runs.length > 0 && noneAfterWhole)
    violations.push(`${requestId} received a complete answer and later an answer that nothing had run`)
  return violations
}
