/**
 * Reads a backend server's response to a run and classifies its outcome. An error
 * thrown while reading means that the connection was lost or that the response
 * did not follow the protocol.
 */
import type { Dispatcher } from 'undici'
import type { BackendResult } from './backend-client.js'
import { assertCompleteAtEnd, discardBody, isFramed, readLimitedLines, readLimitedText } from '@eidermast/common'
import * as z from 'zod'
import { BackendOutcome } from './backend-client.js'
import { isNotConnected } from './json-http.js'
import { MAX_PEER_MESSAGE_BYTES } from './peer-server.js'

const runResponseSchema = z.object({ output: z.string(), tokens: z.int().min(0).default(0) })
const streamLineSchema = z.union([
  z.object({ token: z.string() }),
  z.object({ done: z.literal(true), output: z.string(), tokens: z.int().min(0) }),
])

/** A larger result could not be passed on to the entry. */
const RESPONSE_LIMITS = { maxBytes: MAX_PEER_MESSAGE_BYTES }
/** Lowest status with which a plain service reports a failure. */
const MIN_SERVER_ERROR_STATUS = 500
/** Statuses with which a backend server reports that it did not start the run. */
const NOT_STARTED_STATUSES = new Set([409, 429, 503])

/** The call that a plain service responds to. */
export interface ServedCall {
  method: string
  /** `host:port` of the service. */
  address: string
  signal: AbortSignal
}

/** Reads the response to a run without streaming. */
export async function readRunResponse(response: Dispatcher.ResponseData): Promise<BackendResult> {
  const parsed = runResponseSchema.safeParse(JSON.parse(await readLimitedText(response.body, RESPONSE_LIMITS)))
  if (!parsed.success)
    return createFailure(BackendOutcome.Failed, 'the backend server returned a response in an unknown format')
  return { outcome: BackendOutcome.Done, message: '', ...parsed.data }
}

/** Reads tokens line by line. The stream is complete only if its end marker arrives and matches the number of tokens. */
export async function readTokenStream(response: Dispatcher.ResponseData, onToken: (text: string) => void): Promise<BackendResult> {
  let received = 0
  for await (const line of readLimitedLines(response.body, MAX_PEER_MESSAGE_BYTES)) {
    const message = streamLineSchema.parse(JSON.parse(line))
    if ('token' in message) {
      received++
      onToken(message.token)
      continue
    }
    if (message.tokens !== received)
      return createFailure(BackendOutcome.Truncated, `the stream contained ${received} of ${message.tokens} tokens`)
    return { outcome: BackendOutcome.Done, output: message.output, tokens: message.tokens, message: '' }
  }
  return createFailure(BackendOutcome.Truncated, 'the stream ended before its end marker')
}

/** Reads the response of a plain service; throws if it may be incomplete. Statuses below 500 are passed on to the caller as responses. */
export async function readServiceResponse(response: Dispatcher.ResponseData, { method, address, signal }: ServedCall): Promise<BackendResult> {
  const status = response.statusCode
  if (status >= MIN_SERVER_ERROR_STATUS) {
    await discardBody(response.body)
    return createFailure(BackendOutcome.Failed, `the service returned status ${status}`)
  }
  const header = response.headers['content-type']
  const contentType = typeof header === 'string' ? header : undefined
  const output = await readLimitedText(response.body, RESPONSE_LIMITS)
  if (!isFramed({ method, status, headers: response.headers }))
    await assertCompleteAtEnd(address, signal)
  return { outcome: BackendOutcome.Done, output, tokens: 0, message: '', status, contentType }
}

/** Classifies a run that returned a status other than 200. */
export async function readErrorResponse(response: Dispatcher.ResponseData): Promise<BackendResult> {
  await discardBody(response.body)
  const outcome = NOT_STARTED_STATUSES.has(response.statusCode) ? BackendOutcome.Refused : BackendOutcome.Failed
  return createFailure(outcome, `the backend server returned status ${response.statusCode}`)
}

/** Classifies a run whose call threw an error. */
export function classifyThrownError(error: unknown, signal: AbortSignal): BackendResult {
  const message = error instanceof Error ? error.message : String(error)
  if (signal.aborted)
    return createFailure(BackendOutcome.Stopped, message)
  return createFailure(isNotConnected(error) ? BackendOutcome.Refused : BackendOutcome.Lost, message)
}

function createFailure(outcome: BackendOutcome, message: string): BackendResult {
  return { outcome, output: '', tokens: 0, message }
}
