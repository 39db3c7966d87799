/**
 * JSON calls over HTTP to the platform and to backend servers. The error of a
 * failed call states whether the call may have taken effect, because only the
 * caller knows whether a retry is safe. Stateless: connections belong to the
 * dispatcher of the call, or to undici's global one.
 */
import type { Result } from 'ts-results-es'
import type { Dispatcher } from 'undici'
import type { CallError } from '../version/call-error.js'
import { createTimeoutSignal, formatError, readLimitedText } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import { request } from 'undici'
import { CallFailure } from '../version/call-error.js'
import { MAX_PEER_MESSAGE_BYTES } from './peer-server.js'

export interface JsonCall {
  method: 'GET' | 'POST'
  url: string
  body?: unknown
  /** Time from the call to the last byte of the response. */
  timeoutMs: number
  signal?: AbortSignal
  /**
   * Dispatcher whose connections are used.
   * @default undici's global dispatcher
   */
  dispatcher?: Dispatcher
}

/** Errors of `node:net` and undici that occur before a connection is established. */
const NOT_CONNECTED_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT'])

/** Calls a JSON endpoint and returns the parsed body of a 2xx response; undefined if the body is empty. */
export async function callJson(call: JsonCall): Promise<Result<unknown, CallError>> {
  const { signal, dispose } = createTimeoutSignal(call.timeoutMs, ...call.signal ? [call.signal] : [])
  try {
    return await sendAndRead(call, signal)
  }
  catch (error) {
    return Err(createCallError(error, call.url))
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
  const text = await readLimitedText(response.body, { maxBytes: MAX_PEER_MESSAGE_BYTES })
  const status = response.statusCode
  if (status >= 200 && status < 300)
    return Ok(text === '' ? undefined : JSON.parse(text))
  return Err({ failure: classifyStatus(status), message: `status ${status} from ${url}`, status })
}

/** With status 4xx or 503 the call was refused; with any other it may have taken effect. */
function classifyStatus(status: number): CallFailure {
  const refused = (status >= 400 && status < 500) || status === 503
  return refused ? CallFailure.NotTaken : CallFailure.InDoubt
}

/** Whether a call failed before a connection was established, so that nothing was sent. */
export function isNotConnected(error: unknown): boolean {
  return error instanceof Error && 'code' in error && NOT_CONNECTED_CODES.has(String(error.code))
}

function createCallError(error: unknown, url: string): CallError {
  const failure = isNotConnected(error) ? CallFailure.NotTaken : CallFailure.InDoubt
  return { failure, message: `${url}: ${formatError(error)}` }
}
