/**
 * Sends one request of a load run and classifies its answer.
 */
import type { Dispatcher } from 'undici'
import type { LoadKind } from './load-kind.js'
import type { LoadResult, StageCost } from './load-report.js'
import { createLogger, formatError } from '@eidermast/common'
import { request } from 'undici'
import { LoadEnd } from './load-report.js'

/** A request to send. */
export interface LoadRequest {
  kind: LoadKind
  /** Index of the request within its run. */
  index: number
  entryUrl: string
  /** Planned send time, by `performance.now()`. */
  plannedAt: number
  dispatcher: Dispatcher
}

/** Fields of an entry's answer that a load run reads. */
interface Answer {
  output?: string
  kind?: string
  stages?: StageCost[]
}

/** Result of a request without its latency. */
type Verdict = Pick<LoadResult, 'end' | 'errorKind' | 'costs'>

/**
 * How long the client keeps waiting after a request's deadline, so that late
 * answers are counted as late and not as lost. At half this value some late
 * answers are counted as lost; doubling it only delays the end of the run.
 */
const PATIENCE_MS = 3000

const log = createLogger('load')

/** Sends a request. Never rejects: a request without an answer yields the result `Lost`. */
export async function sendLoadRequest(load: LoadRequest): Promise<LoadResult> {
  const { name, account, priority } = load.kind
  const verdict = await exchange(load)
  return { name, account, priority, ...verdict, milliseconds: performance.now() - load.plannedAt }
}

async function exchange(load: LoadRequest): Promise<Verdict> {
  try {
    const { statusCode, body } = await send(load)
    const answer = await body.json() as Answer
    return judge(load, statusCode, answer)
  }
  catch (error) {
    log('request-lost', { kind: load.kind.name, index: load.index, entry: load.entryUrl, error: formatError(error) })
    return { end: LoadEnd.Lost, costs: [] }
  }
}

function send({ kind, index, entryUrl, dispatcher }: LoadRequest): Promise<Dispatcher.ResponseData> {
  return request(entryUrl + kind.path(index), {
    method: kind.method,
    headers: { 'eidermast-account': kind.account },
    body: kind.input ? JSON.stringify({ input: kind.input(index) }) : null,
    signal: AbortSignal.timeout(kind.deadlineMs + PATIENCE_MS),
    dispatcher,
  })
}

function judge({ kind, plannedAt }: LoadRequest, statusCode: number, answer: Answer): Verdict {
  if (statusCode !== 200)
    return { end: LoadEnd.Refused, errorKind: answer.kind ?? `status-${statusCode}`, costs: [] }
  const costs = answer.stages ?? []
  if (kind.input && answer.output === undefined)
    return { end: LoadEnd.Wrong, costs }
  const isLate = performance.now() - plannedAt > kind.deadlineMs
  return { end: isLate ? LoadEnd.Late : LoadEnd.Attained, costs }
}
