/**
 * Identity of a request: its id, its key within the account and the digest of its
 * content.
 */
import { createHash } from 'node:crypto'
import { v7 as uuidv7 } from 'uuid'

/** Lower-case UUIDv7 (RFC 9562). */
const UUID_V7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/

/** Leading hexadecimal digits of a UUIDv7 that contain its timestamp. */
const TIMESTAMP_DIGITS = 12
const HEX_RADIX = 16

/** Generates a new request id. */
export function createRequestId(): string {
  return uuidv7()
}

/** Whether a text is a lower-case UUIDv7. */
export function isRequestId(text: string): boolean {
  return UUID_V7.test(text)
}

/** Extracts the timestamp of a UUIDv7, in epoch milliseconds. */
export function requestIdTime(requestId: string): number {
  return Number.parseInt(requestId.replaceAll('-', '').slice(0, TIMESTAMP_DIGITS), HEX_RADIX)
}

/** Creates the key of a request. Ids are scoped to accounts: the same id under two accounts denotes two requests. */
export function createRequestKey(account: string, requestId: string): string {
  return `${account}/${requestId}`
}

/** Digest of a request's target and body, to distinguish a retry from a different request with the same id. */
export function digestRequest(target: string, body: string): string {
  return createHash('sha256').update(target).update('\0').update(body).digest('base64url')
}
