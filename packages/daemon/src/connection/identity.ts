/**
 * Who a request is: its id, account and the keys under which its stage calls
 * are known.
 */
import { createHash } from 'node:crypto'
import { v7 as uuidv7 } from 'uuid'

/** Form of a UUIDv7 in lower case (RFC 9562). */
const UUID_V7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/

/** Digits of a UUIDv7 that hold its time. */
const TIME_DIGITS = 12
/** Base of the digits of a UUID. */
const HEXADECIMAL = 16

/** Creates a request id that no caller has seen. */
export function createRequestId(): string {
  return uuidv7()
}

/** Whether a text is a lower-case UUIDv7. */
export function isRequestId(text: string): boolean {
  return UUID_V7.test(text)
}

/** The creation time in a UUIDv7, in epoch milliseconds. */
export function requestIdTime(requestId: string): number {
  return Number.parseInt(requestId.replaceAll('-', '').slice(0, TIME_DIGITS), HEXADECIMAL)
}

/** The key of a request: the same id of two accounts is two requests. */
export function createRequestKey(account: string, requestId: string): string {
  return `${account}/${requestId}`
}

/** Digest of what a request asks for, to tell a repeat from another request under the same id. */
export function digestRequest(target: string, body: string): string {
  return createHash('sha256').update(target).update('\0').update(body).digest('base64url')
}
