/**
 * The oracle of the promises: the answers that callers got, compared with the
 * runs that the backend servers counted.
 */
import type { RunningSystem } from '@eidermast/stand-ins'
import type { CallerAnswer } from './caller.js'
import { Ran } from '@eidermast/common'
import { v7 as uuidv7 } from 'uuid'
import { callPipeline, countRunsByRequest, smallAnswer } from './caller.js'

/** One request, sent once or more under its id. */
export interface RecordedRequest {
  requestId: string
  pipeline: string
  input: string
  unrepeatable: boolean
  answers: CallerAnswer[]
  /** Sends whose connection broke before an answer came. */
  broken: number
}

/** Keeps the answers that callers got. */
export class CallerRecord {
  readonly requests: RecordedRequest[] = []

  /** Begins a request with a new id. */
  begin(pipeline: string, input: string, unrepeatable: boolean): RecordedRequest {
    const request: RecordedRequest = { requestId: uuidv7(), pipeline, input, unrepeatable, answers: [], broken: 0 }
    this.requests.push(request)
    return request
  }

  /** Sends a request, again under the same id if it was sent before. */
  async send(request: RecordedRequest, entryUrl: string, headers: Record<string, string> = {}): Promise<CallerAnswer | undefined> {
    const { requestId, pipeline, input } = request
    try {
      const answer = await callPipeline({ entryUrl, pipeline, input, requestId, headers })
      request.answers.push(answer)
      return answer
    }
    catch {
      // Why it broke is the fault that the test placed.
      request.broken++
      return undefined
    }
  }

  /** Every broken promise, as a sentence. */
  violations(system: RunningSystem): string[] {
    const runs = countRunsByRequest(system)
    return this.requests.flatMap(request => findViolations(request, runs.get(request.requestId) ?? []))
  }

  /** How often each kind of answer was given. */
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
    violations.push(`${requestId} got an answer that is not its own or not whole`)
  if (unrepeatable && runs.some(count => count > 1))
    violations.push(`${requestId} is unrepeatable and its stages ran ${runs.join(', ')} times`)
  const onlyNone = answers.length > 0 && broken === 0 && answers.every(answer => answer.ran === Ran.None)
  if (onlyNone && runs.length > 0)
    violations.push(`${requestId} was answered that nothing ran (${answers.map(answer => answer.kind).join(', ')}) and ${runs.length} stages ran`)
  const firstNone = answers.findIndex(answer => answer.ran === Ran.None)
  const firstWhole = answers.findIndex(answer => answer.status === 200)
  const noneAfterWhole = firstWhole >= 0 && firstNone > firstWhole
  if (unrepeatable && runs.length > 0 && noneAfterWhole)
    violations.push(`${requestId} was answered whole and then that nothing ran`)
  return violations
}
