/**
 * Authentication by the key shared between the system's processes. A connection
 * without the key is rejected before any of its messages is read.
 */
import type { IncomingMessage } from 'node:http'
import { createHash, timingSafeEqual } from 'node:crypto'

/** Scheme of the `authorization` header. Part of the wire format between two releases. */
const SCHEME = 'Eidermast '

/** Formats the value of the `authorization` header. */
export function formatAuthorization(key: string): string {
  return SCHEME + key
}

/** Whether a request carries the key; compared in constant time. */
export function isAuthorized(request: IncomingMessage, key: string): boolean {
  const received = request.headers.authorization ?? ''
  return equalSecrets(received, formatAuthorization(key))
}

/** Compares two secrets in constant time. */
export function equalSecrets(left: string, right: string): boolean {
  const digest = (text: string): Buffer => createHash('sha256').update(text).digest()
  return timingSafeEqual(digest(left), digest(right))
}
