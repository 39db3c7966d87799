/**
 * The key that the system's processes share. A connection that does not show it
 * is refused before any of its messages is read.
 */
import type { IncomingMessage } from 'node:http'
import { createHash, timingSafeEqual } from 'node:crypto'

/** Scheme of the header `authorization`, on the wire between two releases. */
const SCHEME = 'Eidermast '

/** Header value that shows the key. */
export function formatAuthorization(key: string): string {
  return SCHEME + key
}

/** Whether a connection shows the key; compared in constant time. */
export function isAuthorized(request: IncomingMessage, key: string): boolean {
  const shown = request.headers.authorization ?? ''
  return equalSecrets(shown, formatAuthorization(key))
}

/** Compares two secrets in a time that does not depend on where they differ. */
export function equalSecrets(left: string, right: string): boolean {
  const digest = (text: string): Buffer => createHash('sha256').update(text).digest()
  return timingSafeEqual(digest(left), digest(right))
}
