/**
 * Classifies connection errors by their codes, both those of Node's sockets and
 * those of undici.
 */

/** Code of the error for a call that this process rejected before sending its first byte. */
export const CALL_NOT_SENT_CODE = 'ERR_CALL_NOT_SENT'

/** Code of the error for a call whose connection failed before its first byte was sent. */
export const CONNECTION_FAILED_CODE = 'ERR_CONNECTION_FAILED'

/**
 * Codes of errors that occur before the first byte of a request is sent. Codes of
 * sockets do not tell: a host may become unreachable, or a pool be closed, while
 * a response is awaited.
 */
const NOT_SENT_CODES = new Set([CALL_NOT_SENT_CODE, CONNECTION_FAILED_CODE])

/** The code of an error; undefined if it has none. */
export function errorCode(error: unknown): string | undefined {
  const code = error instanceof Error && 'code' in error ? error.code : undefined
  return typeof code === 'string' ? code : undefined
}

/** Whether an error shows that no byte of the request reached the backend server. */
export function isNotSent(error: unknown): boolean {
  const code = errorCode(error)
  return code !== undefined && NOT_SENT_CODES.has(code)
}

/** Whether the remote end reset an established connection. */
export function isConnectionReset(error: unknown): boolean {
  return errorCode(error) === 'ECONNRESET'
}

/** Whether the connection was refused because nothing listens at the address. tRPC's client wraps the socket error, so the chain of causes is searched. */
export function isConnectionRefused(error: unknown): boolean {
  for (let cause = error; cause instanceof Error; cause = cause.cause) {
    if (errorCode(cause) === 'ECONNREFUSED')
      return true
  }
  return false
}
