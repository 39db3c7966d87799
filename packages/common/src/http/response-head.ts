/**
 * Decides whether a response head is one of HTTP, beyond what the parser checks.
 *
 * Inputs: status and headers of the head.
 * Rule: the status is between 100 and 599, and not 101, since no call asks for
 * another protocol. A status without a body comes without a length or chunks; a
 * length of 0 with 204 says nothing else (RFC 9110, sections 8.6, 15 and 15.2).
 * Why: a sender that contradicts itself is faulty, and whatever follows the head
 * would be taken for another response. An interim head that announces a body is
 * the last one that its server sends.
 * Log event: `call-failed` (kind `broken`) of a gateway, `failed` of an entry.
 *
 * Stateless.
 */

const MIN_STATUS = 100
const MAX_STATUS = 599
const SWITCHING_PROTOCOLS = 101
const NO_CONTENT = 204
/** First status of a final response; lower ones are interim. */
export const FIRST_FINAL_STATUS = 200

/** The head of a response; headers by lower-case name. */
export interface ResponseHead {
  status: number
  headers: Readonly<Record<string, unknown>>
}

/** A head that is no response of HTTP. */
class InvalidHeadError extends Error {
  constructor(reason: string) {
    super(`the response head is invalid: ${reason}`)
    this.name = 'InvalidHeadError'
  }
}

/** Throws an `InvalidHeadError` if a head, of an interim response too, is not valid. */
export function assertValidHead({ status, headers }: ResponseHead): void {
  if (status < MIN_STATUS || status > MAX_STATUS)
    throw new InvalidHeadError(`status ${status}`)
  if (status === SWITCHING_PROTOCOLS)
    throw new InvalidHeadError(`status ${status}, but no other protocol was asked for`)
  const length = headers['content-length']
  const announcesBody = headers['transfer-encoding'] !== undefined || length !== undefined
  if (status < FIRST_FINAL_STATUS && announcesBody)
    throw new InvalidHeadError(`status ${status} with a body`)
  if (status === NO_CONTENT && announcesBody && length !== '0')
    throw new InvalidHeadError(`status ${status} with a body`)
}
