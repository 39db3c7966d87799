/**
 * Compares the answer to a client with the runs that backend servers recorded.
 */
import type { SentRequest } from './soak-clients.js'
import { RequestKind } from './soak-clients.js'
import { STREAM_EVENTS } from './soak-deployment.js'

/** Statuses that guarantee that a request was not and will not be executed. */
const PROMISES = new Set([408, 421, 429, 503])
const WHOLE_STREAM = Array.from({ length: STREAM_EVENTS }, (_, index) => `id: ${index + 1}\ndata: ${index + 1}\n\n`).join('')

/** Describes what is wrong with the answer to a request, given its number of runs; undefined if nothing is. */
export function findFault(sent: SentRequest, runs: number): string | undefined {
  if (sent.kind === RequestKind.Once && runs > 1)
    return `${sent.id} may run once and ran ${runs} times`
  if (sent.status === undefined)
    return undefined
  if (sent.echoedId !== sent.id)
    return `${sent.id} got the answer of ${sent.echoedId}`
  if (PROMISES.has(sent.status) && runs > 0)
    return `${sent.id} was answered ${sent.status} and ran ${runs} times`
  if (sent.status !== 200 || sent.body === undefined)
    return undefined
  const whole = sent.kind === RequestKind.Stream ? WHOLE_STREAM : `answer to /${sent.kind}/${sent.id}`
  return sent.body === whole ? undefined : `${sent.id} got ${JSON.stringify(sent.body)} as whole`
}
