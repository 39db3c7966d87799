/**
 * Sends one request of a load run and classifies its answer.
 */
import type { Dispatcher } from 'undici'
import type { LoadKind } from './load-kind.js'
import type { LoadResult, StageCost } from './load-report.js'
import { createLogger, formatError } from '@eidermast/common'
import { request } from 'undici'
import { LoadOutcome } from './load-report.js'

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
interface EntryAnswer {
  output?: string
  kind?: string
  stages?: StageCost[]
}

/** Result of a request without its latency. */
type ClassifiedAnswer = Pick<LoadResult, 'outcome' | 'errorKind' | 'costs'>

/**
 * How long the client keeps waiting after a request's deadline, so that late
 * answers are counted as late and not as lost, at the cost of a later end of the
 * run.
 */
const LATE_ANSWER_GRACE_MS = 3000

const log = createLogger('load')

/** Sends a request. Never rejects: a request without an answer yields the result `Lost`. */
export async function sendLoadRequest(load: LoadRequest): Promise<LoadResult> {
  const { name, account, priority } = load.kind
  const result = await sendAndClassify(load)
  return { name, account, priority, ...result, milliseconds: performance.now() - load.plannedAt }
}

async function sendAndClassify(load: LoadRequest): Promise<ClassifiedAnswer> {
  try {
    const { statusCode, body } = await send(load)
    const answer = await body.json() as EntryAnswer
    return classifyAnswer(load, statusCode, answer)
  }
  catch (error) {
    log('request-lost', { kind: load.kind.name, index: load.index, entry: load.entryUrl, error: formatError(error) })
    return { outcome: LoadOutcome.Lost, costs: [] }
  }
}

function send({ kind, index, entryUrl, dispatcher }: LoadRequest): Promise<Dispatcher.ResponseData> {
  return request(entryUrl + kind.path(index), {
    method: kind.method,
    headers: { 'eidermast-account': kind.account },
    body: kind.input ? JSON.stringify({ input: kind.input(index) }) : null,
    signal: AbortSignal.timeout(kind.deadlineMs + LATE_ANSWER_GRACE_MS),
    dispatcher,
  })
}

function classifyAnswer({ kind, plannedAt }: LoadRequest, statusCode: number, answer: EntryAnswer): ClassifiedAnswer {
  if (statusCode !== 200)
    return { outcome: LoadOutcome.Refused, errorKind: answer.kind ?? `status-${statusCode}`, costs: [] }
  const costs = answer.stages ?? []
  if (kind.input && answer.output === undefined)
    return { outcome: LoadOutcome.Wrong, costs }
  const isLate = performance.now() - plannedAt > kind.deadlineMs
  return { outcome: isLate ? LoadOutcome.Late : LoadOutcome.Attained, costs }
}
