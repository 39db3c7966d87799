/**
 * Decides the HTTP status of an error that the gateway responds with.
 *
 * Inputs: the kind of the error, and which part of the request was executed.
 * Rule: the default status of the kind; but 502 instead of a status that
 * guarantees that the request was not executed, if any part of it was or may
 * have been executed.
 * Why: clients retry any request after such a status, even one that must not be
 * executed twice.
 * Log event: `request-ended`.
 */
import type { RequestError } from '@eidermast/common'
import { ERROR_RESPONSES, Ran } from '@eidermast/common'

/** Statuses that guarantee that the request was not and will not be executed. */
const NOT_EXECUTED_STATUSES = new Set([408, 421, 429, 503])
/** A status without that guarantee. */
const MAYBE_EXECUTED_STATUS = 502

/** The HTTP status for an error. */
export function chooseErrorStatus({ kind, ran }: Pick<RequestError, 'kind' | 'ran'>): number {
  const { status } = ERROR_RESPONSES[kind]
  return NOT_EXECUTED_STATUSES.has(status) && ran !== Ran.None ? MAYBE_EXECUTED_STATUS : status
}
