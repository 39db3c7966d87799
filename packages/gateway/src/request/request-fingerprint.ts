/**
 * Decides which requests count as repetitions of the same request.
 *
 * Inputs: method, host, path with its query, client account and body.
 * Rule: requests that agree in all five have the same fingerprint. The request
 * id, the deadline and all other headers are ignored.
 * Why: each attempt of a client has its own id and deadline. What a backend
 * server does with a request depends only on the rest.
 * Log event: `route` (`fingerprint`).
 */
import { createHash } from 'node:crypto'

/** Hexadecimal digits, 96 bits: the collision probability among a billion requests is below 1 in 10^10. */
const FINGERPRINT_DIGITS = 24
/** Separates the fields; only the body, which comes last, can contain it. */
const SEPARATOR = '\0'

/** The fields that a fingerprint is computed from. */
export interface FingerprintInputs {
  method: string
  host: string
  /** Path with its query. */
  path: string
  /** Name of the client account; undefined if it is not known. */
  account: string | undefined
  body: Buffer | undefined
}

export function fingerprintOf({ method, host, path, account = '', body }: FingerprintInputs): string {
  const hash = createHash('sha256').update([method, host, path, account, ''].join(SEPARATOR))
  if (body)
    hash.update(body)
  return hash.digest('hex').slice(0, FINGERPRINT_DIGITS)
}
