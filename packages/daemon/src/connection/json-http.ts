/**
 * Small JSON calls over HTTP, to the platform and to backend servers. A failed
 * call says whether it may have taken effect, since only the caller knows
 * whether making it again does harm. Keeps no state: connections belong to the
 * dispatcher that the call names, or to undici's global one.
 */
import type { Result } from 'ts-results-es'
import type { Dispatcher } from 'undici'
import type { CallError } from '../version/call-error.js'
import { createTimeoutSignal, formatError } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import { request } from 'undici'
import { CallFailure } from '../version/call-error.js'

/** A JSON call. */
export interface JsonCall {
  method: 'GET' | 'POST'
  url: string
  body?: unknown
  /** Milliseconds from the call to the last byte of the answer. */
  timeoutMs: number
  signal?: AbortSignal
  /**
   * Connections to use.
   * @default undici's global dispatcher
   */
  dispatcher?: Dispatcher
}

/** Errors of `node:net` and undici that come before a connection stands. */
const NOT_CONNECTED_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT'])

/** Calls a JSON endpoint and returns the parsed answer of a 2xx status; undefined where its body is empty. */
export async function callJson(call: JsonCall): Promise<Result<unknown, CallError>> {
  const { signal, dispose } = createTimeoutSignal(call.timeoutMs, call.signal)
  try {
    return await sendAndRead(call, signal)
  }
  catch (error) {
    return Err(describeFailure(error, call.url))
  }
  finally {
    dispose()
  }
}

async function sendAndRead(call: JsonCall, signal: AbortSignal): Promise<Result<unknown, CallError>> {
  const { method, url, body, dispatcher } = call
  const response = await request(url, {
    method,
    headers: body === undefined ? {} : { 'content-type': 'application/json' },
    body: body === undefined ? null : JSON.stringify(body),
    signal,
    dispatcher,
  })
  const text = await response.body.text()
  const status = response.statusCode
  if (status >= 200 && status < 300)
    return Ok(text === '' ? undefined : JSON.parse(text))
  return Err({ failure: classifyStatus(status), message: `status ${status} from ${url}`, status })
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
  return { failure, message: `${url}: ${formatError(error)}` }
}
