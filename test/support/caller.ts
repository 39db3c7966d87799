import type { RequestError } from '@eidermast/common'
/**
 * A caller for tests: sends requests to an entry and keeps what it was told.
 */
import type { StageReport } from '@eidermast/daemon'
import type { RunningSystem } from '@eidermast/stand-ins'
import { DeploymentName, expectedAnswer, resolveDeployment } from '@eidermast/stand-ins'
import { request } from 'undici'

/** A request to a pipeline. */
export interface PipelineCall {
  entryUrl: string
  pipeline: string
  input: string
  account?: string
  requestId?: string
  headers?: Record<string, string>
  signal?: AbortSignal
}

/** What a caller was told. */
export interface Told {
  status: number
  output?: string
  requestId?: string
  stages?: StageReport[]
  kind?: RequestError['kind']
  ran?: RequestError['ran']
  retryAfterMs?: number
  message?: string
}

export const DEFAULT_ACCOUNT = 'rider-app'

/** Sends a request and returns what was told. */
export async function callPipeline(call: PipelineCall): Promise<Told> {
  const headers: Record<string, string> = { 'eidermast-account': call.account ?? DEFAULT_ACCOUNT, ...call.headers }
  if (call.requestId !== undefined)
    headers['eidermast-request-id'] = call.requestId
  const response = await request(`${call.entryUrl}/v1/pipelines/${call.pipeline}/requests`, {
    method: 'POST',
    headers,
    body: JSON.stringify({ input: call.input }),
    signal: call.signal,
  })
  const body = await response.body.json() as Omit<Told, 'status'>
  return { ...body, status: response.statusCode }
}

/** The answer that the small deployment must give. */
export function smallAnswer(pipeline: string, input: string): string {
  const { templates } = resolveDeployment(DeploymentName.Small)
  const { stages } = templates.find(template => template.name === pipeline)!.value
  return expectedAnswer(stages.map(stage => ({ name: stage.name, tokens: stage.model ? stage.maxTokens : 0 })), input)
}

/** How often the stages of a request ran, as the backend servers counted. */
export function runsOf(system: RunningSystem, requestId: string): number[] {
  const counts: number[] = []
  for (const [key, count] of system.countRuns()) {
    if (key.split('/')[1] === requestId)
      counts.push(count)
  }
  return counts
}
