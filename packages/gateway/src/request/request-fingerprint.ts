/**
 * Decides which requests count as repetitions of the same request, and which have
 * a part of their prompts in common.
 *
 * Inputs: method, host, path with its query, client account and body; service and
 * prompt parts.
 * Rule: requests that agree in the first five have the same fingerprint. The
 * request id, the deadline and all other headers are ignored. A shared part has a
 * fingerprint of its own, the same in every prompt for the service, whatever
 * comes before it.
 * Why: each attempt of a client has its own id and deadline. What a backend
 * server does with a request depends only on the rest, and may depend on one part
 * of it.
 * Log event: `route` (`fingerprint`, `sharedParts`).
 */
import type { PromptPart } from '../connection/clients/client-codec.js'
import { createHash } from 'node:crypto'
import { sharedParts } from './prompt-parts.js'

/** Hexadecimal digits, 96 bits: the collision probability among a billion requests is below 1 in 10^10. */
const FINGERPRINT_DIGITS = 24
/** Separates the fields; only the body, which comes last, can contain it. */
const SEPARATOR = '\0'

/** Begins the fingerprints of prompt parts, which are exchanged like those of requests. */
const PART_PREFIX = 'part-'

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

/** The fingerprints of the shared parts of a prompt; a part that occurs twice has one. */
export function partFingerprintsOf(service: string, prompt: readonly PromptPart[]): readonly string[] {
  return [...new Set(sharedParts(prompt).map(({ id }) => id))].map(id => fingerprintOfPart(service, id))
}

/** Whether a fingerprint is that of a prompt part, not of a whole request. */
export function isPartFingerprint(fingerprint: string): boolean {
  return fingerprint.startsWith(PART_PREFIX)
}

function fingerprintOfPart(service: string, id: string): string {
  const digest = createHash('sha256').update([service, id].join(SEPARATOR)).digest('hex')
  return PART_PREFIX + digest.slice(0, FINGERPRINT_DIGITS)
}
