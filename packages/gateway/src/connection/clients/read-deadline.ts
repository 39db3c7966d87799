/**
 * Decides how long the body of a request may take to arrive.
 *
 * Inputs: when the request has to be answered, by its route and its client
 * (monotonic clock, ms); whether this gateway stops; the read of the request.
 * Rule: a request that is not read completely by then, or when the gateway has no
 * time left for it, is rejected as one that has not run.
 * Why: its client waits for an answer no longer than that, however slowly the
 * body arrives.
 * Log event: none; kind and message of the error are in the response.
 */
import type { RequestError } from '@eidermast/common'
import type { Result } from 'ts-results-es'
import type { ClientRequest } from './client-request.js'
import { createError, ErrorKind } from '@eidermast/common'
import { Err } from 'ts-results-es'
import { errorOfStopping, isStopping } from './stopping-error.js'

/** The result of reading a request; undefined if its client disconnected. */
type ReadResult = Result<ClientRequest, RequestError> | undefined

const OVERDUE = createError(ErrorKind.BodyStalled, 'the request body did not arrive within the time-out of the route or the client')

/** Resolves with the result of a read, with an error at its deadline, or with one when the signal is aborted because the gateway stops. */
export async function endReadBy(deadlineAt: number, signal: AbortSignal, reading: Promise<ReadResult>): Promise<ReadResult> {
  let timer: NodeJS.Timeout | undefined
  let stop = (): void => {}
  const ended = new Promise<ReadResult>((resolve) => {
    timer = setTimeout(() => resolve(Err(OVERDUE)), Math.max(0, deadlineAt - performance.now()))
    stop = () => {
      if (isStopping(signal))
        resolve(Err(errorOfStopping()))
    }
    signal.addEventListener('abort', stop)
  })
  try {
    return await Promise.race([reading, ended])
  }
  finally {
    clearTimeout(timer)
    signal.removeEventListener('abort', stop)
  }
}
