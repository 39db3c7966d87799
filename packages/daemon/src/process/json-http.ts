/**
 * Small JSON calls over HTTP to the platform, by undici. Tells whether a
 * failed call may have taken effect.
 */
import type { Result } from 'ts-results-es'
import type { Dispatcher } from 'undici'
import { createBoundedSignal } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import { request } from 'undici'

/** Whether a failed call may have taken effect at the far end. */
export enum CallFailure {
  /** The far end has provably not acted. */
  NotTaken = 'not-taken',
  /** The far end may have acted. */
  InDoubt = 'in-doubt',
}

/** A failed JSON call. */
export interface CallError {
  failure: CallFailure
  message: string
  /** HTTP status, where one was received. */
  status?: number
}

/** A JSON call. */
export interface JsonCall {
  method: 'GET' | 'POST'
  url: string
  body?: unknown
  timeoutMs: number
  signal?: AbortSignal
  dispatcher?: Dispatcher
}

const NOT_CONNECTED_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT'])

/** Calls a JSON endpoint and returns the parsed answer of a 2xx status. */
export async function callJson(call: JsonCall): Promise<Result<unknown, CallError>> {
  const { signal, dispose } = createBoundedSignal(call.timeoutMs, call.signal)
  try {
    const response = await request(call.url, {
      method: call.method,
      headers: call.body === undefined ? {} : { 'content-type': 'application/json' },
      body: call.body === undefined ? null : JSON.stringify(call.body),
      signal,
      dispatcher: call.dispatcher,
    })
    const text = await response.body.text()
    if (response.statusCode >= 200 && response.statusCode < 300)
      return Ok(text === '' ? undefined : JSON.parse(text))
    return Err({ failure: classifyStatus(response.statusCode), message: `status ${response.statusCode} from ${call.url}`, status: response.statusCode })
  }
  catch (error) {
    return Err(describeFailure(error, call.url))
  }
  finally {
    dispose()
  }
}

/** A 4xx or 503 answer says that the call was refused; any other may have acted. */
function classifyStatus(status: number): CallFailure {
  const refused = (status >= 400 && status < 500) || status === 503
  return refused ? CallFailure.NotTaken : CallFailure.InDoubt
}

/** Whether a call failed before it had a connection, so that nothing was sent. */
export function isNotConnected(error: unknown): boolean {
  return error instanceof Error && 'code' in error && NOT_CONNECTED_CODES.has(String(error.code))
}

function describeFailure(error: unknown, url: string): CallError {
  const failure = isNotConnected(error) ? CallFailure.NotTaken : CallFailure.InDoubt
  const message = error instanceof Error ? error.message : String(error)
  return { failure, message: `${url}: ${message}` }
}
