/**
 * One request of a load run: sends it and judges what its caller received.
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
  /** Number of the request in its run. */
  index: number
  entryUrl: string
  /** When the request was planned, by `performance.now()`. */
  plannedAt: number
  dispatcher: Dispatcher
}

/** The fields of an entry's answer that a load run reads. */
interface Answer {
  output?: string
  kind?: string
  stages?: StageCost[]
}

/** How a request ended, apart from its time. */
type Verdict = Pick<LoadResult, 'end' | 'errorKind' | 'costs'>

/**
 * Milliseconds after its deadline for which a caller still listens, so that a
 * late answer is counted as late and not as lost. Half as long counts some late
 * answers as lost; twice as long only delays the run's end.
 */
const PATIENCE_MS = 3000

const log = createLogger('load')

/** Sends a request; every failure to get an answer is a result, `Lost`. */
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
