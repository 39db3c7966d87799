/**
 * Compares the answer to a client with the runs that backend servers recorded.
 */
import type { SentRequest } from './soak-clients.js'
import { RequestKind } from './soak-clients.js'
import { STREAM_EVENTS } from './soak-deployment.js'

/** Statuses that guarantee that a request was not and will not be executed. */
const NOT_EXECUTED_STATUSES = new Set([408, 421, 429, 503])
const COMPLETE_STREAM = Array.from({ length: STREAM_EVENTS }, (_, index) => `id: ${index + 1}\ndata: ${index + 1}\n\n`).join('')

/** Describes what is wrong with the answer to a request, given its number of runs; undefined if nothing is. */
export function findViolation(sent: SentRequest, runs: number): string | undefined {
  if (sent.kind === RequestKind.Once && runs > 1)
    return `${sent.id} may run only once but ran ${runs} times`
  if (sent.status === undefined)
    return undefined
  if (sent.echoedId !== sent.id)
    return `${sent.id} received the answer to ${sent.echoedId}`
  if (NOT_EXECUTED_STATUSES.has(sent.status) && runs > 0)
    return `${sent.id} was answered with ${sent.status} but ran ${runs} times`
  if (sent.status !== 200 || sent.body === undefined)
    return undefined
  const complete = sent.kind === RequestKind.Stream ? COMPLETE_STREAM : `answer to /${sent.kind}/${sent.id}`
  return sent.body === complete ? undefined : `${sent.id} received ${JSON.stringify(sent.body)} as its complete answer`
}
