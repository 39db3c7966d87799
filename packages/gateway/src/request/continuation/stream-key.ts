/**
 * Identifies a stream over all answers in which it is sent: by its service, its
 * client account and the id of the request that brought its first event. Of fixed
 * length, since clients choose the ids. Another account, or a route that leads to
 * another service by now, gives another key.
 */
import type { RoutedRequest } from '../routed-request.js'
import { createHash } from 'node:crypto'

/** Hexadecimal digits, 96 bits. */
const KEY_DIGITS = 24
/** Separates the fields; no field contains it. */
const SEPARATOR = '\0'

/** The fields of a request that identify its stream. */
export interface StreamRequest extends Pick<RoutedRequest, 'service'> {
  head: Pick<RoutedRequest['head'], 'requestId' | 'lastEventId' | 'resumedRequestId'>
  account: Pick<NonNullable<RoutedRequest['account']>, 'name'> | undefined
}

/** Id of the request that began the stream; undefined if a client resumes a stream without naming it. A request without a last event begins a new one. */
export function beginningRequestId({ requestId, lastEventId, resumedRequestId }: StreamRequest['head']): string | undefined {
  return lastEventId === undefined ? requestId : resumedRequestId
}

/** The key of the stream that a request begins or resumes; undefined if a client resumes a stream without naming it. */
export function streamKeyOf({ head, service, account }: StreamRequest): string | undefined {
  const id = beginningRequestId(head)
  if (id === undefined)
    return undefined
  return createHash('sha256').update([service, account?.name ?? '', id].join(SEPARATOR)).digest('hex').slice(0, KEY_DIGITS)
}
