/**
 * Compares the answer that a client got with what backend servers saw.
 */
import type { SentRequest } from './soak-clients.js'
import { RequestKind } from './soak-clients.js'
import { STREAM_EVENTS } from './soak-deployment.js'

/** Statuses that promise that a request has not run and never will. */
const PROMISES = new Set([408, 421, 429, 503])
const WHOLE_STREAM = Array.from({ length: STREAM_EVENTS }, (_, index) => `id: ${index + 1}\ndata: ${index + 1}\n\n`).join('')

/** What is wrong with a request's answer, by the runs that backend servers saw; undefined where nothing is. */
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
