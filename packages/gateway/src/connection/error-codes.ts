/**
 * Reads the codes of connection errors, of Node's sockets as of undici's
 * client, in one place.
 */

/** Code of a call that this process turned away before its first byte. */
export const CALL_NOT_SENT_CODE = 'ERR_CALL_NOT_SENT'

/** Codes of errors that come before a request's first byte is sent: no connection, or none that may be used. */
const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'EMFILE',
  'UND_ERR_CONNECT_TIMEOUT',
  'UND_ERR_DESTROYED',
  'UND_ERR_CLOSED',
  CALL_NOT_SENT_CODE,
])

/** The code of an error; undefined where it has none. */
export function errorCode(error: unknown): string | undefined {
  const code = error instanceof Error && 'code' in error ? error.code : undefined
  return typeof code === 'string' ? code : undefined
}

/** Whether an error shows that no byte of the request reached the backend server. */
export function isNotSent(error: unknown): boolean {
  const code = errorCode(error)
  return code !== undefined && NOT_SENT_CODES.has(code)
}

/** Whether the peer reset an established connection. */
export function isConnectionReset(error: unknown): boolean {
  return errorCode(error) === 'ECONNRESET'
}

/** Whether nobody listens at the address; tRPC's client keeps the error among the causes of its own. */
export function isConnectionRefused(error: unknown): boolean {
  for (let cause = error; cause instanceof Error; cause = cause.cause) {
    if (errorCode(cause) === 'ECONNREFUSED')
      return true
  }
  return false
}
