/**
 * Decides the status of an error that this gateway answers by itself.
 *
 * Inputs: the kind of the error, and what of the request ran.
 * Rule: the status of the kind; 502 in place of a status that promises that
 * the request has not run, where part of it ran or may have run.
 * Why: clients retry any request after such a promise, also one that may run
 * only once.
 * Log event: `request-ended`.
 */
import type { RequestError } from '@eidermast/common'
import { ERROR_RESPONSES, Ran } from '@eidermast/common'

/** Statuses that promise that the request has not run and never will. */
const PROMISE_STATUSES = new Set([408, 421, 429, 503])
/** A status that promises nothing. */
const NO_PROMISE_STATUS = 502

/** The status of an error's answer. */
export function chooseErrorStatus({ kind, ran }: Pick<RequestError, 'kind' | 'ran'>): number {
  const { status } = ERROR_RESPONSES[kind]
  return PROMISE_STATUSES.has(status) && ran !== Ran.None ? NO_PROMISE_STATUS : status
}
