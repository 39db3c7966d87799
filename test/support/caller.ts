/**
 * Test client that sends requests to an entry and returns its answers.
 */
import type { RequestError } from '@eidermast/common'
import type { StageReport } from '@eidermast/daemon'
import type { RunningSystem } from '@eidermast/stand-ins'
import type { Dispatcher } from 'undici'
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

/** The answer that a caller received. */
export interface CallerAnswer {
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

/** Sends a request and returns its answer. */
export async function callPipeline(call: PipelineCall): Promise<CallerAnswer> {
  const headers: Record<string, string> = { 'eidermast-account': call.account ?? DEFAULT_ACCOUNT, ...call.headers }
  if (call.requestId !== undefined)
    headers['eidermast-request-id'] = call.requestId
  const response = await request(`${call.entryUrl}/v1/pipelines/${call.pipeline}/requests`, {
    method: 'POST',
    headers,
    body: JSON.stringify({ input: call.input }),
    signal: call.signal,
  })
  const body = await response.body.json() as Omit<CallerAnswer, 'status'>
  return { ...body, status: response.statusCode }
}

/** Sends a request for a streamed answer; the response body contains server-sent events. */
export function streamPipeline({ entryUrl, pipeline, input, headers }: PipelineCall): Promise<Dispatcher.ResponseData> {
  return request(`${entryUrl}/v1/pipelines/${pipeline}/requests`, {
    method: 'POST',
    headers: { 'eidermast-account': DEFAULT_ACCOUNT, 'accept': 'text/event-stream', ...headers },
    body: JSON.stringify({ input }),
  })
}

/** Returns the answer expected from the small deployment. */
export function smallAnswer(pipeline: string, input: string): string {
  const { templates } = resolveDeployment(DeploymentName.Small)
  const { stages } = templates.find(template => template.name === pipeline)!.value
  return expectedAnswer(stages.map(stage => ({ name: stage.name, tokens: stage.model ? stage.maxTokens : 0 })), input)
}

/** Returns the run counts of each request's stages, as recorded by the backend servers. */
export function countRunsByRequest(system: RunningSystem): Map<string, number[]> {
  const byRequest = new Map<string, number[]>()
  for (const [key, count] of system.countRuns()) {
    const [, requestId] = key.split('/')
    byRequest.set(requestId, [...byRequest.get(requestId) ?? [], count])
  }
  return byRequest
}

/** Returns the run counts of a request's stages, as recorded by the backend servers. */
export function runsOf(system: RunningSystem, requestId: string): number[] {
  return countRunsByRequest(system).get(requestId) ?? []
}
