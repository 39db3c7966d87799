/**
 * Decides which requests count as the same one, sent again.
 *
 * Inputs: method, host, path with its query, client account and body.
 * Rule: requests with the same of all five have the same fingerprint. The
 * request id, the deadline and all other headers do not count.
 * Why: each try of a client has an id and a deadline of its own. What a backend
 * server does with a request follows from the rest.
 * Log event: `route` (`fingerprint`).
 */
import { createHash } from 'node:crypto'

/** Hexadecimal digits, 96 bits: among a billion requests two share one by chance with a probability below 1 in 10^10. */
const FINGERPRINT_DIGITS = 24
/** Stands between the parts; no part but the body, which comes last, holds it. */
const SEPARATOR = '\0'

/** What a fingerprint is made of. */
export interface FingerprintInputs {
  method: string
  host: string
  /** Path with its query. */
  path: string
  /** Name of the client account; absent where it is not known. */
  account: string | undefined
  body: Buffer | undefined
}

/** The fingerprint of a request. */
export function fingerprintOf({ method, host, path, account = '', body }: FingerprintInputs): string {
  const hash = createHash('sha256').update([method, host, path, account, ''].join(SEPARATOR))
  if (body)
    hash.update(body)
  return hash.digest('hex').slice(0, FINGERPRINT_DIGITS)
}
