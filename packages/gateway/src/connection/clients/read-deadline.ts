/**
 * Decides how long the body of a request may take to arrive.
 *
 * Inputs: when the request has to be answered, by its route and its client
 * (monotonic clock, ms); the read of the request.
 * Rule: a request that is not read completely by then is rejected as one that has
 * not run.
 * Why: its client waits for an answer no longer than that, however slowly the
 * body arrives.
 * Log event: none; kind and message of the error are in the response.
 */
import type { RequestError } from '@eidermast/common'
import type { Result } from 'ts-results-es'
import type { ClientRequest } from './client-request.js'
import { createError, ErrorKind } from '@eidermast/common'
import { Err } from 'ts-results-es'

/** The result of reading a request; undefined if its client disconnected. */
type ReadResult = Result<ClientRequest, RequestError> | undefined

const OVERDUE = createError(ErrorKind.BodyStalled, 'the request body did not arrive within the time-out of the route or the client')

/** Resolves with the result of a read, or with an error at its deadline. */
export async function endReadBy(deadlineAt: number, reading: Promise<ReadResult>): Promise<ReadResult> {
  let timer: NodeJS.Timeout | undefined
  const overdue = new Promise<ReadResult>((resolve) => {
    timer = setTimeout(() => resolve(Err(OVERDUE)), Math.max(0, deadlineAt - performance.now()))
  })
  try {
    return await Promise.race([reading, overdue])
  }
  finally {
    clearTimeout(timer)
  }
}
